//! Log events of an entry, listed in `docs/log-events.md`.

use std::rc::Rc;

use quarantine::PartChange;
use request::Summary;
use types::Incarnation;
use types::RequestId;
use types::Revision;
use types::TargetName;

/// Log event.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// The daemon has started to serve.
    Started {
        /// Incarnation of this process.
        incarnation: Incarnation,
    },
    /// The daemon was asked to stop.
    Stopping {
        /// Requests in flight.
        in_flight: usize,
    },
    /// The daemon has finished all requests and released its leases.
    Stopped,
    /// A newer snapshot was applied.
    ConfigurationApplied {
        /// Revision of the snapshot.
        revision: Revision,
    },
    /// A record or snapshot could not be decoded and was not applied.
    ConfigurationRejected {
        /// Error.
        detail: String,
    },
    /// A connection to the agent of a target was established.
    TargetUp {
        /// Name in the target's row.
        target: TargetName,
        /// Incarnation of its agent.
        incarnation: Incarnation,
    },
    /// The connection to the agent of a target was lost.
    TargetDown {
        /// Name in the target's row.
        target: TargetName,
        /// Error that ended the connection.
        detail: String,
    },
    /// An incarnation of an agent has ended, by a restart or the removal of its target.
    IncarnationEnded {
        /// Name in the target's row.
        target: TargetName,
        /// The ended incarnation.
        incarnation: Incarnation,
    },
    /// A part of prompts became suspect, quarantined or free again.
    PartChange(PartChange),
    /// A request has ended.
    RequestSettled {
        /// Id from `EntryCore::new_request`.
        request: RequestId,
        /// Outcome, attempts, times and token usage.
        summary: Rc<Summary>,
    },
    /// This entry acquired the planning lease of a service.
    LeaseAcquired {
        /// Service that the lease permits to plan for.
        scope: String,
        /// Fencing number of the lease.
        fencing: u64,
    },
    /// This entry lost or released the planning lease of a service.
    LeaseLost {
        /// Service that the lease permitted to plan for.
        scope: String,
    },
    /// The planner decided on an order, which is written next.
    OrderPlanned {
        /// Service of the target.
        service: String,
        /// Name in the target's row.
        target: TargetName,
        /// Decision with its figures.
        reason: String,
    },
    /// A planned order could not be written.
    OrderNotWritten {
        /// Service of the target.
        service: String,
        /// Error.
        detail: String,
    },
    /// The host list could not be read.
    HostListFailed {
        /// Error.
        detail: String,
    },
    /// A call to the object store failed.
    ObjectStoreFailed {
        /// Error.
        detail: String,
    },
    /// A received datagram was refused, or one could not be encoded.
    DatagramRefused {
        /// Error.
        detail: String,
    },
    /// A connection from another entry was refused or failed.
    PeerRefused {
        /// Error.
        detail: String,
    },
    /// A reload of the settings succeeded or failed.
    SettingsReloaded {
        /// Error; `None` if the new settings apply.
        error: Option<String>,
    },
}

impl LogEvent {
    /// Event number in `docs/log-events.md`.
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
            Self::IncarnationEnded { .. } => "CS1203",
            Self::HostListFailed { .. } => "CS1204",
            Self::DatagramRefused { .. } => "CS1205",
            Self::PeerRefused { .. } => "CS1206",
            Self::ObjectStoreFailed { .. } => "CS1207",
            Self::RequestSettled { .. } => "CS1301",
            Self::PartChange(_) => "CS1302",
            Self::LeaseAcquired { .. } => "CS1401",
            Self::LeaseLost { .. } => "CS1402",
            Self::OrderPlanned { .. } => "CS1403",
            Self::OrderNotWritten { .. } => "CS1404",
        }
    }
}
