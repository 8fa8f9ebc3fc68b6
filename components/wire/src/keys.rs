//! Keys for the MAC. Two may be valid at once, so that they can be rotated without a cut.

use crate::error::WireError;

/// Length of a MAC on the wire. 16 bytes leave a forger a chance of 2^-128 for each try.
pub const MAC_BYTES: usize = 16;

/// One shared key.
#[derive(Clone)]
pub struct Key {
    /// Number that goes on the wire.
    pub id: u8,
    /// Secret.
    pub secret: [u8; 32],
}

/// Keys accepted by this process; the first one signs.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Takes the signing key first. Returns `None` without any key.
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

    /// MAC of `parts`, in order, with the signing key.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        mac(&self.keys[0].secret, parts)
    }

    /// Checks a MAC in constant time.
    ///
    /// # Errors
    ///
    /// `UnknownKey` or `BadMac`.
    pub fn verify(&self, id: u8, parts: &[&[u8]], tag: &[u8]) -> Result<(), WireError> {
        let Some(key) = self.keys.iter().find(|key| key.id == id) else {
            return Err(WireError::UnknownKey(id));
        };
        let expected = mac(&key.secret, parts);
        let difference = expected
            .iter()
            .zip(tag)
            .fold(0, |sum, (a, b)| sum | (a ^ b));
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
