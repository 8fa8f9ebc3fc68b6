//! Unguessable tokens that are derived from a seed, so that simulations are reproducible.

/// Generator of tokens that are unique to one entry and seed.
pub(crate) struct Tokens {
    seed: [u8; 32],
    counter: u64,
}

impl Tokens {
    pub fn new(entry: u64, seed: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&entry.to_le_bytes());
        hasher.update(&seed.to_le_bytes());
        Self {
            seed: *hasher.finalize().as_bytes(),
            counter: 0,
        }
    }

    pub fn next(&mut self) -> u128 {
        self.counter += 1;
        let hash = blake3::keyed_hash(&self.seed, &self.counter.to_le_bytes());
        let mut token = [0; 16];
        token.copy_from_slice(&hash.as_bytes()[..16]);
        u128::from_le_bytes(token)
    }
}
