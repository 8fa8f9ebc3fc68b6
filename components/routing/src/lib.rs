//! Target selection: membership, load model, prefix-cache index, time estimates and ejection.
//!
//! [`Fleet`] implements [`request::Router`] without I/O. The entry reports events by method
//! calls. The current time and the random seed are passed in and no hash map is iterated over, so
//! that equal inputs give equal decisions.

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
