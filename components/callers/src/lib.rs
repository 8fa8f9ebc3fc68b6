//! The entry's HTTP API for callers.
//!
//! `POST /services/{service}/v1/completions` and `/v1/chat/completions` of a model service are
//! routed to engines. Every path of a plain service is routed to that service. Errors are returned
//! as problem documents. `docs/callers.md` describes the API for its users.

mod admission;
mod gateway;
mod identity;
mod port;
mod prefix;
mod prompt;
mod refusal;
mod relay;

pub use gateway::CallerLimits;
pub use gateway::Gateway;
pub use gateway::Health;
pub use port::CallersPort;
pub use port::serve;
pub use prefix::PIECE_TOKENS;
pub use prefix::PrefixHasher;
pub use prefix::TOKEN_BYTES;
pub use prompt::Prompt;
pub use prompt::parse_prompt;
