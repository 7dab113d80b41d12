//! Memory of processes, as the system counts it.

/// Resident memory of a process (`self` or its number), in bytes; zero where it
/// cannot be read.
pub fn resident_bytes(process: &str) -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}
