//! Which parts of prompts a node's log of crashes blames.

use {
    glade_quarantine::{Attribution, CrashLog, LostAttempt, Quarantine},
    std::time::{Duration, Instant},
};

const ANSWER_KNOWN_WITHIN: Duration = Duration::from_millis(300);
const SHARED: u64 = 0xf1;
const MIDDLE: u64 = 0x3d;
const CRASHING: u64 = 0xdead;

/// A log, the quarantine that its findings go to, and the time.
struct Log {
    now: Instant,
    log: CrashLog,
    quarantine: Quarantine,
    servers: u32,
    requests: u64,
}

impl Log {
    fn new() -> Self {
        let (log, quarantine) = (CrashLog::default(), Quarantine::default());
        Self { now: Instant::now(), log, quarantine, servers: 0, requests: 0 }
    }

    fn pass_ms(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// A server ends, at which one request with each of `prompts` had no answer yet.
    fn crash(&mut self, prompts: &[&[u64]]) {
        self.servers += 1;
        let server = self.servers;
        for prompt in prompts {
            self.requests += 1;
            self.lose(server, self.requests, prompt);
        }
        self.log.on_ended(self.now, server);
    }

    fn lose(&mut self, server: u32, request: u64, parts: &[u64]) {
        self.log.on_lost(self.now, LostAttempt { server, request, parts: parts.to_vec() });
    }

    /// What the log blames now.
    fn blame(&mut self) -> Vec<Vec<u64>> {
        let found = self.log.attribute(self.now, &self.quarantine, ANSWER_KNOWN_WITHIN);
        found.iter().for_each(|attribution| self.quarantine.add(self.now, attribution));
        found.into_iter().map(|Attribution { parts, .. }| parts).collect()
    }

    /// What the log blames within a time that suffices for it to make up its mind.
    fn blame_in_time(&mut self) -> Vec<Vec<u64>> {
        let mut found = self.blame();
        self.pass_ms(600);
        found.extend(self.blame());
        found
    }

    /// Crashes by requests with the crashing part, `ms` apart.
    fn crash_often(&mut self, times: usize, ms: u64) {
        for _ in 0..times {
            self.crash(&[&[SHARED, MIDDLE, CRASHING], &[SHARED]]);
            self.pass_ms(ms);
        }
    }
}

#[test]
fn a_part_that_crashes_engines_is_blamed_before_the_fifth_crash() {
    let mut log = Log::new();
    log.crash_often(3, 300);
    log.log.on_served(&[SHARED]);
    log.log.on_served(&[MIDDLE]);
    assert_eq!(log.blame_in_time(), [[CRASHING]]);
}

#[test]
fn parts_that_cant_be_told_apart_are_blamed_as_a_combination_only() {
    let mut log = Log::new();
    log.crash_often(3, 300);
    log.log.on_served(&[SHARED]);
    assert_eq!(log.blame_in_time(), [[MIDDLE, CRASHING]]);
    assert!(!log.quarantine.blocks(&[SHARED, MIDDLE]));
    assert!(log.quarantine.blocks(&[SHARED, MIDDLE, CRASHING]));
}

#[test]
fn the_crashing_part_is_blamed_beside_whatever_part_it_comes() {
    let mut log = Log::new();
    for middle in 0..4 {
        log.crash(&[&[SHARED, 0x100 + middle, CRASHING], &[SHARED, 0x200 + middle]]);
        log.pass_ms(300);
    }
    log.log.on_served(&[SHARED]);
    assert_eq!(log.blame_in_time(), [[CRASHING]]);
}

#[test]
fn a_crashing_first_part_is_blamed() {
    let mut log = Log::new();
    for middle in 0..3 {
        log.crash(&[&[CRASHING, 0x100 + middle], &[SHARED, 0x100 + middle]]);
        log.pass_ms(300);
    }
    log.log.on_served(&[SHARED]);
    assert_eq!(log.blame_in_time(), [[CRASHING]]);
}

#[test]
fn a_part_isnt_blamed_for_engines_that_end_together() {
    let mut log = Log::new();
    for _ in 0..20 {
        log.crash(&[&[SHARED, MIDDLE], &[SHARED, MIDDLE]]);
        log.pass_ms(8);
    }
    assert_eq!(log.blame_in_time(), [[0; 0]; 0]);
}

#[test]
fn a_part_isnt_blamed_once_its_requests_are_answered_elsewhere() {
    let mut log = Log::new();
    for _ in 0..10 {
        log.crash(&[&[SHARED, MIDDLE]]);
        log.pass_ms(300);
        log.log.on_served(&[SHARED, MIDDLE]);
        assert_eq!(log.blame(), [[0; 0]; 0]);
    }
}

#[test]
fn connections_that_break_without_an_end_of_their_server_blame_no_part() {
    let mut log = Log::new();
    for server in 0..10 {
        log.lose(server, u64::from(server), &[SHARED, CRASHING]);
        log.pass_ms(300);
    }
    assert_eq!(log.blame_in_time(), [[0; 0]; 0]);
}

#[test]
fn the_attempts_of_one_unlucky_request_blame_no_part() {
    let mut log = Log::new();
    for server in 0..4 {
        log.lose(server, 1, &[SHARED, MIDDLE]);
        log.log.on_ended(log.now, server);
        log.pass_ms(300);
    }
    assert_eq!(log.blame_in_time(), [[0; 0]; 0]);
}

#[test]
fn an_end_that_is_known_before_the_attempts_that_broke_counts() {
    let mut log = Log::new();
    for server in 0..3 {
        log.log.on_ended(log.now, server);
        log.pass_ms(80);
        log.lose(server, u64::from(server), &[CRASHING]);
        log.pass_ms(300);
    }
    assert_eq!(log.blame_in_time(), [[CRASHING]]);
}

#[test]
fn several_crashing_parts_are_blamed_while_nothing_is_answered() {
    let (first, second) = (0xdead, 0xbeef);
    let mut log = Log::new();
    for round in 0..4 {
        let waiting: [&[u64]; 4] = [&[SHARED, 0x100 + round], &[SHARED], &[SHARED], &[SHARED]];
        for part in [first, second] {
            let mut prompts = waiting.to_vec();
            let culprit = [SHARED, part];
            prompts.push(&culprit);
            log.crash(&prompts);
            log.pass_ms(250);
        }
    }
    let mut found = log.blame_in_time();
    found.sort();
    assert_eq!(found, [[SHARED, second], [SHARED, first]]);
}

#[test]
fn a_part_that_begins_to_crash_engines_after_another_is_blamed_too() {
    let mut log = Log::new();
    log.crash_often(3, 300);
    log.log.on_served(&[SHARED, MIDDLE]);
    assert_eq!(log.blame_in_time(), [[CRASHING]]);
    log.pass_ms(20_000);
    for _ in 0..3 {
        log.crash(&[&[SHARED, 0xbeef]]);
        log.pass_ms(300);
    }
    log.log.on_served(&[SHARED]);
    assert_eq!(log.blame_in_time(), [[0xbeef]]);
}

#[test]
fn what_a_quarantined_part_explains_blames_nothing_else() {
    let mut log = Log::new();
    log.crash_often(3, 300);
    log.log.on_served(&[SHARED, MIDDLE]);
    assert_eq!(log.blame_in_time(), [[CRASHING]]);
    for _ in 0..6 {
        log.crash(&[&[SHARED, 0x77], &[SHARED, CRASHING]]);
        log.pass_ms(300);
    }
    assert_eq!(log.blame_in_time(), [[0; 0]; 0]);
}

#[test]
fn a_flood_of_crashes_and_parts_doesnt_grow_the_log() {
    let mut log = Log::new();
    let prompt: Vec<u64> = (0..400).collect();
    for server in 0..2_000 {
        for request in 0..100 {
            log.lose(server, request, &prompt[..40]);
        }
        log.log.on_ended(log.now, server);
    }
    log.pass_ms(300);
    let _ = log.blame();
    assert!(log.log.suspects().count() <= 64);
    let text = format!("{:?}", log.log);
    let attempts = text.matches("LostAttempt").count();
    assert!(attempts <= 128 * 64, "{attempts} attempts are kept");
}

/// Fingerprints of requests with a body of their own.
const ONE: u64 = 0xf17e << 48 | 1;
const OTHER: u64 = 0xf17e << 48 | 2;

#[test]
fn a_request_that_ends_three_servers_at_the_same_moment_is_blamed() {
    let mut log = Log::new();
    for _ in 0..3 {
        log.crash(&[&[ONE]]);
        log.pass_ms(20);
    }
    log.blame();
    log.pass_ms(400);
    assert_eq!(log.blame(), [[ONE]]);
}

#[test]
fn the_attempts_of_one_send_do_not_blame_a_request() {
    let mut log = Log::new();
    for server in 1..=4 {
        log.lose(server, 77, &[ONE]);
        log.log.on_ended(log.now, server);
        log.pass_ms(500);
        assert!(log.blame().is_empty());
    }
}

/// Reads without a body of their own all have one fingerprint, which isn't marked as that of a single request.
#[test]
fn reads_that_were_at_the_same_crashes_are_not_blamed_for_a_request() {
    let mut log = Log::new();
    for _ in 0..4 {
        log.crash(&[&[5], &[ONE]]);
        log.pass_ms(500);
        log.blame();
    }
    assert!(log.quarantine.blocks(&[ONE]));
    assert!(!log.quarantine.blocks(&[5]));
}

#[test]
fn requests_that_share_all_parts_with_a_blamed_one_are_sent() {
    let mut log = Log::new();
    for _ in 0..4 {
        log.crash(&[&[SHARED, MIDDLE, ONE]]);
        log.pass_ms(500);
        log.blame();
    }
    assert!(log.quarantine.blocks(&[SHARED, MIDDLE, ONE]));
    assert!(!log.quarantine.blocks(&[SHARED, MIDDLE, OTHER]));
}

#[test]
fn a_part_in_requests_of_their_own_is_blamed_and_not_each_of_these() {
    let mut log = Log::new();
    for request in 0..4 {
        let own = ONE + 100 + request;
        log.crash(&[&[SHARED, CRASHING, own]]);
        log.log.on_served(&[SHARED]);
        log.pass_ms(500);
        log.blame();
    }
    assert!(log.quarantine.blocks(&[SHARED, CRASHING, OTHER]));
}

#[test]
fn long_prompts_keep_the_fingerprint_of_their_request() {
    let mut log = Log::new();
    let prompt: Vec<u64> = (100..140).chain([ONE]).collect();
    for _ in 0..4 {
        log.crash(&[&prompt]);
        log.pass_ms(500);
        log.blame();
    }
    assert!(log.quarantine.blocks(&prompt));
    let other: Vec<u64> = (100..140).chain([OTHER]).collect();
    assert!(!log.quarantine.blocks(&other));
}

#[test]
fn a_part_is_blamed_though_each_request_with_it_was_blamed_before() {
    let mut log = Log::new();
    for request in 0..2 {
        let own = ONE + 100 + request;
        for _ in 0..3 {
            log.crash(&[&[SHARED, MIDDLE + request, CRASHING, own]]);
            log.pass_ms(60);
            log.blame();
        }
        log.log.on_served(&[SHARED]);
        log.pass_ms(2_000);
        log.blame();
    }
    assert!(log.quarantine.blocks(&[SHARED, MIDDLE, CRASHING, OTHER]), "{:?}", log.quarantine);
}

#[test]
fn requests_with_the_same_body_of_which_some_are_answered_are_not_blamed() {
    let mut log = Log::new();
    for _ in 0..6 {
        log.crash(&[&[SHARED, ONE], &[SHARED, ONE]]);
        log.pass_ms(50);
        log.blame();
        let suspects: Vec<u64> = log.log.suspects().collect();
        assert!(suspects.contains(&ONE), "answers are asked for from the first crash on");
        log.log.on_served(&[ONE]);
        log.pass_ms(150);
        assert!(!log.blame().concat().contains(&ONE));
    }
}

#[test]
fn a_sound_part_is_not_blamed_shortly_before_the_part_that_was_at_more_crashes() {
    let mut log = Log::new();
    log.crash(&[&[SHARED, MIDDLE, 0x61]]);
    for request in 0..2 {
        log.pass_ms(150);
        log.crash(&[&[SHARED, MIDDLE, 0x71 + request], &[SHARED, CRASHING, 0x81 + request]]);
        log.blame();
    }
    for request in 0..4 {
        log.pass_ms(70);
        log.crash(&[&[SHARED, CRASHING, 0x91 + request]]);
        log.log.on_served(&[SHARED]);
        assert!(log.blame().is_empty());
    }
    log.pass_ms(300);
    assert_eq!(log.blame(), [[CRASHING]]);
}

#[test]
fn a_part_of_several_requests_that_each_ended_two_servers_in_a_moment_is_blamed() {
    let mut log = Log::new();
    for _ in 0..2 {
        for request in 0..3 {
            log.crash(&[&[SHARED, CRASHING, ONE + request]]);
        }
        log.log.on_served(&[SHARED]);
        log.blame();
        log.pass_ms(130);
    }
    log.pass_ms(300);
    log.blame();
    assert!(log.quarantine.blocks(&[SHARED, CRASHING, OTHER + 100]), "{:?}", log.quarantine);
    assert!(!log.quarantine.blocks(&[SHARED, ONE]), "the part explains all crashes");
}
