//! Parsing of completion requests. The body itself is forwarded unchanged.

use std::borrow::Cow;

use http::Problem;
use serde::Deserialize;
use serde_json::Number;
use types::RunState;

use crate::prefix::PrefixHasher;

/// Largest accepted value of `n`, the number of completions of one request.
const CHOICE_LIMIT: u64 = 16;

/// Properties of a completion request that admission and routing use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The caller requested server-sent events.
    pub stream: bool,
    /// Model named in the request; empty if none.
    pub model: String,
    /// Estimated length of the prompt, at `TOKEN_BYTES` bytes per token.
    pub prompt_tokens: u32,
    /// Upper bound on the output tokens of all completions.
    pub max_output_tokens: u32,
    /// Hash of the prompt's prefix up to the end of each complete cache piece.
    pub prefixes: Vec<u64>,
}

#[derive(Deserialize)]
struct CompletionRequest<'a> {
    #[serde(borrow, default)]
    model: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    prompt: Option<PromptText<'a>>,
    #[serde(borrow, default)]
    messages: Option<Vec<Message<'a>>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<Number>,
    #[serde(default)]
    max_completion_tokens: Option<Number>,
    #[serde(default)]
    n: Option<Number>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum PromptText<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Tokens(Vec<u32>),
    Texts(#[serde(borrow)] Vec<Cow<'a, str>>),
    TokenLists(Vec<Vec<u32>>),
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Option<Content<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Parts(#[serde(borrow)] Vec<Part<'a>>),
}

#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

/// Parses the body of a completion request; with `chat`, of a chat completion request, which has
/// `messages` instead of `prompt`.
///
/// # Errors
///
/// A problem document. It names the invalid field unless the body as a whole cannot be decoded.
pub fn parse_prompt(body: &[u8], chat: bool, output_limit_tokens: u32) -> Result<Prompt, Problem> {
    let completion: CompletionRequest<'_> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not a completion request: {error}")))?;
    let max_output_tokens = parse_max_output_tokens(&completion, output_limit_tokens)?;
    let mut hasher = PrefixHasher::default();
    match (chat, &completion.prompt, &completion.messages) {
        (true, _, Some(messages)) if !messages.is_empty() => {
            for message in messages {
                hash_message(message, &mut hasher);
            }
        }
        (true, ..) => return Err(bad_field("messages", "add at least one message")),
        (false, Some(prompt), _) => hash_prompt(prompt, &mut hasher),
        (false, None, _) => return Err(bad_field("prompt", "add a prompt")),
    }
    let (prompt_tokens, prefixes) = hasher.finish();
    Ok(Prompt {
        stream: completion.stream.unwrap_or(false),
        model: completion.model.unwrap_or_default().into_owned(),
        prompt_tokens,
        max_output_tokens,
        prefixes,
    })
}

fn parse_max_output_tokens(
    completion: &CompletionRequest<'_>,
    limit_tokens: u32,
) -> Result<u32, Problem> {
    let (field, requested) = match (&completion.max_completion_tokens, &completion.max_tokens) {
        (Some(number), _) => ("max_completion_tokens", Some(number)),
        (None, number) => ("max_tokens", number.as_ref()),
    };
    let choices = match &completion.n {
        None => 1,
        Some(number) => number
            .as_u64()
            .filter(|n| (1..=CHOICE_LIMIT).contains(n))
            .ok_or_else(|| bad_field("n", format!("use 1 to {CHOICE_LIMIT}")))?,
    };
    let Some(requested) = requested else {
        return Ok(limit_tokens);
    };
    requested
        .as_u64()
        .filter(|tokens| *tokens >= 1)
        .and_then(|tokens| tokens.checked_mul(choices))
        .and_then(|tokens| u32::try_from(tokens).ok())
        .filter(|tokens| *tokens <= limit_tokens)
        .ok_or_else(|| {
            let max_per_choice = u64::from(limit_tokens) / choices;
            bad_field(field, format!("use 1 to {max_per_choice}"))
        })
}

fn hash_message(message: &Message<'_>, hasher: &mut PrefixHasher) {
    hasher.update(message.role.as_bytes());
    hasher.update(b"\n");
    match &message.content {
        Some(Content::Text(text)) => hasher.update(text.as_bytes()),
        Some(Content::Parts(parts)) => parts
            .iter()
            .filter_map(|part| part.text.as_deref())
            .for_each(|text| hasher.update(text.as_bytes())),
        None => {}
    }
    hasher.update(b"\n");
}

fn hash_prompt(prompt: &PromptText<'_>, hasher: &mut PrefixHasher) {
    match prompt {
        PromptText::Text(text) => hasher.update(text.as_bytes()),
        PromptText::Texts(texts) => texts.iter().for_each(|text| hasher.update(text.as_bytes())),
        PromptText::Tokens(tokens) => hash_tokens(tokens, hasher),
        PromptText::TokenLists(lists) => {
            for tokens in lists {
                hash_tokens(tokens, hasher);
            }
        }
    }
}

/// Hashes each token ID as four bytes, so that it counts as one token in the estimate.
fn hash_tokens(tokens: &[u32], hasher: &mut PrefixHasher) {
    for token in tokens {
        hasher.update(&token.to_le_bytes());
    }
}

fn bad_request(detail: String) -> Problem {
    Problem::new(400, "bad-request", detail).run(RunState::NotRun)
}

fn bad_field(field: &str, detail: impl Into<String>) -> Problem {
    bad_request(detail.into()).field(field)
}
