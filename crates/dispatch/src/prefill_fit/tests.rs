//! Fits of lines through noisy samples.

use super::*;

fn fitted(s_per_token: f64, overhead_s: f64, seed: u64) -> PrefillFit {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fit = PrefillFit::default();
    for _ in 0..400 {
        let tokens = 100 + rng.u32(0..6000);
        // Half of the answers are delayed.
        let delay_s = (rng.f64() - 0.5).max(0.0) * 0.2;
        fit.add_sample(tokens, overhead_s + f64::from(tokens) * s_per_token + delay_s);
    }
    fit
}

#[test]
fn prefill_speed_is_separated_from_first_event_overhead() {
    for (tokens_per_s, overhead_s) in [(19_200.0, 0.08), (29_400.0, 0.0), (38_100.0, 0.001)] {
        for seed in 1..6 {
            let fit = fitted(1.0 / tokens_per_s, overhead_s, seed);
            let found = 1.0 / fit.s_per_token();
            assert!((found / tokens_per_s - 1.0).abs() < 0.15, "{found} for {tokens_per_s}");
            assert!(
                (fit.overhead_s() - overhead_s).abs() < 0.02,
                "{} for {overhead_s}",
                fit.overhead_s()
            );
        }
    }
}

#[test]
fn an_answer_of_a_stalled_server_has_little_weight() {
    let mut fit = fitted(1.0 / 20_000.0, 0.0, 1);
    let before = fit.time_s(2000.0);
    fit.add_sample(1000, 1.0);
    assert!((fit.time_s(2000.0) / before - 1.0).abs() < 0.03);
}

#[test]
fn a_model_without_samples_starts_with_the_fit_of_its_service() {
    let service = fitted(1.0 / 20_000.0, 0.05, 1);
    let fit = PrefillFit::from_service_fit(&service);
    assert!((fit.time_s(3000.0) / service.time_s(3000.0) - 1.0).abs() < 0.01);
}
