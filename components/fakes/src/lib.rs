//! Fakes in virtual time for randomised runs and policy measurement. Never shipped.

pub mod engine;
pub mod table;
