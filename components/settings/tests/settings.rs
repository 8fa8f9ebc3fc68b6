//! Loading and reloading of settings; the examples serve as valid files.

use std::path::Path;
use std::time::Duration;

use seeded::quickcheck;
use settings::DaemonSettings;
use settings::SettingsError;
use settings::load_agent;
use settings::load_entry;
use settings::parse;

const ENTRY: &str = include_str!("../../../examples/settings/el-bolson-entry.jsonc");
const AGENT: &str = include_str!("../../../examples/settings/el-bolson-agent.jsonc");

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/settings")
        .join(name)
}

/// Error of parsing the text after one replacement in it.
fn error_after(text: &str, from: &str, to: &str) -> SettingsError {
    assert!(text.contains(from), "the example has no {from}");
    parse("f.jsonc", &text.replacen(from, to, 1)).unwrap_err()
}

fn line_with(text: &str, part: &str) -> usize {
    1 + text.lines().position(|line| line.contains(part)).unwrap()
}

// Guards against examples with which a daemon does not start.
#[test]
fn loads_every_example() {
    let entry = load_entry(&example("el-bolson-entry.jsonc")).unwrap();
    assert_eq!(entry.distance_ms["lago-puelo"], Duration::from_micros(1500));
    assert_eq!(entry.limits.idle_ms, Duration::from_secs(75));
    load_entry(&example("kitagawa-entry.jsonc")).unwrap();
    load_agent(&example("el-bolson-agent.jsonc")).unwrap();
    let agent = load_agent(&example("kitagawa-agent.jsonc")).unwrap();
    assert_eq!(agent.order_poll_ms, Duration::from_secs(2));
}

// Guards against misspelt fields that are ignored without an error.
#[test]
fn error_states_line_and_path_of_an_unknown_field() {
    let error = error_after(ENTRY, "\"requests\": 2048", "\"requets\": 2048");
    assert_eq!(error.field, "limits.requets");
    assert_eq!(error.line, line_with(ENTRY, "\"requests\": 2048"));
    assert!(error.fix.contains("`requests`"), "{error}");
    let error = error_after(ENTRY, "\"region\"", "\"regoin\"");
    assert_eq!(error.field, "regoin");
    assert_eq!(error.line, line_with(ENTRY, "\"region\""));
}

#[test]
fn error_states_line_and_path_of_an_invalid_value() {
    let cases = [
        (
            ENTRY,
            "\"body_ms\": 60000",
            "\"body_ms\": \"long\"",
            "limits.body_ms",
        ),
        (
            ENTRY,
            "\"body_ms\": 60000",
            "\"body_ms\": 1",
            "limits.body_ms",
        ),
        (
            ENTRY,
            "\"poll_ms\": 1000",
            "\"poll_ms\": 30000",
            "intervals.poll_ms",
        ),
        (
            ENTRY,
            "\"10.20.2.1:8090\"",
            "\"somewhere\"",
            "peers[0].address",
        ),
        (
            ENTRY,
            "{ \"name\": \"lago-puelo-1\", \"address\": \"10.20.2.1:8090\" }",
            "\"somewhere\"",
            "peers[0]",
        ),
        (ENTRY, "\"mallin-ahogado-1\"", "\"lago-puelo-1\"", "peers"),
        (
            ENTRY,
            "\"secret\": \"8f0c",
            "\"secret\": \"zz0c",
            "keys[0].secret",
        ),
        (ENTRY, "\"id\": 2", "\"id\": 1", "keys"),
        (
            ENTRY,
            "example-token-of-the-radio-desk-0001",
            "short",
            "operators",
        ),
        (
            ENTRY,
            "10.20.1.1:8081",
            "10.20.1.1:8080",
            "addresses.operators",
        ),
        (ENTRY, "\"entry\"", "\"daemon\"", "daemon"),
        (
            AGENT,
            "\"kind\": \"model\"",
            "\"kind\": \"modle\"",
            "target.kind",
        ),
        (AGENT, "\"bitacora-03\"", "\"Bitacora 03\"", "target.name"),
        (AGENT, "10.20.2.3:8090", "0.0.0.0:8090", "listen"),
        (
            AGENT,
            "\"concurrency\": 48",
            "\"concurrency\": 0",
            "concurrency",
        ),
    ];
    for (text, from, to, field) in cases {
        let error = error_after(text, from, to);
        assert_eq!(error.field, field, "{error}");
        assert!(error.line > 1 && !error.fix.is_empty(), "{error}");
    }
}

