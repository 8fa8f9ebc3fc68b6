//! What an entry reads in the body of a completion request. The body itself is passed on
//! unchanged.

use std::borrow::Cow;

use http::Problem;
use serde::Deserialize;
use serde_json::Number;
use types::RunState;

use crate::prefix::PrefixHasher;

/// Completions of one request at most.
const CHOICE_LIMIT: u64 = 16;

/// What routing and admission need to know of a completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The caller asked for server-sent events.
    pub stream: bool,
    /// Model that the caller named; empty if none.
    pub model: String,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Upper bound of the output.
    pub max_output_tokens: u32,
    /// Hash of the prompt's prefix after each whole cache piece.
    pub prefixes: Vec<u64>,
}

#[derive(Deserialize)]
struct Completion<'a> {
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

/// Reads the body of a completion request; `chat` expects `messages` instead of `prompt`.
///
/// # Errors
///
/// A problem document with the field at fault.
pub fn parse_prompt(body: &[u8], chat: bool, output_limit_tokens: u32) -> Result<Prompt, Problem> {
    let completion: Completion<'_> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not what it should be: {error}")))?;
    let max_output_tokens = output_bound(&completion, output_limit_tokens)?;
    let mut hasher = PrefixHasher::default();
    match (chat, &completion.prompt, &completion.messages) {
        (true, _, Some(messages)) if !messages.is_empty() => {
            for message in messages {
                push_message(message, &mut hasher);
            }
        }
        (true, ..) => return Err(bad_field("messages", "state at least one message")),
        (false, Some(prompt), _) => push_prompt(prompt, &mut hasher),
        (false, None, _) => return Err(bad_field("prompt", "state a prompt")),
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

fn output_bound(completion: &Completion<'_>, limit_tokens: u32) -> Result<u32, Problem> {
    let (field, stated) = match (&completion.max_completion_tokens, &completion.max_tokens) {
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
    let Some(stated) = stated else {
        return Ok(limit_tokens);
    };
    stated
        .as_u64()
        .filter(|tokens| *tokens >= 1)
        .and_then(|tokens| tokens.checked_mul(choices))
        .and_then(|tokens| u32::try_from(tokens).ok())
        .filter(|tokens| *tokens <= limit_tokens)
        .ok_or_else(|| {
            let highest = u64::from(limit_tokens) / choices;
            bad_field(field, format!("use 1 to {highest}"))
        })
}

fn push_message(message: &Message<'_>, hasher: &mut PrefixHasher) {
    hasher.push(message.role.as_bytes());
    hasher.push(b"\n");
    match &message.content {
        Some(Content::Text(text)) => hasher.push(text.as_bytes()),
        Some(Content::Parts(parts)) => parts
            .iter()
            .filter_map(|part| part.text.as_deref())
            .for_each(|text| hasher.push(text.as_bytes())),
        None => {}
    }
    hasher.push(b"\n");
}

fn push_prompt(prompt: &PromptText<'_>, hasher: &mut PrefixHasher) {
    match prompt {
        PromptText::Text(text) => hasher.push(text.as_bytes()),
        PromptText::Texts(texts) => texts.iter().for_each(|text| hasher.push(text.as_bytes())),
        PromptText::Tokens(tokens) => push_tokens(tokens, hasher),
        PromptText::TokenLists(lists) => {
            for tokens in lists {
                push_tokens(tokens, hasher);
            }
        }
    }
}

/// A token id takes four bytes, which is also what an estimated token takes.
fn push_tokens(tokens: &[u32], hasher: &mut PrefixHasher) {
    for token in tokens {
        hasher.push(&token.to_le_bytes());
    }
}

fn bad_request(detail: String) -> Problem {
    Problem::new(400, "bad-request", detail).run(RunState::NotRun)
}

fn bad_field(field: &str, fix: impl Into<String>) -> Problem {
    bad_request(fix.into()).field(field)
}
