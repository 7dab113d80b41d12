//! Log output: one line of `key=value` pairs per event.

use log::LevelFilter;

/// Installs a logger that writes to standard error: `level` and above from this
/// project's crates, warnings and errors from dependencies. Fails if a logger is
/// already installed.
pub fn init(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let level = record.level().as_str().to_lowercase();
            out.finish(format_args!(
                "time={time} level={level} target={} {message}",
                record.target()
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("millwind_node", level)
        .level_for("millwind_store", level)
        .level_for("millwindd", level)
        .level_for("millwind_lab", level)
        .chain(std::io::stderr())
        .apply()
}
