//! Random and mutated values of table rows.
//!
//! `QUICKCHECK_TESTS` sets the number of inputs for each property.

use control::Head;
use control::LeaseRow;
use control::Versioned;
use control::decode;
use serde::de::DeserializeOwned;
use store::Row;
use types::Change;
use types::Order;
use types::Profile;
use types::Service;
use types::Target;

const DEFAULT_CASES: u64 = 5_000;
/// Deeper than any row, and than `serde_json` follows.
const DEPTH: usize = 100_000;
const VALID: [&str; 4] = [
    r#"{"revision":7}"#,
    r#"{"holder":3,"fencing":2,"renewal":9}"#,
    r#"{"revision":7,"value":{"name":"a","kind":"model","profile":"p"}}"#,
    r#"{"target":"t","number":1,"fencing":2,"kind":{"kind":"drain"},"revision":3}"#,
];

fn decodes<T: DeserializeOwned>(value: &str) -> bool {
    let row = Row {
        key: "k".to_owned(),
        value: value.to_owned(),
        version: 1,
    };
    decode::<T>(&row).map_or_else(
        |error| error.key == "k" && !error.detail.is_empty(),
        |_| true,
    )
}

fn survives(value: &str) -> bool {
    decodes::<Head>(value)
        && decodes::<LeaseRow>(value)
        && decodes::<Change>(value)
        && decodes::<Order>(value)
        && decodes::<Versioned<Profile>>(value)
        && decodes::<Versioned<Service>>(value)
        && decodes::<Versioned<Target>>(value)
}

fn check(property: fn(Vec<u8>, Vec<(usize, u8)>) -> bool) {
    seeded::check()
        .tests(seeded::cases(DEFAULT_CASES))
        .quickcheck(property);
}

/// Guards against a row written by another version, or damaged, that panics in a follower.
#[test]
fn random_rows_give_errors_that_name_the_row() {
    check(|bytes, _| survives(&String::from_utf8_lossy(&bytes)));
}

/// Guards against damage in any field of a row.
#[test]
fn mutated_rows_give_errors_that_name_the_row() {
    check(|_, changes| {
        VALID.into_iter().all(|value| {
            let mut bytes = value.as_bytes().to_vec();
            for (at, byte) in &changes {
                let at = at % bytes.len();
                bytes[at] = *byte;
            }
            survives(&String::from_utf8_lossy(&bytes))
        })
    });
}

/// Guards against mutations of values that were never valid.
#[test]
fn unchanged_rows_are_accepted() {
    let row = |value: &str| Row {
        key: "k".to_owned(),
        value: value.to_owned(),
        version: 1,
    };
    assert!(decode::<Head>(&row(VALID[0])).is_ok());
    assert!(decode::<LeaseRow>(&row(VALID[1])).is_ok());
    assert!(decode::<Versioned<Service>>(&row(VALID[2])).is_ok());
    assert!(decode::<Order>(&row(VALID[3])).is_ok());
}

/// Guards against a nested value that overflows the stack.
#[test]
fn deeply_nested_rows_give_errors() {
    for open in ["[", "{\"revision\":", "{\"value\":"] {
        assert!(survives(&open.repeat(DEPTH)), "nested {open}");
    }
}
