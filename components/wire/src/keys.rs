//! MAC keys. Several keys can be valid at the same time, so that keys can be rotated without
//! interrupting connections.

use crate::error::WireError;

/// Length of a MAC on the wire. With 16 bytes, a forged MAC is accepted with probability 2^-128.
pub const MAC_BYTES: usize = 16;

/// Pre-shared key.
#[derive(Clone)]
pub struct Key {
    /// Id that identifies the key on the wire.
    pub id: u8,
    /// Secret key of the MAC.
    pub secret: [u8; 32],
}

/// Keys that this process accepts; the first one is used for signing.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Creates a keyring whose first key signs. Returns `None` if `keys` is empty.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        Some(Self { keys })
    }

    /// Id of the signing key.
    #[must_use]
    pub fn signing_id(&self) -> u8 {
        self.keys[0].id
    }

    /// Computes the MAC of the concatenated `parts` with the signing key.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        mac(&self.keys[0].secret, parts)
    }

    /// Verifies a MAC in constant time.
    ///
    /// # Errors
    ///
    /// Returns `UnknownKey` if no key has this id, and `BadMac` if the MAC does not match.
    pub fn verify(&self, id: u8, parts: &[&[u8]], tag: &[u8]) -> Result<(), WireError> {
        let Some(key) = self.keys.iter().find(|key| key.id == id) else {
            return Err(WireError::UnknownKey(id));
        };
        let expected = mac(&key.secret, parts);
        let difference = expected
            .iter()
            .zip(tag)
            .fold(0, |bits, (a, b)| bits | (a ^ b));
        if tag.len() != MAC_BYTES || difference != 0 {
            return Err(WireError::BadMac);
        }
        Ok(())
    }
}

fn mac(secret: &[u8; 32], parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    for part in parts {
        hasher.update(part);
    }
    let mut tag = [0; MAC_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    tag
}
