//! Calls under a token that this VM issued. Memory alone decides.

use {
    crate::record::StoredAnswer,
    glade_types::{Incarnation, VmId},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        time::{Duration, Instant},
    },
};

/// Tokens between two marks of their time of issue.
const MARK_EVERY: Duration = Duration::from_secs(1);
/// Start of every token, which tells it from a caller's own key.
const PREFIX: &str = "glade";

/// A token: it names the one VM incarnation that may run the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its entry daemon.
    pub incarnation: Incarnation,
    /// Number within the incarnation.
    pub number: u64,
    /// Random part, so that a caller can't hit upon another's token.
    pub secret: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { vm, incarnation, number, secret } = self;
        write!(f, "{PREFIX}~{vm}~{incarnation}~{number}~{secret:016x}")
    }
}

impl Token {
    /// Reads a token; `None` if the text is a caller's own key.
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

/// What the book says about a token that is presented.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// First use: send the request now, once.
    Dispatch,
    /// It ran; this was its answer.
    Repeated(StoredAnswer),
    /// It is under way.
    UnderWay,
    /// It was sent and no outcome came; it is never sent again.
    Unknown,
    /// It was used for a different request.
    Reused,
    /// Too old: whether it ran isn't known here any more, and it will not run.
    Expired,
    /// This incarnation never issued it.
    Foreign,
}

#[derive(Clone, Debug)]
enum Use {
    UnderWay { request_hash: u64 },
    Answered { request_hash: u64, answer: StoredAnswer },
    Unknown { request_hash: u64 },
}

/// The tokens of one VM incarnation. Memory is bounded by the tokens used within their time to
/// live.
#[derive(Debug)]
pub struct TokenBook {
    vm: VmId,
    incarnation: Incarnation,
    ttl: Duration,
    rng: fastrand::Rng,
    next: u64,
    /// First number issued at or after each mark.
    marks: VecDeque<(Instant, u64)>,
    /// Lowest number still accepted.
    floor: u64,
    secrets: BTreeMap<u64, u64>,
    uses: BTreeMap<u64, Use>,
}

impl TokenBook {
    /// Returns a book without tokens.
    pub fn new(vm: VmId, incarnation: Incarnation, ttl: Duration, seed: u64) -> Self {
        Self {
            vm,
            incarnation,
            ttl,
            rng: fastrand::Rng::with_seed(seed),
            next: 1,
            marks: VecDeque::new(),
            floor: 1,
            secrets: BTreeMap::new(),
            uses: BTreeMap::new(),
        }
    }

    /// Issues a token.
    pub fn issue(&mut self, now: Instant) -> Token {
        self.expire(now);
        if self.marks.back().is_none_or(|(at, _)| now >= *at + MARK_EVERY) {
            self.marks.push_back((now, self.next));
        }
        let (number, secret) = (self.next, self.rng.u64(..));
        self.next += 1;
        self.secrets.insert(number, secret);
        Token { vm: self.vm.clone(), incarnation: self.incarnation, number, secret }
    }

    /// Judges a token that a caller presents, and marks it as used if it may be dispatched.
    pub fn present(&mut self, now: Instant, token: &Token, request_hash: u64) -> TokenVerdict {
        self.expire(now);
        if token.vm != self.vm || token.incarnation != self.incarnation || token.number >= self.next
        {
            return TokenVerdict::Foreign;
        }
        if token.number < self.floor {
            return TokenVerdict::Expired;
        }
        if self.secrets.get(&token.number) != Some(&token.secret) {
            return TokenVerdict::Foreign;
        }
        match self.uses.get(&token.number) {
            None => {
                self.uses.insert(token.number, Use::UnderWay { request_hash });
                TokenVerdict::Dispatch
            }
            Some(used) if used.request_hash() != request_hash => TokenVerdict::Reused,
            Some(Use::UnderWay { .. }) => TokenVerdict::UnderWay,
            Some(Use::Unknown { .. }) => TokenVerdict::Unknown,
            Some(Use::Answered { answer, .. }) => TokenVerdict::Repeated(answer.clone()),
        }
    }

