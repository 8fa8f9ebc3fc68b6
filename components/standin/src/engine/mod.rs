//! Stand-in for a model engine over HTTP.
//!
//! Serves completions with deterministic text and simulates a prefix cache, prefill by priority,
//! orders with fencing numbers, and delayed load reports and cache events. Counters record every
//! run and order, so that tests can check effects at the engine itself.
//!
//! `GET /requests/{id}?offset=N` returns the response to the request with that `X-Request-Id` from
//! byte N on, also while it runs; `X-Prefix-Digest` is the BLAKE3 digest of the bytes before N. An
//! unknown or expired id gets 404.

mod cache;
mod completions;
mod counters;
mod options;
mod resume;
mod server;
mod state;
mod text;

pub use counters::AcceptedOrder;
pub use counters::EngineCounters;
pub use counters::RunCount;
pub use options::EngineFaults;
pub use options::EngineOptions;
pub use options::engine_options;
pub use server::run;
pub use server::serve;
pub use state::LoadResponse;
pub use state::OrderRequest;
pub use state::StateResponse;
pub(crate) use state::consume_fault;
pub use text::body_digest;
pub use text::output_text;
