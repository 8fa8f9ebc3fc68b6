//! Parsing of completion requests and hashing of prompt prefixes.

use callers::PIECE_TOKENS;
use callers::PrefixHasher;
use callers::TOKEN_BYTES;
use callers::parse_prompt;
use seeded::quickcheck;

const PIECE_BYTES: usize = PIECE_TOKENS * TOKEN_BYTES;
const VALID: &[u8] =
    br#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"n":2}"#;

fn parse_text_prompt(text: &str) -> callers::Prompt {
    let body = serde_json::json!({ "prompt": text }).to_string();
    parse_prompt(body.as_bytes(), false, 100).unwrap()
}

#[test]
fn estimates_tokens_and_hashes_complete_pieces() {
    let prompt = parse_text_prompt(&"x".repeat(2 * PIECE_BYTES + 5));
    assert_eq!(prompt.prompt_tokens as usize, 2 * PIECE_TOKENS + 2);
    assert_eq!(prompt.prefixes.len(), 2);
    assert_eq!(prompt.max_output_tokens, 100);
    assert!(!prompt.stream);
}

// Guards against a stack overflow on a deeply nested body.
#[test]
fn rejects_deeply_nested_bodies() {
    for opening in ["[", "{\"prompt\":", "{\"messages\":[", "{\"x\":["] {
        let body = opening.repeat(100_000);
        let problem = parse_prompt(body.as_bytes(), true, 100).unwrap_err();
        assert_eq!(problem.status, 400, "nested {opening}");
    }
}

// Guards against hashes that differ for equal prefixes, so that no cached prefix is found.
#[test]
fn prompts_with_a_common_prefix_share_its_hashes() {
    let common = "a".repeat(2 * PIECE_BYTES);
    let one = parse_text_prompt(&format!("{common}{}", "b".repeat(PIECE_BYTES)));
    let two = parse_text_prompt(&format!("{common}{}", "c".repeat(PIECE_BYTES)));
    assert_eq!(one.prefixes[..2], two.prefixes[..2]);
    assert_ne!(one.prefixes[2], two.prefixes[2]);
    assert_ne!(one.prefixes[0], one.prefixes[1]);
}

#[test]
fn parses_every_form_of_prompt() {
    for prompt in ["\"abcd\"", "[\"ab\",\"cd\"]", "[7]", "[[7]]"] {
        let body = format!("{{\"prompt\":{prompt},\"max_tokens\":1}}");
        let parsed = parse_prompt(body.as_bytes(), false, 100).unwrap();
        assert_eq!(parsed.prompt_tokens, 1, "{prompt}");
    }
}

quickcheck! {
    fn random_bodies_are_parsed_or_rejected_with_400(bytes: Vec<u8>, chat: bool) -> bool {
        parse_prompt(&bytes, chat, 100).map_or_else(|problem| problem.status == 400, |_| true)
    }

    fn mutated_bodies_are_parsed_or_rejected_with_400(changes: Vec<(usize, u8)>) -> bool {
        let mut bytes = VALID.to_vec();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        parse_prompt(&bytes, true, 100).map_or_else(|problem| problem.status == 400, |_| true)
    }

    fn hashes_do_not_depend_on_how_the_input_is_split(length: u16, split: usize) -> bool {
        let bytes: Vec<u8> = (0..length).map(|n| (n % 251) as u8).collect();
        let (start, end) = bytes.split_at(split % (bytes.len() + 1));
        let mut whole = PrefixHasher::default();
        whole.update(&bytes);
        let mut parts = PrefixHasher::default();
        parts.update(start);
        parts.update(end);
        whole.finish() == parts.finish()
    }
}