    /// Records the answer to a dispatched call.
    pub fn answered(&mut self, token: &Token, request_hash: u64, answer: StoredAnswer) {
        self.record(token, Use::Answered { request_hash, answer });
    }

    /// Records that a dispatched call was proved not run: the token may be used again.
    pub fn not_run(&mut self, token: &Token) {
        self.uses.remove(&token.number);
    }

    /// Records that a dispatched call has no known outcome.
    pub fn unknown(&mut self, token: &Token, request_hash: u64) {
        self.record(token, Use::Unknown { request_hash });
    }

    /// Number of uses remembered.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// True if no use is remembered.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    fn record(&mut self, token: &Token, used: Use) {
        if token.number >= self.floor {
            self.uses.insert(token.number, used);
        }
    }

    /// Forgets tokens older than their time to live; they are never accepted again.
    fn expire(&mut self, now: Instant) {
        let floor_before = self.floor;
        while self.marks.front().is_some_and(|(at, _)| now >= *at + self.ttl) {
            self.marks.pop_front();
            self.floor = self.marks.front().map_or(self.next, |(_, first)| *first);
        }
        if self.floor == floor_before {
            return;
        }
        self.secrets = self.secrets.split_off(&self.floor);
        self.uses = self.uses.split_off(&self.floor);
    }
}

impl Use {
    fn request_hash(&self) -> u64 {
        match self {
            Self::UnderWay { request_hash }
            | Self::Answered { request_hash, .. }
            | Self::Unknown { request_hash } => *request_hash,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TTL: Duration = Duration::from_secs(600);

    fn book(incarnation: u64) -> TokenBook {
        TokenBook::new(VmId::new("vm-1"), Incarnation(incarnation), TTL, 1)
    }

    fn answer() -> StoredAnswer {
        StoredAnswer { status: 200, content_type: None, body: vec![1] }
    }

    #[test]
    fn a_token_dispatches_once_and_then_repeats_the_answer() {
        let (mut book, now) = (book(1), Instant::now());
        let token = book.issue(now);
        let token = Token::parse(&token.to_string()).expect("reads back");
        assert_eq!(book.present(now, &token, 7), TokenVerdict::Dispatch);
        assert_eq!(book.present(now, &token, 7), TokenVerdict::UnderWay);
        book.answered(&token, 7, answer());
        assert_eq!(book.present(now, &token, 7), TokenVerdict::Repeated(answer()));
        assert_eq!(book.present(now, &token, 8), TokenVerdict::Reused);
    }

    #[test]
    fn a_token_of_another_incarnation_or_with_a_wrong_secret_never_dispatches() {
        let (mut old, mut new, now) = (book(1), book(2), Instant::now());
        let token = old.issue(now);
        assert_eq!(new.present(now, &token, 7), TokenVerdict::Foreign);
        let forged = Token { secret: token.secret ^ 1, ..token };
        assert_eq!(old.present(now, &forged, 7), TokenVerdict::Foreign);
    }

    #[test]
    fn an_expired_token_is_not_run_even_if_unused() {
        let (mut book, now) = (book(1), Instant::now());
        let token = book.issue(now);
        assert_eq!(book.present(now + TTL, &token, 7), TokenVerdict::Expired);
        assert!(book.is_empty());
    }

    #[test]
    fn only_a_call_proved_not_run_may_use_its_token_again() {
        let (mut book, now) = (book(1), Instant::now());
        let (first, second) = (book.issue(now), book.issue(now));
        book.present(now, &first, 7);
        book.not_run(&first);
        assert_eq!(book.present(now, &first, 7), TokenVerdict::Dispatch);
        book.present(now, &second, 7);
        book.unknown(&second, 7);
        assert_eq!(book.present(now, &second, 7), TokenVerdict::Unknown);
    }
}
