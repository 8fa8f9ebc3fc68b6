//! The choice of a target: membership, load model, prefix-cache index, estimates and ejection.
//!
//! [`Fleet`] implements [`request::Router`] without I/O. The entry reports what it learns through
//! plain methods; time and the seed of all randomness are passed in, so that equal inputs give
//! equal decisions. Nothing iterates over a hash map.

pub mod cache;
pub mod choose;
pub mod ejection;
pub mod estimate;
pub mod explain;
pub mod fleet;
mod learn;
pub mod load;
pub mod member;
pub mod settings;

pub use cache::PrefixIndex;
pub use ejection::Ejection;
pub use estimate::Estimate;
pub use explain::Candidate;
pub use fleet::Fleet;
pub use fleet::TargetView;
pub use load::LoadModel;
pub use load::Size;
pub use member::Standing;
pub use settings::Mechanisms;
pub use settings::RoleRates;
pub use settings::Settings;
