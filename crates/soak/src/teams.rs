//! Teams with keys and quotas, and whether nodes keep to them.

use {
    crate::checks::Violation,
    glade_standins::site::{Caller, RunLog},
    glade_system::site::Site,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Part of all keys, known and unknown, that no log may contain.
const KEY_MARK: &str = "key-7f1c93d0";
/// Team whose keys are revoked, and which has no quota.
const ROTATING: &str = "rotating";
/// Team with a quota that is smaller than what its callers ask for.
const SMALL: &str = "small";
/// Team with a quota that its callers don't use up.
const LARGE: &str = "large";
const NAMES: [&str; 3] = [ROTATING, SMALL, LARGE];
/// Tokens a second of the quotas. The bursts are a second's rate.
const SMALL_RATE: f64 = 4200.0;
const LARGE_RATE: f64 = 445_996.0;
/// Tokens of a request to a plain server.
const PLAIN_TOKENS: u64 = 1000;
/// Time from one revocation to the next.
const REVOKED_EVERY: Duration = Duration::from_millis(2500);
/// One in so many requests has an unknown key.
const UNKNOWN_ONE_IN: u8 = 12;
/// One in so many requests of the team whose keys are revoked has the key before the present one.
const EARLIER_ONE_IN: u8 = 4;
/// What a team's requests may send to servers in the window: (rate x window + burst) x share + beyond.
const WINDOW: Duration = Duration::from_secs(8);
const ALLOWED_SHARE: f64 = 1.1;
const ALLOWED_BEYOND: f64 = 17_000.0;

/// A request's team and the tokens that it counts; no team if its key is unknown.
#[derive(Clone, Copy, Debug)]
struct Sent {
    team: Option<&'static str>,
    tokens: u64,
}

/// Draws callers' keys, revokes keys, and watches what nodes make of them.
#[derive(Debug)]
pub(crate) struct Teams {
    rng: fastrand::Rng,
    /// Number of the present key of the team whose keys are revoked.
    generation: u64,
    revokes_at: Duration,
    sent: HashMap<String, Sent>,
}

impl Teams {
    pub(crate) fn new(rng: fastrand::Rng) -> Self {
        Self { rng, generation: 1, revokes_at: REVOKED_EVERY, sent: HashMap::new() }
    }

    /// The teams as the configuration lists them.
    pub(crate) fn json(&self) -> String {
        let rotating = rotating_key(self.generation);
        let with_quota = |name: &str, rate: f64| {
            format!(
                r#"{{"Name":"{name}","ApiKeys":["{KEY_MARK}-{name}"],"Unit":"tokens","RatePerS":{rate},"Burst":{rate},"PlainTokens":{PLAIN_TOKENS}}}"#
            )
        };
        let (small, large) = (with_quota(SMALL, SMALL_RATE), with_quota(LARGE, LARGE_RATE));
        format!(r#"[{{"Name":"{ROTATING}","ApiKeys":["{rotating}"]}},{small},{large}]"#)
    }

    /// Replaces a key by the next if it is time; true if the configuration changes.
    pub(crate) fn revoke(&mut self, now: Duration) -> bool {
        if now < self.revokes_at {
            return false;
        }
        self.revokes_at = now + REVOKED_EVERY;
        self.generation += 1;
        true
    }

    /// Draws who sends the request `id`, whose terms name `tokens`.
    pub(crate) fn draw(&mut self, id: &str, tokens: u64) -> Caller {
        let is_unknown = self.rng.u8(0..UNKNOWN_ONE_IN) == 0;
        let name = NAMES[self.rng.usize(0..NAMES.len())];
        let is_earlier = self.rng.u8(0..EARLIER_ONE_IN) == 0;
        let key = match name {
            _ if is_unknown => format!("{KEY_MARK}-unknown-{}", self.rng.u32(..)),
            ROTATING => rotating_key(self.generation - u64::from(is_earlier)),
            name => format!("{KEY_MARK}-{name}"),
        };
        let tokens = if tokens == 0 { PLAIN_TOKENS } else { tokens };
        let team = (!is_unknown).then_some(name);
        self.sent.insert(id.to_owned(), Sent { team, tokens });
        caller(&key)
    }

    /// A caller with a valid key of a team without a quota, for the request `id`.
    pub(crate) fn entitled(&mut self, id: &str) -> Caller {
        self.sent.insert(id.to_owned(), Sent { team: Some(ROTATING), tokens: 0 });
        caller(&rotating_key(self.generation))
    }

    /// A caller with the key that was revoked last.
    pub(crate) fn revoked(&self) -> Caller {
        caller(&rotating_key(self.generation - 1))
    }

    /// True if the request `id` may be refused with `status` for its key or its team's quota.
    pub(crate) fn may_refuse(&self, id: &str, status: u16) -> bool {
        let Some(sent) = self.sent.get(id) else { return false };
        match status {
            401 => [None, Some(ROTATING)].contains(&sent.team),
            429 => [Some(SMALL), Some(LARGE)].contains(&sent.team),
            _ => false,
        }
    }

    /// Checks what servers got and what nodes have logged.
    pub(crate) fn check(&self, site: &Site) -> Vec<Violation> {
        let mut found = self.check_seen(&site.log);
        found.extend(check_logs(site));
        let quotas = [(SMALL, SMALL_RATE), (LARGE, LARGE_RATE)];
        found.extend(quotas.iter().filter_map(|(name, rate)| {
            let most = self.most_tokens(name, &site.log);
            let allowed = (rate * WINDOW.as_secs_f64() + rate) * ALLOWED_SHARE + ALLOWED_BEYOND;
            let promise = "a team's requests keep to its quota";
            let seen = || format!("{name}: {most} tokens in 8 s, allowed {allowed}");
            (most as f64 > allowed).then(|| Violation { promise, seen: seen() })
        }));
        found
    }

    /// Checks the headers of each request that a server got.
    fn check_seen(&self, log: &RunLog) -> Vec<Violation> {
        let mut found = Vec::new();
        for seen in log.seen_teams() {
            let team = self.sent.get(&seen.request_id).map(|sent| sent.team);
            let is_named = match team {
                Some(team) => seen.teams.iter().map(String::as_str).eq(team),
                // Requests for places don't name the request that they are for.
                None => seen.teams.len() == 1 && NAMES.contains(&seen.teams[0].as_str()),
            };
            let promises = [
                ("no request with an unknown key runs", team != Some(None)),
                ("servers are told the right team", is_named),
                ("servers get no key", !seen.has_key),
            ];
            let broken = promises.iter().filter(|(_, holds)| !holds);
            found.extend(broken.map(|(promise, _)| Violation {
                promise,
                seen: format!("{seen:?}, sent as {team:?}"),
            }));
        }
        found
    }

    /// Most tokens of a team's requests whose first attempts reached servers within the window.
    fn most_tokens(&self, team: &str, log: &RunLog) -> u64 {
        let mut first: HashMap<String, Instant> = HashMap::new();
        for seen in log.seen_teams() {
            first.entry(seen.request_id).or_insert(seen.at);
        }
        let mut charged: Vec<(Instant, u64)> = first
            .iter()
            .filter_map(|(id, at)| Some((*at, self.sent.get(id)?)))
            .filter(|(_, sent)| sent.team == Some(team))
            .map(|(at, sent)| (at, sent.tokens))
            .collect();
        charged.sort();
        let in_window = |from: usize| {
            let end = charged[from].0 + WINDOW;
            charged[from..].iter().take_while(|(at, _)| *at < end).map(|(_, tokens)| tokens).sum()
        };
        (0..charged.len()).map(in_window).max().unwrap_or(0)
    }
}

fn rotating_key(generation: u64) -> String {
    format!("{KEY_MARK}-{ROTATING}-{generation}")
}

/// A caller that also claims to be of another team.
fn caller(key: &str) -> Caller {
    Caller::with_headers(&[("authorization", &format!("Bearer {key}")), ("tenant", "claimed")])
}

fn check_logs(site: &Site) -> Vec<Violation> {
    let promise = "no log holds a key";
    let of_node = |node| {
        let log = site.node_log(node);
        let line = log.lines().find(|line| line.contains(KEY_MARK))?.to_owned();
        Some(Violation { promise, seen: format!("node-{node}: {line}") })
    };
    (0..site.node_count()).filter_map(of_node).collect()
}
