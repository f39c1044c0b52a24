//! Load of a backend server, as VMs report it to each other.

use serde::{Deserialize, Serialize};

/// Requests in flight and waiting at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// Requests that were sent and not answered in full.
    pub in_flight: u32,
    /// Outstanding prefill: time to prefill the prompts of requests without a first event, in
    /// microseconds.
    #[serde(rename = "unread_us")]
    pub outstanding_prefill_us: u64,
    /// Tokens of all requests in flight: prompts and expected output.
    pub held_tokens: u64,
    /// Waiting requests, in hundredths. A request that waits for capacity at any of several servers
    /// that hold its model counts in equal parts at each of them.
    pub waiting_hundredths: u32,
}

impl Load {
    /// Most load that one VM reports for a server. Sums over a thousand VMs fit into the fields.
    const MAX: Self = Self {
        in_flight: 1 << 20,
        outstanding_prefill_us: 1 << 40,
        held_tokens: 1 << 40,
        waiting_hundredths: 1 << 20,
    };

    /// Returns the load with all fields bounded. Loads of other VMs are bounded once, when they arrive.
    pub fn bounded(self) -> Self {
        Self {
            in_flight: self.in_flight.min(Self::MAX.in_flight),
            outstanding_prefill_us: self
                .outstanding_prefill_us
                .min(Self::MAX.outstanding_prefill_us),
            held_tokens: self.held_tokens.min(Self::MAX.held_tokens),
            waiting_hundredths: self.waiting_hundredths.min(Self::MAX.waiting_hundredths),
        }
    }

    /// Adds another load to this one.
    pub fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.outstanding_prefill_us += other.outstanding_prefill_us;
        self.held_tokens += other.held_tokens;
        self.waiting_hundredths += other.waiting_hundredths;
    }

    /// Subtracts another load from this one, down to zero at least.
    pub fn subtract(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.outstanding_prefill_us =
            self.outstanding_prefill_us.saturating_sub(other.outstanding_prefill_us);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
        self.waiting_hundredths = self.waiting_hundredths.saturating_sub(other.waiting_hundredths);
    }

    /// Returns the sum of two loads.
    pub fn plus(mut self, other: &Self) -> Self {
        self.add(other);
        self
    }
}

/// Load of one VM at one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerLoad {
    /// The server, by the tag of its key.
    pub server: u32,
    /// The VM's load at that server.
    pub load: Load,
}
