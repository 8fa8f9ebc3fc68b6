//! What `review/` needs of this checkout. Its programs use `http` and `standin`, and have a lock
//! file of their own, which has to fit the components and the packages of the project.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Command;

use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct LockFile {
    package: Vec<LockedPackage>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
struct LockedPackage {
    name: String,
    version: String,
    /// None for a component.
    source: Option<String>,
    checksum: Option<String>,
}

/// Packages from a registry that a lock file names.
fn registry_packages(lock_file: &str) -> BTreeSet<LockedPackage> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(lock_file);
    let text = fs::read_to_string(path).unwrap();
    let lock_file: LockFile = toml::from_str(&text).unwrap();
    let packages = lock_file.package.into_iter();
    packages
        .filter(|package| package.source.is_some())
        .collect()
}

// A new component among the dependencies of `http` kept all programs of the review from being built.
#[test]
fn dependencies_of_components_fit_the_lock_file_of_the_review() {
    let output = Command::new(env!("CARGO"))
        .args(["tree", "--locked", "--offline", "--quiet"])
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("review/kit"))
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success(),
        "review/kit/Cargo.lock does not fit the components: {errors}"
    );
}

// The programs of the review are built offline, after the project: a package that only they use, or
// of which they use another version, is missing on a machine that has never built them.
#[test]
fn project_downloads_all_packages_of_the_review() {
    let project = registry_packages("Cargo.lock");
    let review = registry_packages("review/kit/Cargo.lock");
    let missing: Vec<&LockedPackage> = review.difference(&project).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
