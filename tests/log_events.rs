//! Checks that the catalogue of log events and the source list the same event codes.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Guards against events that are missing in the catalogue, and catalogue rows of removed events.
#[test]
fn catalogue_lists_exactly_the_event_codes_in_the_source() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut used = BTreeSet::new();
    collect_codes(&root.join("src"), &mut used);
    for component in fs::read_dir(root.join("components")).expect("components exist") {
        let folder = component.expect("readable").path().join("src");
        collect_codes(&folder, &mut used);
    }
    let catalogue = fs::read_to_string(root.join("docs/log-events.md")).expect("catalogue exists");
    let listed: BTreeSet<String> = catalogue
        .lines()
        .filter_map(|line| line.strip_prefix("| CS"))
        .map(|rest| format!("CS{}", &rest[..4]))
        .collect();
    assert_eq!(used, listed);
}

fn collect_codes(folder: &Path, codes: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("folder exists") {
        let path = entry.expect("readable").path();
        if path.is_dir() {
            collect_codes(&path, codes);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("readable");
            codes.extend(text.split("\"CS").skip(1).filter_map(parse_code));
        }
    }
}

/// Event code at the start of a string literal whose text after `"CS` is `rest`.
fn parse_code(rest: &str) -> Option<String> {
    let digits = rest.get(..4)?;
    let is_code =
        rest.as_bytes().get(4) == Some(&b'"') && digits.bytes().all(|b| b.is_ascii_digit());
    is_code.then(|| format!("CS{digits}"))
}
