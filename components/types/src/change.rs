//! Change log: one record per accepted configuration change.

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

/// Content of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeBody {
    /// A profile was created or changed.
    Profile {
        /// Previous value; `None` if the profile is new.
        before: Option<Profile>,
        /// Value that applies from this revision on.
        after: Profile,
    },
    /// A profile was retired.
    ProfileRetired {
        /// Last value.
        before: Profile,
        /// Name of the retired profile.
        name: ProfileName,
    },
    /// A service was created, or now uses another profile.
    Service {
        /// Previous value; `None` if the service is new.
        before: Option<Service>,
        /// Value that applies from this revision on.
        after: Service,
    },
    /// A target was registered, or its agent recorded that an order was executed.
    Target {
        /// Previous value; `None` if the target is new.
        before: Option<Target>,
        /// Value that applies from this revision on.
        after: Target,
    },
    /// An order to a target was written.
    Order {
        /// Previous order to the target; `None` for the first one.
        before: Option<Order>,
        /// Order that applies from this revision on.
        after: Order,
    },
    /// A planner decided to keep the current roles; the configuration is unchanged.
    PlanKept {
        /// Service that the plan is for.
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
    /// Free-text reason, for operators.
    pub reason: String,
    /// Unique per write, so that a writer whose reply was lost can find out whether its write took
    /// effect. Encoded as a string in JSON, because `serde_json::Value` and most JSON parsers do
    /// not support 128-bit numbers.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u128,
    /// Content of the change.
    pub body: ChangeBody,
}
