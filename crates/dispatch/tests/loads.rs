//! Named loads, played in virtual time against engines that read prompts between the tokens of their
//! streams, as the users' engines do. Checked is what callers get.

mod common;

use {
    common::{
        SLOTS,
        play::{Arrival, Outcome, Play, shares},
    },
    std::{ops::Range, time::Duration},
};

/// Requests that an engine keeps beside those that it runs.
const ENGINE_QUEUE: usize = 33;

/// Chats like Kalahari's, `per_s` of them for ten seconds.
fn chats(per_s: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals: Vec<Arrival> = (0..per_s * 10)
        .map(|_| Arrival {
            at_ms: rng.u64(0..10_000),
            prompt_tokens: 200 + (rng.f64().powi(3) * 3000.0) as u32,
            output_tokens: 50 + (rng.f64().powi(2) * 600.0) as u32,
        })
        .collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Risk checks among them: few tokens out, long prompts in.
fn with_long_prompts(mut arrivals: Vec<Arrival>, per_s: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    arrivals.extend((0..per_s * 10).map(|_| Arrival {
        at_ms: rng.u64(0..10_000),
        prompt_tokens: 1500 + rng.u32(0..5000),
        output_tokens: 15,
    }));
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Shares of requests in time, and served at all, over one play for each of `seeds`.
fn shares_over(seeds: Range<u64>, play: impl FnMut(u64) -> Vec<Outcome>) -> (f64, f64) {
    let outcomes: Vec<Outcome> = seeds.flat_map(play).collect();
    shares(&outcomes)
}

#[test]
fn a_calm_load_is_served_in_time() {
    let outcomes = Play::run(6, &chats(36, 1));
    let (in_time, served) = shares(&outcomes);
    assert!(in_time >= 0.97 && served >= 1.0, "in time {in_time}, served {served}");
}

/// quiet-1 at Kalahari: chats were late although their first events came in time, because long prompts
/// behind each other made their streams pause.
#[test]
fn long_prompts_beside_streams_leave_the_streams_in_time() {
    // Without pacing 0.86 are in time; the target is 0.9.
    let (in_time, served) =
        shares_over(1..4, |seed| Play::run(6, &with_long_prompts(chats(50, seed), 12, seed + 10)));
    assert!(in_time >= 0.9 && served >= 0.99, "in time {in_time}, served {served}");
}

/// A burst of three times the load for three seconds. The engines' places suffice for all of it before
/// its callers leave, so nine tenths at least are to be served, and the rest told at once.
#[test]
fn a_burst_beyond_capacity_still_serves_what_fits() {
    let mut load = chats(30, 4);
    let burst = chats(60, 5).into_iter().filter(|arrival| arrival.at_ms < 3000);
    load.extend(burst.map(|arrival| Arrival { at_ms: arrival.at_ms + 3000, ..arrival }));
    load.sort_by_key(|arrival| arrival.at_ms);
    let outcomes = Play::run(4, &load);
    let (_, served) = shares(&outcomes);
    assert!(served >= 0.9, "served {served}");
    let unanswered =
        outcomes.iter().filter(|outcome| outcome.first_event.is_none() && !outcome.refused);
    assert_eq!(unanswered.count(), 0, "neither served nor refused");
}

/// Callers leave after 2.4 s: nobody is kept waiting beyond that to be refused in the end.
#[test]
fn nobody_waits_in_vain() {
    let outcomes = Play::run(1, &chats(60, 6));
    let too_late = outcomes
        .iter()
        .filter(|outcome| outcome.first_event.is_some_and(|time| time > Duration::from_secs(5)));
    let share = too_late.count() as f64 / outcomes.len() as f64;
    assert!(share <= 0.02, "{share} of the first events came long after their callers left");
}

/// trouble-1 at the grown Jëf-Jël: 86 nodes that learnt of each other's loads a quarter of a second late
/// all chose the server that had least to do, so its streams paused while it read all their prompts.
#[test]
fn many_nodes_that_know_little_of_each_other_dont_all_choose_the_same_server() {
    let (in_time, served) =
        shares_over(1..4, |seed| Play::run_nodes(60, 250, 12, &chats(80, seed)));
    assert!(in_time >= 0.9 && served >= 0.99, "in time {in_time}, served {served}");
}

/// The same with long prompts among the chats, as both users have them. Prompts were held back while
/// others were said to be read that had long been; all that waited then went at once.
#[test]
fn many_nodes_leave_streams_in_time_beside_long_prompts() {
    let load = |seed| with_long_prompts(chats(30, seed), 5, seed + 10);
    let (in_time, served) = shares_over(1..9, |seed| Play::run_nodes(60, 200, 4, &load(seed)));
    // With pacing by what others tell 0.56 are in time, with one node that knows all 0.99.
    assert!(in_time >= 0.7 && served >= 0.99, "in time {in_time}, served {served}");
}

/// The same, where nodes tell each other of each prompt as well, and word takes 30 ms at most.
#[test]
fn word_of_prompts_leaves_streams_in_time() {
    let load = |seed| with_long_prompts(chats(30, seed), 5, seed + 10);
    let play = |seed| Play::run_nodes_that_tell(60, 200, Some(30), 4, &load(seed));
    let (in_time, served) = shares_over(1..9, play);
    assert!(in_time >= 0.88 && served >= 0.99, "in time {in_time}, served {served}");
}

/// Most models are held by one engine alone, so that there is nothing to choose: long prompts wait until
/// those before them are read.
#[test]
fn word_of_prompts_leaves_streams_of_a_models_only_engine_in_time() {
    let load = |seed| with_long_prompts(chats(7, seed), 1, seed + 10);
    let play = |seed| Play::run_nodes_that_tell(60, 200, Some(30), 1, &load(seed));
    let (in_time, served) = shares_over(1..17, play);
    // Without word 0.71, with one node that knows all 0.94.
    assert!(in_time >= 0.77 && served >= 0.99, "in time {in_time}, served {served}");
}

/// Seven nodes tell each other at once, and less often what they have under way.
#[test]
fn few_nodes_that_tell_of_prompts_leave_streams_in_time() {
    let load = |seed| with_long_prompts(chats(30, seed), 5, seed + 10);
    let play = |seed| Play::run_nodes_that_tell(7, 50, Some(10), 4, &load(seed));
    let (in_time, served) = shares_over(1..9, play);
    assert!(in_time >= 0.88 && served >= 0.99, "in time {in_time}, served {served}");
}

/// scale-1 at the large Kalahari: 295 nodes whose requests wait for a model's only engine all learnt of a
/// free place at once, and it rejected one in nine, for it keeps no more than 33 beside those it runs.
#[test]
fn a_free_place_isnt_given_to_all_that_wait() {
    for seed in 1..5 {
        let outcomes = Play::run_nodes_that_tell(60, 300, Some(100), 1, &chats(40, seed));
        let sent = outcomes.iter().filter(|outcome| !outcome.refused);
        let most = sent.map(|outcome| outcome.found_there).max().unwrap_or(0);
        assert!(most <= SLOTS as usize + ENGINE_QUEUE, "{most} at once");
        let served = outcomes.iter().filter(|outcome| outcome.first_event.is_some()).count();
        println!("{most} {served}");
    }
}

/// scale-2 at the grown Merrimack Valley: 91 nodes that heard of each other's prompts after 30 ms made half
/// of the streams late. With one that decides on all starts, as many are in time as if one node sent all.
#[test]
fn a_coordinator_leaves_streams_in_time() {
    let load = |seed| with_long_prompts(chats(30, seed), 5, seed + 10);
    let (in_time, served) = shares_over(1..9, |seed| Play::run_coordinated(4, &load(seed)));
    // Nodes that tell each other of each prompt 0.88, of loads alone 0.7.
    assert!(in_time >= 0.95 && served >= 0.99, "in time {in_time}, served {served}");
}

#[test]
fn a_coordinator_leaves_streams_of_a_models_only_engine_in_time() {
    let load = |seed| with_long_prompts(chats(7, seed), 1, seed + 10);
    let (in_time, served) = shares_over(1..17, |seed| Play::run_coordinated(1, &load(seed)));
    // Nodes that tell each other of each prompt 0.77.
    assert!(in_time >= 0.85 && served >= 0.99, "in time {in_time}, served {served}");
}

/// Twice what the engines can do: what can't be served in time is refused early, and nobody waits in vain.
#[test]
fn a_coordinator_refuses_early_what_cant_be_served() {
    let outcomes = Play::run_coordinated(2, &chats(60, 7));
    let (_, served) = shares(&outcomes);
    let unanswered =
        outcomes.iter().filter(|outcome| outcome.first_event.is_none() && !outcome.refused);
    assert_eq!(unanswered.count(), 0, "neither served nor refused");
    assert!(served >= 0.4, "served {served}");
}
