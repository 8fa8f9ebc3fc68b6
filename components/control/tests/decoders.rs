//! Decoding of random and mutated row values.
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
/// Nesting depth; beyond that of any row and the recursion limit of `serde_json`.
const DEPTH: usize = 100_000;
const VALID: [&str; 4] = [
    r#"{"revision":7}"#,
    r#"{"holder":3,"fencing":2,"renewal":9}"#,
    r#"{"revision":7,"value":{"name":"a","kind":"model","profile":"p"}}"#,
    r#"{"target":"t","number":1,"fencing":2,"kind":{"kind":"drain"},"revision":3}"#,
];

fn decodes_or_names_row<T: DeserializeOwned>(value: &str) -> bool {
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

/// Whether a value is decoded or rejected with the row's key, as each type of row.
fn every_type_decodes_or_names_row(value: &str) -> bool {
    decodes_or_names_row::<Head>(value)
        && decodes_or_names_row::<LeaseRow>(value)
        && decodes_or_names_row::<Change>(value)
        && decodes_or_names_row::<Order>(value)
        && decodes_or_names_row::<Versioned<Profile>>(value)
        && decodes_or_names_row::<Versioned<Service>>(value)
        && decodes_or_names_row::<Versioned<Target>>(value)
}

fn check(property: fn(Vec<u8>, Vec<(usize, u8)>) -> bool) {
    seeded::check()
        .tests(seeded::cases(DEFAULT_CASES))
        .quickcheck(property);
}

/// Guards against a panic in a follower on a row that another version wrote or that is corrupt.
#[test]
fn random_rows_give_errors_that_name_the_row() {
    check(|bytes, _| every_type_decodes_or_names_row(&String::from_utf8_lossy(&bytes)));
}

/// Guards against a panic on a corrupt field of a row.
#[test]
fn mutated_rows_give_errors_that_name_the_row() {
    check(|_, changes| {
        VALID.into_iter().all(|value| {
            let mut bytes = value.as_bytes().to_vec();
            for (at, byte) in &changes {
                let at = at % bytes.len();
                bytes[at] = *byte;
            }
            every_type_decodes_or_names_row(&String::from_utf8_lossy(&bytes))
        })
    });
}

/// Guards against mutation tests that start from values which are not valid.
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

/// Guards against a stack overflow on a nested value.
#[test]
fn deeply_nested_rows_give_errors() {
    for open in ["[", "{\"revision\":", "{\"value\":"] {
        assert!(
            every_type_decodes_or_names_row(&open.repeat(DEPTH)),
            "nested {open}"
        );
    }
}
