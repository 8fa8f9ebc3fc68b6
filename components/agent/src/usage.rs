//! Token usage, parsed from the end of an answer.
//!
//! Engines put a `usage` object into the JSON answer or into the last event of a stream. Only the
//! last bytes are kept, so the agent neither buffers nor parses complete answers.

use serde::Deserialize;
use types::Usage;

/// Large enough for the `usage` object and everything that follows it.
const TAIL_LIMIT_BYTES: usize = 512;
const USAGE_KEY: &[u8] = b"\"usage\":";

/// Last bytes of an answer.
#[derive(Default)]
pub struct AnswerTail {
    bytes: Vec<u8>,
}

#[derive(Deserialize)]
struct ReportedUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Default, Deserialize)]
struct PromptTokensDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl AnswerTail {
    /// Appends bytes and discards the excess at the front.
    pub fn push(&mut self, bytes: &[u8]) {
        let fresh = &bytes[bytes.len().saturating_sub(TAIL_LIMIT_BYTES)..];
        let excess = (self.bytes.len() + fresh.len()).saturating_sub(TAIL_LIMIT_BYTES);
        self.bytes.drain(..excess);
        self.bytes.extend_from_slice(fresh);
    }

    /// Parsed usage; zeros if the answer contains none.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let Some(start) = self
            .bytes
            .windows(USAGE_KEY.len())
            .rposition(|at| at == USAGE_KEY)
        else {
            return Usage::default();
        };
        let object = &self.bytes[start + USAGE_KEY.len()..];
        let mut values = serde_json::Deserializer::from_slice(object).into_iter::<ReportedUsage>();
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
