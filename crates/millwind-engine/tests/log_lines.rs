//! Log lines with texts of callers in them.

use millwind_engine::logging::escape_line;

// Guards against texts with line feeds that look like events of the log.
#[test]
fn control_characters_add_no_line_to_the_log() {
    let line = "event=session_refused database=a\nevent=forged\r\u{1b}[0m".to_owned();
    let escaped = escape_line(line);
    assert_eq!(
        escaped,
        r"event=session_refused database=a\nevent=forged\r\u{1b}[0m"
    );
    let plain = "event=node_started name=köln".to_owned();
    assert_eq!(escape_line(plain.clone()), plain);
}
