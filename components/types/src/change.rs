//! The change log: one record for each accepted change of configuration.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::ProfileName;
use crate::ids::Revision;
use crate::order::Order;
use crate::profile::Profile;
use crate::service::Service;
use crate::target::Target;

/// What a change put in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeBody {
    /// A profile was created or changed.
    Profile {
        /// Value before, if it existed.
        before: Option<Profile>,
        /// Value now in force.
        after: Profile,
    },
    /// A profile was retired.
    ProfileRetired {
        /// Value before.
        before: Profile,
        /// Name of the retired profile.
        name: ProfileName,
    },
    /// A service was created or picked another profile.
    Service {
        /// Value before, if it existed.
        before: Option<Service>,
        /// Value now in force.
        after: Service,
    },
    /// A target was registered, or its agent took note of an executed order.
    Target {
        /// Value before, if it existed.
        before: Option<Target>,
        /// Value now in force.
        after: Target,
    },
    /// An order was given to a target.
    Order {
        /// Order before, if any.
        before: Option<Order>,
        /// Order now in force.
        after: Order,
    },
    /// A planner decided against a change; nothing was put in force.
    PlanKept {
        /// Service planned for.
        service: String,
    },
}

/// One record of the change log and audit trail.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Position in the log.
    pub revision: Revision,
    /// Wall-clock time of the writer, since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at_ms: Duration,
    /// Operator, planner or agent that made the change.
    pub by: String,
    /// Why, for people.
    pub reason: String,
    /// Unique to the write, to recognise it when its reply is lost. Text in JSON, because
    /// `serde_json::Value` and most JSON readers hold no 128-bit numbers.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u128,
    /// What changed.
    pub body: ChangeBody,
}