#[test]
fn error_states_missing_field_or_line_of_a_syntax_error() {
    let error = error_after(AGENT, "\"service\": \"modelos-bitacora\",", "");
    assert_eq!(error.field, "target.service");
    let error = error_after(
        AGENT,
        "\"place\": \"lago-puelo\",",
        "\"place\" \"lago-puelo\",",
    );
    assert_eq!(error.line, line_with(AGENT, "\"place\""));
}

// Guards against a daemon that starts with the settings of the other daemon.
#[test]
fn rejects_settings_of_the_other_daemon() {
    assert_eq!(
        load_entry(&example("el-bolson-agent.jsonc"))
            .unwrap_err()
            .line,
        line_with(AGENT, "\"target\"")
    );
    assert!(load_agent(&example("el-bolson-entry.jsonc")).is_err());
}

// Guards against keys and tokens in logs.
#[test]
fn debug_output_omits_keys_and_tokens() {
    let printed = format!("{:?}", parse("f", ENTRY).unwrap());
    assert!(!printed.contains("8f0c") && !printed.contains("example-token"));
}

// Guards against a reload that accepts a new address while the listener stays on the old one.
#[test]
fn reload_of_an_entry_accepts_keys_and_limits_but_no_addresses() {
    let DaemonSettings::Entry(old) = parse("f", ENTRY).unwrap() else {
        panic!("not an entry");
    };
    let new = ENTRY
        .replace("\"id\": 1", "\"id\": 3")
        .replace("\"requests\": 2048", "\"requests\": 100");
    let DaemonSettings::Entry(new) = parse("f", &new).unwrap() else {
        panic!("not an entry");
    };
    let reloaded = old.reload(&new).unwrap();
    assert_eq!(reloaded.limits.requests, 100);
    assert_eq!(reloaded.keys[1].id, 3);
    let mut moved = *new;
    moved.addresses.callers.set_port(1);
    assert_eq!(old.reload(&moved).unwrap_err().field, "addresses");
}

// Guards against a reload that ignores a changed field, and against a step of a key rotation after
// which daemons that have not been reloaded yet are refused.
#[test]
fn reload_of_an_agent_rejects_fields_that_need_a_restart_and_invalid_rotation_steps() {
    let DaemonSettings::Agent(old) = parse("f", AGENT).unwrap() else {
        panic!("not an agent");
    };
    let rejected_field = |change: fn(&mut settings::AgentSettings)| {
        let mut new = old.clone();
        change(&mut new);
        old.reload(&new).err().map(|error| error.field)
    };
    assert_eq!(rejected_field(|new| new.concurrency = 7), None);
    assert_eq!(rejected_field(|new| new.keys.truncate(1)), None);
    assert_eq!(rejected_field(|new| new.keys.swap(0, 1)), None);
    let rejected = Some("keys".to_owned());
    let without_first = rejected_field(|new| {
        new.keys.remove(0);
    });
    assert_eq!(without_first, rejected);
    assert_eq!(rejected_field(|new| new.keys[0].id = 3), rejected);
    assert_eq!(rejected_field(|new| new.keys[1].secret.0[0] ^= 1), rejected);
    let moved = rejected_field(|new| new.advertise = Some(new.target.address));
    assert_eq!(moved.as_deref(), Some("advertise"));
}

// Guards against deeply nested files that overflow the stack of the parser.
#[test]
fn deeply_nested_files_return_errors_with_a_message() {
    for open in ["[", "{\"limits\":"] {
        let error = parse("f", &open.repeat(100_000)).unwrap_err();
        assert!(!error.fix.is_empty(), "nested {open}");
    }
}

quickcheck! {
    fn random_files_return_errors_with_a_message(bytes: Vec<u8>) -> bool {
        parse("f", &String::from_utf8_lossy(&bytes))
            .map_or_else(|error| !error.fix.is_empty(), |_| true)
    }

    fn mutated_files_return_errors_with_a_message(changes: Vec<(usize, u8)>) -> bool {
        let mut bytes = ENTRY.as_bytes().to_vec();
        for (position, byte) in changes {
            let position = position % bytes.len();
            bytes[position] = byte;
        }
        match parse("f", &String::from_utf8_lossy(&bytes)) {
            Ok(_) => true,
            Err(error) => !error.fix.is_empty(),
        }
    }
}
