//! Callers' side of an entry: HTTP requests in, answers and problem documents out.
//!
//! `POST /services/{service}/v1/completions` and `/v1/chat/completions` go to engines, any other
//! path below a plain service goes to that service. `docs/callers.md` describes the port for its
//! users.

pub mod gateway;

mod admission;
mod answer;
mod identity;
mod port;
mod prefix;
mod prompt;
mod refusal;

pub use admission::Route;
pub use gateway::CallerLimits;
pub use gateway::Gateway;
pub use gateway::Health;
pub use port::CallersPort;
pub use port::serve;
pub use port::server_limits;
pub use prefix::PIECE_TOKENS;
pub use prefix::PrefixHasher;
pub use prefix::TOKEN_BYTES;
pub use prompt::Prompt;
pub use prompt::parse_prompt;
pub use refusal::problem;
pub use refusal::status;
