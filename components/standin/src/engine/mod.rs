//! Stand-in of a model engine over HTTP.
//!
//! Completions with deterministic text, prefix cache, priorities, orders with fencing numbers,
//! late load reports and cache events. `GET /requests/{id}?offset=N` sends the answer of a request
//! with that `X-Request-Id` from byte N on, also while it runs; `X-Prefix-Digest` is the BLAKE3 digest
//! of the bytes before. An id that the engine does not know, or no longer, gets 404. Counts what it did, for checks where the effect is seen.

mod cache;
mod completions;
mod counters;
mod options;
mod resume;
mod server;
mod state;
mod text;

pub use counters::EngineCounters;
pub use counters::ObeyedOrder;
pub use counters::RunCount;
pub use options::EngineFaults;
pub use options::EngineOptions;
pub use options::engine_options;
pub use server::run;
pub use server::serve;
pub(crate) use state::take;

pub use state::LoadAnswer;
pub use state::OrderBody;
pub use state::StateAnswer;
pub use text::answer_text;
pub use text::body_digest;
