//! What is under way at a server.

use serde::{Deserialize, Serialize};

/// What is under way at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// Requests sent and not answered in full.
    pub in_flight: u32,
    /// Time that reading the prompts of those without a first event takes, in microseconds.
    pub unread_us: u64,
    /// Tokens of all of them, prompts and expected output.
    pub held_tokens: u64,
    /// Requests that wait for room on one of the servers that hold their model, in hundredths: each
    /// counts in equal parts at all of them.
    pub waiting_hundredths: u32,
}

impl Load {
    /// Adds what somebody else has under way.
    pub fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.unread_us += other.unread_us;
        self.held_tokens += other.held_tokens;
        self.waiting_hundredths += other.waiting_hundredths;
    }

    /// Takes away what somebody has under way; never less than nothing.
    pub fn subtract(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.unread_us = self.unread_us.saturating_sub(other.unread_us);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
        self.waiting_hundredths = self.waiting_hundredths.saturating_sub(other.waiting_hundredths);
    }

    /// The sum of two loads.
    pub fn plus(mut self, other: &Self) -> Self {
        self.add(other);
        self
    }
}

/// What a VM has under way at one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerLoad {
    /// The server, by the tag of its key.
    pub server: u32,
    /// What the VM has under way there.
    pub load: Load,
}
