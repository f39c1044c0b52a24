//! At-most-once calls under tokens that this VM incarnation issued.
//!
//! The entry daemon issues a token to a caller and checks the token when the caller uses it. Tokens
//! and answers are kept only in memory; the table service isn't involved.

use {
    crate::call_record::StoredAnswer,
    glade_types::{Incarnation, VmId},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        time::{Duration, Instant},
    },
};

/// Interval between recorded times of issue. Tokens issued within one interval share a recorded
/// time and expire together.
const ISSUE_TIME_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of every token. Distinguishes a token from a caller's own idempotency key.
const PREFIX: &str = "glade";

/// A token for one call. It names the only VM incarnation that may run the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// VM that issued the token.
    pub vm: VmId,
    /// Incarnation of the VM's entry daemon.
    pub incarnation: Incarnation,
    /// Sequence number of the token within the incarnation.
    pub number: u64,
    /// Random part, so that a caller can't guess another caller's token.
    pub secret: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { vm, incarnation, number, secret } = self;
        write!(f, "{PREFIX}~{vm}~{incarnation}~{number}~{secret:016x}")
    }
}

impl Token {
    /// Parses a token. Returns `None` if the text isn't a token and thus is a caller's own
    /// idempotency key.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('~');
        if parts.next() != Some(PREFIX) {
            return None;
        }
        let token = Self {
            vm: VmId::new(parts.next()?),
            incarnation: Incarnation(parts.next()?.parse().ok()?),
            number: parts.next()?.parse().ok()?,
            secret: u64::from_str_radix(parts.next()?, 16).ok()?,
        };
        parts.next().is_none().then_some(token)
    }
}

/// What the entry daemon must do with a request that carries a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The token was unused: send the request now, exactly once.
    Dispatch,
    /// The call ran; this is its stored answer.
    Replayed(StoredAnswer),
    /// The call is in flight.
    InFlight,
    /// The request was sent and its outcome is unknown; the request is never sent again.
    Unknown,
    /// The token was already used for a different request.
    Reused,
    /// The token is too old. Whether the call ran is no longer recorded, and the call will not run.
    Expired,
    /// This VM incarnation never issued the token.
    NotIssuedHere,
}

#[derive(Clone, Debug)]
enum TokenUse {
    InFlight { request_hash: u64 },
    Answered { request_hash: u64, answer: StoredAnswer },
    Unknown { request_hash: u64 },
}

/// The tokens that one VM incarnation issued. Memory is bounded by the tokens used within their
/// time to live.
#[derive(Debug)]
pub struct TokenRegistry {
    vm: VmId,
    incarnation: Incarnation,
    /// Time to live of a token.
    ttl: Duration,
    rng: fastrand::Rng,
    /// Number of the next token.
    next_number: u64,
    /// Recorded times of issue, oldest first, each with the first token number issued at or after
    /// that time.
    issue_times: VecDeque<(Instant, u64)>,
    /// Lowest token number that hasn't expired.
    first_valid: u64,
    /// Secret of each unexpired token, by token number.
    secrets: BTreeMap<u64, u64>,
    /// State of the call of each used token, by token number.
    uses: BTreeMap<u64, TokenUse>,
}

impl TokenRegistry {
    /// Returns a registry without tokens.
    pub fn new(vm: VmId, incarnation: Incarnation, ttl: Duration, seed: u64) -> Self {
        Self {
            vm,
            incarnation,
            ttl,
            rng: fastrand::Rng::with_seed(seed),
            next_number: 1,
            issue_times: VecDeque::new(),
            first_valid: 1,
            secrets: BTreeMap::new(),
            uses: BTreeMap::new(),
        }
    }

    /// Issues a token. Its time to live starts at its recorded time of issue.
    pub fn issue(&mut self, now: Instant) -> Token {
        self.expire(now);
        if self
            .issue_times
            .back()
            .is_none_or(|(issued_at, _)| now >= *issued_at + ISSUE_TIME_INTERVAL)
        {
            self.issue_times.push_back((now, self.next_number));
        }
        let (number, secret) = (self.next_number, self.rng.u64(..));
        self.next_number += 1;
        self.secrets.insert(number, secret);
        Token { vm: self.vm.clone(), incarnation: self.incarnation, number, secret }
    }

