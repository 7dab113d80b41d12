//! Memory usage of processes.

/// Resident memory in bytes of a process, given as `self` or a process ID; zero
/// if the value cannot be read.
pub fn resident_bytes(process: &str) -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}
