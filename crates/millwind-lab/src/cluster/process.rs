//! Child processes of a run.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    pub(super) fn spawn(program: &Path, arguments: &[&str], log: &Path) -> std::io::Result<Process> {
        let output = File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Process { child })
    }

    /// Sends a signal by name, for example `STOP`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(std::io::Error::other(format!("kill -{name} failed")))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, if the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code().unwrap_or(-1))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