    /// Checks a token that a caller sent, and marks the token as used if the call may be
    /// dispatched.
    pub fn redeem(&mut self, now: Instant, token: &Token, request_hash: u64) -> TokenDecision {
        self.expire(now);
        if token.vm != self.vm
            || token.incarnation != self.incarnation
            || token.number >= self.next_number
        {
            return TokenDecision::NotIssuedHere;
        }
        if token.number < self.first_valid {
            return TokenDecision::Expired;
        }
        if self.secrets.get(&token.number) != Some(&token.secret) {
            return TokenDecision::NotIssuedHere;
        }
        match self.uses.get(&token.number) {
            None => {
                self.uses.insert(token.number, TokenUse::InFlight { request_hash });
                TokenDecision::Dispatch
            }
            Some(token_use) if token_use.request_hash() != request_hash => TokenDecision::Reused,
            Some(TokenUse::InFlight { .. }) => TokenDecision::InFlight,
            Some(TokenUse::Unknown { .. }) => TokenDecision::Unknown,
            Some(TokenUse::Answered { answer, .. }) => TokenDecision::Replayed(answer.clone()),
        }
    }

    /// Records the answer to a dispatched call.
    pub fn record_answer(&mut self, token: &Token, request_hash: u64, answer: StoredAnswer) {
        self.record_use(token, TokenUse::Answered { request_hash, answer });
    }

    /// Records proof that a dispatched call did not run. The token may be used again.
    pub fn record_not_run(&mut self, token: &Token) {
        self.uses.remove(&token.number);
    }

    /// Records that a dispatched call has no known outcome.
    pub fn record_unknown(&mut self, token: &Token, request_hash: u64) {
        self.record_use(token, TokenUse::Unknown { request_hash });
    }

    /// Returns the number of recorded token uses.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns true if no token use is recorded.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    fn record_use(&mut self, token: &Token, token_use: TokenUse) {
        if token.number >= self.first_valid {
            self.uses.insert(token.number, token_use);
        }
    }

    /// Removes tokens older than their time to live. An expired token is never accepted again.
    fn expire(&mut self, now: Instant) {
        let previous_first_valid = self.first_valid;
        while self.issue_times.front().is_some_and(|(issued_at, _)| now >= *issued_at + self.ttl) {
            self.issue_times.pop_front();
            self.first_valid = self
                .issue_times
                .front()
                .map_or(self.next_number, |(_, first_number)| *first_number);
        }
        if self.first_valid == previous_first_valid {
            return;
        }
        self.secrets = self.secrets.split_off(&self.first_valid);
        self.uses = self.uses.split_off(&self.first_valid);
    }
}

impl TokenUse {
    fn request_hash(&self) -> u64 {
        match self {
            Self::InFlight { request_hash }
            | Self::Answered { request_hash, .. }
            | Self::Unknown { request_hash } => *request_hash,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TTL: Duration = Duration::from_secs(600);

    fn registry(incarnation: u64) -> TokenRegistry {
        TokenRegistry::new(VmId::new("vm-1"), Incarnation(incarnation), TTL, 1)
    }

    fn answer() -> StoredAnswer {
        StoredAnswer { status: 200, content_type: None, body: vec![1] }
    }

    #[test]
    fn a_token_dispatches_once_and_then_replays_the_answer() {
        let (mut registry, now) = (registry(1), Instant::now());
        let token = registry.issue(now);
        let token = Token::parse(&token.to_string()).expect("a displayed token parses");
        assert_eq!(registry.redeem(now, &token, 7), TokenDecision::Dispatch);
        assert_eq!(registry.redeem(now, &token, 7), TokenDecision::InFlight);
        registry.record_answer(&token, 7, answer());
        assert_eq!(registry.redeem(now, &token, 7), TokenDecision::Replayed(answer()));
        assert_eq!(registry.redeem(now, &token, 8), TokenDecision::Reused);
    }

    #[test]
    fn a_token_of_another_incarnation_or_with_a_wrong_secret_never_dispatches() {
        let (mut previous, mut current, now) = (registry(1), registry(2), Instant::now());
        let token = previous.issue(now);
        assert_eq!(current.redeem(now, &token, 7), TokenDecision::NotIssuedHere);
        let forged = Token { secret: token.secret ^ 1, ..token };
        assert_eq!(previous.redeem(now, &forged, 7), TokenDecision::NotIssuedHere);
    }

    #[test]
    fn an_expired_token_is_not_run_even_if_unused() {
        let (mut registry, now) = (registry(1), Instant::now());
        let token = registry.issue(now);
        assert_eq!(registry.redeem(now + TTL, &token, 7), TokenDecision::Expired);
        assert!(registry.is_empty());
    }

    #[test]
    fn only_a_call_that_did_not_run_may_use_its_token_again() {
        let (mut registry, now) = (registry(1), Instant::now());
        let (first, second) = (registry.issue(now), registry.issue(now));
        registry.redeem(now, &first, 7);
        registry.record_not_run(&first);
        assert_eq!(registry.redeem(now, &first, 7), TokenDecision::Dispatch);
        registry.redeem(now, &second, 7);
        registry.record_unknown(&second, 7);
        assert_eq!(registry.redeem(now, &second, 7), TokenDecision::Unknown);
    }
}
