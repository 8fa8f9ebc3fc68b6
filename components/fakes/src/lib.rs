//! Fakes in virtual time for randomised runs and policy measurement. Never shipped.

pub mod engine;
pub mod engine_cache;
pub mod engine_job;
pub mod engine_report;
pub mod table;
