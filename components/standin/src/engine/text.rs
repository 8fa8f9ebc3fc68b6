//! Deterministic prompts, answers and digests, so that a checker can tell whole and own answers.

use serde::Deserialize;

/// Tokens that an answer has when the request does not say.
const DEFAULT_TOKENS: u32 = 16;
/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;
/// Tokens in one cache piece.
pub const PIECE_TOKENS: u32 = 2000;

/// Request for a completion, in either form.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// Model named by the caller.
    pub model: String,
    /// Prompt of `/v1/completions`.
    pub prompt: String,
    /// Messages of `/v1/chat/completions`.
    pub messages: Vec<Message>,
    /// Length of the answer.
    pub max_tokens: Option<u32>,
    /// Answer with server-sent events.
    pub stream: bool,
}

/// Message of a chat.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Author.
    pub role: String,
    /// Text.
    pub content: String,
}

impl CompletionRequest {
    /// All text that the model reads.
    #[must_use]
    pub fn text(&self) -> String {
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

    /// Tokens of the answer.
    #[must_use]
    pub fn output_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// Digest of a request body, as the counters list it (64-bit FNV-1a).
#[must_use]
pub fn body_digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Tokens of a prompt.
#[must_use]
pub fn prompt_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// One token of the answer to a prompt with this digest.
#[must_use]
pub fn token(prompt_digest: u64, index: u32) -> String {
    let mixed = body_digest(&[&prompt_digest.to_le_bytes()[..], &index.to_le_bytes()].concat());
    format!("{:04x} ", mixed & 0xffff)
}

/// Whole text of the answer to a prompt.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    let digest = body_digest(prompt.as_bytes());
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// Hashes of a prompt's prefix after each whole cache piece, for requests that name none.
#[must_use]
pub fn pieces(prompt: &str) -> Vec<u64> {
    let piece_bytes = PIECE_TOKENS as usize * TOKEN_BYTES;
    let whole = prompt.len() / piece_bytes;
    (1..=whole)
        .map(|count| body_digest(&prompt.as_bytes()[..count * piece_bytes]))
        .collect()
}
