//! What was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes one line. Line ends inside the text are shown as escapes.
    pub fn line(&self, text: &str) {
        let text = text.replace('\r', "\\r").replace('\n', "\\n");
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:>6} {text}", self.now_ms());
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = file.flush();
    }
}
