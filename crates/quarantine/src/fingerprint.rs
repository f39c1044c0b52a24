//! Identifies a request by its contents, whoever sends it and under whichever id.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x9E37_79B9_7F4A_7C15;
/// Upper bits of the fingerprints of single requests, by which these are told from parts of prompts.
const MARK: u64 = 0xf17e << 48;
const MARK_BITS: u64 = 0xffff << 48;

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

    /// The hash. Requests with a body of their own `are_single`; those without one may be many that ask for the same.
    pub fn get(self, are_single: bool) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(PRIME);
        let hash = (mixed ^ (mixed >> 29)) & !MARK_BITS;
        if are_single { hash | MARK } else { hash }
    }

    /// True if `part` is the fingerprint of a single request.
    pub(crate) fn is_of_single_request(part: u64) -> bool {
        part & MARK_BITS == MARK
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
