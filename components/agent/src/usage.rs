//! Token usage, read from the end of an answer.
//!
//! Engines put a `usage` object into the JSON answer or into the last event of a stream. Only
//! the last bytes are kept, so the agent need not hold or parse whole answers.

use serde::Deserialize;
use types::Usage;

/// The `usage` object and what follows it fit into this.
const TAIL_LIMIT_BYTES: usize = 512;
const MARK: &[u8] = b"\"usage\":";

/// Last bytes of an answer.
#[derive(Default)]
pub struct Tail {
    bytes: Vec<u8>,
}

#[derive(Deserialize)]
struct Reported {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u32,
}

impl Tail {
    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let fresh = &bytes[bytes.len().saturating_sub(TAIL_LIMIT_BYTES)..];
        let excess = (self.bytes.len() + fresh.len()).saturating_sub(TAIL_LIMIT_BYTES);
        self.bytes.drain(..excess);
        self.bytes.extend_from_slice(fresh);
    }

    /// Usage, or zeros if the answer does not state any.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let Some(start) = self.bytes.windows(MARK.len()).rposition(|at| at == MARK) else {
            return Usage::default();
        };
        let object = &self.bytes[start + MARK.len()..];
        let mut values = serde_json::Deserializer::from_slice(object).into_iter::<Reported>();
        match values.next() {
            Some(Ok(reported)) => Usage {
                prompt_tokens: reported.prompt_tokens,
                cached_tokens: reported.prompt_tokens_details.cached_tokens,
                output_tokens: reported.completion_tokens,
            },
            _ => Usage::default(),
        }
    }
}
