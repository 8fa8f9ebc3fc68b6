//! Limits on the requests a second that targets name in their answers.
//!
//! A target in need names a [`Rate`] that it takes from all processes together, for as long as its
//! answers say so. The crate does no I/O and reads no clock.

mod rate;

pub use crate::rate::NamedRate;
pub use crate::rate::Rate;
