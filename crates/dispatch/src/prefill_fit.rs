//! How fast the engines of a service read prompts of one model, learnt from prompts that seemed to be read
//! alone.
//!
//! A first event takes some time whatever its prompt's length, so a single answer doesn't tell how fast an
//! engine reads; a line through many does. Much may hold up an answer that this VM doesn't know of, and
//! nothing speeds one up, so the line lies near the fastest answers. All engines of a service are alike,
//! and few prompts are read alone at any one of them.

/// Weight that earlier samples keep with each new one.
const DECAY: f64 = 0.995;
/// Before any answer: about what the users' accelerators reach, in seconds a token.
pub(crate) const DEFAULT_S_PER_TOKEN: f64 = 1.0 / 25_000.0;
/// Weight of that, in samples.
const DEFAULT_WEIGHT: f64 = 4.0;
/// Tokens around the mean at which the default is placed, as a spread.
const DEFAULT_SPREAD: f64 = 800.0;
/// Bounds on the slope, in seconds a token.
const S_PER_TOKEN_MIN: f64 = 1.0 / 200_000.0;
const S_PER_TOKEN_MAX: f64 = 1.0 / 2_000.0;
/// Weight of a sample above the line; one below it counts in full.
const DELAYED_WEIGHT: f64 = 0.05;

/// A line through times by tokens, the newest samples counting most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillFit {
    weight: f64,
    tokens: f64,
    time_s: f64,
    tokens_squared: f64,
    tokens_time: f64,
}

impl Default for PrefillFit {
    fn default() -> Self {
        let mut fit =
            Self { weight: 0.0, tokens: 0.0, time_s: 0.0, tokens_squared: 0.0, tokens_time: 0.0 };
        for tokens in [DEFAULT_SPREAD, 3.0 * DEFAULT_SPREAD] {
            fit.add(tokens, tokens * DEFAULT_S_PER_TOKEN, DEFAULT_WEIGHT / 2.0);
        }
        fit
    }
}

impl PrefillFit {
    /// What is to be expected of a model of which nothing is known, by what `service` shows of all.
    pub(crate) fn like(service: &Self) -> Self {
        let mut fit =
            Self { weight: 0.0, tokens: 0.0, time_s: 0.0, tokens_squared: 0.0, tokens_time: 0.0 };
        for tokens in [DEFAULT_SPREAD, 3.0 * DEFAULT_SPREAD] {
            fit.add(tokens, service.time_s(tokens), DEFAULT_WEIGHT / 2.0);
        }
        fit
    }

    /// Takes note that a prompt of `tokens` was read alone in `time_s`.
    pub(crate) fn add_sample(&mut self, tokens: u32, time_s: f64) {
        let tokens = f64::from(tokens);
        if tokens <= 0.0 || time_s <= 0.0 {
            return;
        }
        let weight = if time_s > self.time_s(tokens) { DELAYED_WEIGHT } else { 1.0 };
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.time_s,
            &mut self.tokens_squared,
            &mut self.tokens_time,
        ] {
            *sum *= DECAY.powf(weight);
        }
        self.add(tokens, time_s, weight);
    }

    fn add(&mut self, tokens: f64, time_s: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.time_s += weight * time_s;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_time += weight * tokens * time_s;
    }

    /// Seconds that each token takes.
    pub(crate) fn s_per_token(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let slope = (self.weight * self.tokens_time - self.tokens * self.time_s) / spread;
        if slope.is_finite() {
            slope.clamp(S_PER_TOKEN_MIN, S_PER_TOKEN_MAX)
        } else {
            DEFAULT_S_PER_TOKEN
        }
    }

    /// Time to the first event beside what reading takes, in seconds.
    pub(crate) fn overhead_s(&self) -> f64 {
        ((self.time_s - self.s_per_token() * self.tokens) / self.weight).max(0.0)
    }

    /// Time that reading `tokens` alone takes, in seconds.
    pub(crate) fn time_s(&self, tokens: f64) -> f64 {
        self.overhead_s() + self.s_per_token() * tokens
    }
}

#[cfg(test)]
mod tests;
