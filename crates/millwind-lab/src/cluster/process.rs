//! Child processes of a deployment.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` with its output redirected to the file `log`.
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

    /// Sends a signal by name, for example `STOP`; fails if `kill` does.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(std::io::Error::other(format!(
            "could not send signal {name}: {status}"
        )))
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has ended; -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code().unwrap_or(-1))
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
