//! Reproducible property tests. Not part of a release.
//!
//! `quickcheck` uses a random seed for each run, so the same commit could pass once and fail the
//! next time. Here the seed is fixed. The environment variable `QUICKCHECK_SEED` overrides it, and
//! `QUICKCHECK_TESTS` overrides the number of cases.

pub use quickcheck as library;

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Seed if `QUICKCHECK_SEED` is unset or invalid.
const DEFAULT_SEED: u64 = 1;
/// Size of generated values; the same as the default of `quickcheck`.
const DEFAULT_SIZE: usize = 100;

/// A test runner with the seed of this run and the default size of generated values.
#[must_use]
pub fn check() -> QuickCheck {
    check_sized(DEFAULT_SIZE)
}

/// A test runner with the seed of this run and a size of generated values, such as the maximum
/// length of vectors.
#[must_use]
pub fn check_sized(size: usize) -> QuickCheck {
    let seed = std::env::var("QUICKCHECK_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok());
    let random = Gen::from_size_and_seed(size, seed.unwrap_or(DEFAULT_SEED));
    QuickCheck::new().rng(random)
}

/// Number of cases: `QUICKCHECK_TESTS`, or the default of the test if it is unset or invalid.
#[must_use]
pub fn cases(default: u64) -> u64 {
    let cases = std::env::var("QUICKCHECK_TESTS").ok();
    cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(default)
}

/// Turns each function into a property test with the fixed seed, like `quickcheck::quickcheck!`.
#[macro_export]
macro_rules! quickcheck {
    ($($(#[$meta:meta])* fn $name:ident($($argument:ident : $kind:ty),* $(,)?) -> $result:ty $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn property($($argument: $kind),*) -> $result $body
                $crate::check().quickcheck(property as fn($($kind),*) -> $result);
            }
        )*
    };
}
