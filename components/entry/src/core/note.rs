//! Log events of an entry. `docs/log-events.md` is their catalogue.

use std::rc::Rc;

use request::Summary;
use types::Incarnation;
use types::RequestId;
use types::Revision;
use types::TargetName;

/// One log event.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// The daemon serves.
    Started {
        /// Run of this process.
        incarnation: Incarnation,
    },
    /// The daemon was asked to stop.
    Stopping {
        /// Requests in flight.
        in_flight: usize,
    },
    /// The daemon has finished everything.
    Stopped,
    /// A newer snapshot is in force.
    ConfigurationApplied {
        /// Its revision.
        revision: Revision,
    },
    /// A record or snapshot was not understood and was not applied.
    ConfigurationRejected {
        /// What is wrong.
        detail: String,
    },
    /// A target can be reached.
    TargetUp {
        /// Target concerned.
        target: TargetName,
        /// Run of its agent.
        incarnation: Incarnation,
    },
    /// A target cannot be reached for now.
    TargetDown {
        /// Target concerned.
        target: TargetName,
        /// Error, if there was one.
        detail: String,
    },
    /// A run of an agent has ended.
    AgentGone {
        /// Target concerned.
        target: TargetName,
        /// The run that ended.
        incarnation: Incarnation,
    },
    /// A request has ended.
    RequestSettled {
        /// Request concerned.
        request: RequestId,
        /// Its figures.
        summary: Rc<Summary>,
    },
    /// A lease was taken.
    LeaseAcquired {
        /// Its scope.
        scope: String,
        /// Its fencing number.
        fencing: u64,
    },
    /// A lease was lost or given back.
    LeaseLost {
        /// Its scope.
        scope: String,
    },
    /// A planner wrote an order.
    OrderPlanned {
        /// Service planned for.
        service: String,
        /// Target concerned.
        target: TargetName,
        /// Why.
        reason: String,
    },
    /// A planned order could not be written.
    OrderNotWritten {
        /// Service planned for.
        service: String,
        /// Why.
        detail: String,
    },
    /// The host list could not be read.
    HostListFailed {
        /// Why.
        detail: String,
    },
    /// The object store did not answer, or refused a call.
    ObjectStoreFailed {
        /// Why.
        detail: String,
    },
    /// A datagram was refused.
    DatagramRefused {
        /// Why.
        detail: String,
    },
    /// A connection from another process was refused.
    PeerRefused {
        /// Why.
        detail: String,
    },
    /// Settings were reloaded, or could not be.
    SettingsReloaded {
        /// Error, if they were not taken over.
        error: Option<String>,
    },
}

impl Note {
    /// Number in the catalogue.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Started { .. } => "CS1001",
            Self::Stopping { .. } => "CS1002",
            Self::Stopped => "CS1003",
            Self::SettingsReloaded { .. } => "CS1004",
            Self::ConfigurationApplied { .. } => "CS1101",
            Self::ConfigurationRejected { .. } => "CS1102",
            Self::TargetUp { .. } => "CS1201",
            Self::TargetDown { .. } => "CS1202",
            Self::AgentGone { .. } => "CS1203",
            Self::HostListFailed { .. } => "CS1204",
            Self::DatagramRefused { .. } => "CS1205",
            Self::PeerRefused { .. } => "CS1206",
            Self::ObjectStoreFailed { .. } => "CS1207",
            Self::RequestSettled { .. } => "CS1301",
            Self::LeaseAcquired { .. } => "CS1401",
            Self::LeaseLost { .. } => "CS1402",
            Self::OrderPlanned { .. } => "CS1403",
            Self::OrderNotWritten { .. } => "CS1404",
        }
    }
}
