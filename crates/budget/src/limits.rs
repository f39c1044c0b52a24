//! Limits of a budget, derived from what the VM allows.

/// Descriptors that a process keeps for files and for what it opens itself at its start.
const RESERVED_DESCRIPTORS: usize = 200;
/// Memory that a caller's connection takes: its buffers for heads and answers, and its tasks. Crowds of 1200
/// connections with heads of 12 KiB took 23 KiB each.
const CONNECTION_BYTES: usize = 32 << 10;
/// Smallest pool. A process on a very small VM still serves one request at a time.
const POOL_BYTES_MIN: usize = 1 << 20;
/// Most connections for pages. Callers ask the directory every second or two, over short connections.
const PAGE_CONNECTIONS_MAX: usize = 128;
/// Fewest connections of a kind.
const CONNECTIONS_MIN: usize = 16;

/// Limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes of callers' bodies.
    pub body_bytes: usize,
    /// Bytes of answers that callers have yet to read.
    pub answer_bytes: usize,
    /// Bytes for small reservations that find no room otherwise.
    pub reserve_bytes: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections for pages and operators.
    pub page_connections: usize,
}

impl BudgetLimits {
    /// Limits of the only large process of a VM. The rest of its memory is for the process itself, about
    /// 20 MB, for the copies while buffers grow, and for freed memory that stays resident.
    pub fn for_vm(memory_bytes: usize, descriptors_max: usize) -> Self {
        let percent = |share: usize| (memory_bytes / 100 * share).max(POOL_BYTES_MIN);
        // A quarter each for callers, servers and other nodes; the rest is for pages, the store and connections
        // to other nodes.
        let by_descriptors = descriptors_max.saturating_sub(RESERVED_DESCRIPTORS) / 4;
        let by_memory = percent(15) / CONNECTION_BYTES;
        Self {
            body_bytes: percent(24),
            answer_bytes: percent(10),
            reserve_bytes: percent(5),
            caller_connections: by_descriptors.min(by_memory).max(CONNECTIONS_MIN),
            page_connections: (by_descriptors / 4).clamp(CONNECTIONS_MIN, PAGE_CONNECTIONS_MAX),
        }
    }
}
