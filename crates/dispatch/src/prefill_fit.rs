//! Prefill speed of a service's engines for one model, fitted to prompts that were probably
//! prefilled alone.
//!
//! A first event takes some time whatever the length of the prompt, so a single answer does not
//! show the prefill speed; a line fitted through many answers does. Much that this VM cannot
//! observe may delay an answer, and nothing speeds one up, so the line is fitted near the fastest
//! answers. All engines of a service are alike and each prefills few prompts alone, so they share
//! one fit.

/// Factor by which the weight of earlier samples decays with each new sample.
const DECAY: f64 = 0.995;
/// Initial estimate, in seconds per token: about the speed of the users' accelerators.
pub(crate) const DEFAULT_S_PER_TOKEN: f64 = 1.0 / 25_000.0;
/// Weight of the initial estimate, in samples.
const DEFAULT_WEIGHT: f64 = 4.0;
/// Spread of the two initial sample points around their mean.
const DEFAULT_SPREAD_TOKENS: f64 = 800.0;
/// Bounds on the slope, in seconds per token.
const S_PER_TOKEN_MIN: f64 = 1.0 / 200_000.0;
const S_PER_TOKEN_MAX: f64 = 1.0 / 2_000.0;
/// Weight of a sample above the line; a sample below the line has weight 1.
const DELAYED_WEIGHT: f64 = 0.05;

/// Weighted linear fit of time over tokens; newer samples weigh more.
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
        for tokens in [DEFAULT_SPREAD_TOKENS, 3.0 * DEFAULT_SPREAD_TOKENS] {
            fit.add(tokens, tokens * DEFAULT_S_PER_TOKEN, DEFAULT_WEIGHT / 2.0);
        }
        fit
    }
}

impl PrefillFit {
    /// Initial estimate for a model without samples, from the fit of its whole `service`.
    pub(crate) fn from_service_fit(service: &Self) -> Self {
        let mut fit =
            Self { weight: 0.0, tokens: 0.0, time_s: 0.0, tokens_squared: 0.0, tokens_time: 0.0 };
        for tokens in [DEFAULT_SPREAD_TOKENS, 3.0 * DEFAULT_SPREAD_TOKENS] {
            fit.add(tokens, service.time_s(tokens), DEFAULT_WEIGHT / 2.0);
        }
        fit
    }

    /// Adds the sample of a prompt of `tokens` tokens that was prefilled alone in `time_s`.
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

    /// Prefill time per token, in seconds.
    pub(crate) fn s_per_token(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let slope = (self.weight * self.tokens_time - self.tokens * self.time_s) / spread;
        if slope.is_finite() {
            slope.clamp(S_PER_TOKEN_MIN, S_PER_TOKEN_MAX)
        } else {
            DEFAULT_S_PER_TOKEN
        }
    }

    /// Time to the first event apart from prefill, in seconds.
    pub(crate) fn overhead_s(&self) -> f64 {
        ((self.time_s - self.s_per_token() * self.tokens) / self.weight).max(0.0)
    }

    /// Time to the first event for a prompt of `tokens` tokens that is prefilled alone, in seconds.
    pub(crate) fn time_s(&self, tokens: f64) -> f64 {
        self.overhead_s() + self.s_per_token() * tokens
    }
}

#[cfg(test)]
mod tests;
