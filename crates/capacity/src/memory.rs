//! Memory of this process as the system counts it.

/// Bytes of a page on the machines this is built for.
const PAGE_BYTES: u64 = 4096;

/// Resident memory of this process, or `None` where the system doesn't tell.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
