//! Signals to processes that this program started, and which of them opened a connection.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill").arg(name).arg(process.to_string()).status();
}

/// Waits until a process stands still after SIGSTOP.
pub fn await_stopped(process: u32) -> bool {
    for _ in 0..2_000 {
        let state = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let after_name = state.rsplit(") ").next().unwrap_or("");
        if after_name.starts_with('T') {
            return true;
        }
        std::thread::sleep(Duration::from_micros(100));
    }
    false
}

/// Returns which of `processes` holds the connection from `client` to `server`.
pub fn process_of(client: SocketAddr, server: SocketAddr, processes: &[u32]) -> Option<u32> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (table_address(client)?, table_address(server)?);
    let inode = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_connection = fields.get(1) == Some(&local.as_str()) && fields.get(2) == Some(&remote.as_str());
        is_connection.then(|| fields.get(9).copied()).flatten()
    })?;
    let socket = format!("socket:[{inode}]");
    let holds = |process: &&u32| {
        let files = fs::read_dir(format!("/proc/{process}/fd"));
        files
            .into_iter()
            .flatten()
            .flatten()
            .any(|file| fs::read_link(file.path()).is_ok_and(|target| target.to_string_lossy() == socket))
    };
    processes.iter().find(holds).copied()
}

/// Formats an address as the kernel's table of connections does.
fn table_address(address: SocketAddr) -> Option<String> {
    match address {
        SocketAddr::V4(address) => {
            let bits = u32::from_ne_bytes(address.ip().octets());
            Some(format!("{bits:08X}:{:04X}", address.port()))
        }
        SocketAddr::V6(_) => None,
    }
}
