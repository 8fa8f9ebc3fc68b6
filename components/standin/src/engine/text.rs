//! Deterministic output text and digests, so that a checker can verify that a response is complete
//! and belongs to its request.

use serde::Deserialize;

/// Output length without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;
/// Bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;
/// Prompt tokens in one piece of the prefix cache.
pub const TOKENS_PER_PIECE: u32 = 2000;

/// Body of a completion or chat completion request.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// Requested model; empty for any.
    pub model: String,
    /// Prompt of `/v1/completions`.
    pub prompt: String,
    /// Messages of `/v1/chat/completions`.
    pub messages: Vec<Message>,
    /// Output length; the stand-in always generates exactly this many tokens.
    pub max_tokens: Option<u32>,
    /// Whether to respond with server-sent events.
    pub stream: bool,
}

/// Chat message.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Author of the message.
    pub role: String,
    /// Message text.
    pub content: String,
}

impl CompletionRequest {
    /// Prompt text; chat messages are joined by line breaks.
    #[must_use]
    pub fn prompt_text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let contents: Vec<&str> = self
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        contents.join("\n")
    }

    /// Number of output tokens to generate.
    #[must_use]
    pub fn output_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS)
    }
}

/// 64-bit FNV-1a digest, as used by the counters for request bodies.
#[must_use]
pub fn body_digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Number of tokens of a prompt.
#[must_use]
pub fn prompt_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Output token at an index, derived from the digest of the prompt.
#[must_use]
pub fn token(prompt_digest: u64, index: u32) -> String {
    let mixed = body_digest(&[&prompt_digest.to_le_bytes()[..], &index.to_le_bytes()].concat());
    format!("{:04x} ", mixed & 0xffff)
}

/// Complete output text for a prompt.
#[must_use]
pub fn output_text(prompt: &str, tokens: u32) -> String {
    let digest = body_digest(prompt.as_bytes());
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// Hash of the prompt prefix up to the end of each complete piece, for requests without
/// `X-Cache-Pieces`.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let piece_bytes = TOKENS_PER_PIECE as usize * BYTES_PER_TOKEN;
    let piece_count = prompt.len() / piece_bytes;
    (1..=piece_count)
        .map(|count| body_digest(&prompt.as_bytes()[..count * piece_bytes]))
        .collect()
}
