//! The record of a run, written to `record.txt` in the folder of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt")).unwrap())),
        }
    }

    /// Writes a line with the current time of the run.
    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    /// Writes a line with the time `at`.
    pub fn note_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let line = format!("{seconds:9.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
