//! Property tests that give the same verdict every time. Never shipped.
//!
//! `quickcheck` draws a new seed for every run, so that a commit could pass one day and fail the
//! next. Here the seed is fixed; `QUICKCHECK_SEED` gives another one and `QUICKCHECK_TESTS`
//! another number of cases.

pub use quickcheck as library;

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Seed without `QUICKCHECK_SEED`.
const DEFAULT_SEED: u64 = 1;
/// Size of generated values, the default of the library.
const DEFAULT_SIZE: usize = 100;

/// A checker with the seed of this run.
#[must_use]
pub fn check() -> QuickCheck {
    check_sized(DEFAULT_SIZE)
}

/// A checker with larger or smaller generated values.
#[must_use]
pub fn check_sized(size: usize) -> QuickCheck {
    let seed = std::env::var("QUICKCHECK_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok());
    let random = Gen::from_size_and_seed(size, seed.unwrap_or(DEFAULT_SEED));
    QuickCheck::new().rng(random)
}

/// Number of cases: `QUICKCHECK_TESTS`, or a default of the test.
#[must_use]
pub fn cases(default: u64) -> u64 {
    let cases = std::env::var("QUICKCHECK_TESTS").ok();
    cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(default)
}

/// Makes each function a test of the property that it states, like the macro of the library.
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
