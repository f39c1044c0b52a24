//! Identifies a request by its contents, whoever sends it and under whichever id.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x9E37_79B9_7F4A_7C15;

/// Hash of a request's contents, by which the quarantine knows it like a part of its prompt.
#[derive(Clone, Copy, Debug)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Begins a fingerprint.
    pub fn new() -> Self {
        Self(OFFSET_BASIS)
    }

    /// Adds a field, with its length, so that bytes don't move from one field to the next.
    pub fn add(&mut self, field: &[u8]) {
        self.add_word(field.len() as u64);
        let (words, rest) = field.as_chunks::<8>();
        words.iter().for_each(|word| self.add_word(u64::from_le_bytes(*word)));
        let mut last = [0; 8];
        last[..rest.len()].copy_from_slice(rest);
        self.add_word(u64::from_le_bytes(last));
    }

    /// The hash.
    pub fn get(self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(PRIME);
        mixed ^ (mixed >> 29)
    }

    fn add_word(&mut self, word: u64) {
        self.0 = (self.0 ^ word).wrapping_mul(PRIME).rotate_left(27);
    }
}

impl Default for Fingerprint {
    fn default() -> Self {
        Self::new()
    }
}
