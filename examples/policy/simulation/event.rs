//! Events of the simulation, ordered by time and then by the order in which they were scheduled.

use std::time::Duration;

use types::AttemptId;
use types::CacheEvent;
use types::LoadReport;
use types::Role;
use types::Usage;

use crate::script::ScriptedAction;

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Event {
    /// A caller sends a call for the first time.
    CallArrived(usize),
    /// The engine has something to process.
    EngineStep(usize),
    /// An attempt reaches the engine's agent.
    AttemptArrived {
        attempt: AttemptId,
        engine: usize,
    },
    CancelArrived {
        attempt: AttemptId,
        engine: usize,
    },
    /// A message of an agent reaches an entry.
    ReportArrived {
        entry: usize,
        engine: usize,
        update: Option<AttemptUpdate>,
        report: LoadReport,
        cache: Vec<CacheEvent>,
    },
    Probe {
        entry: usize,
        engine: usize,
    },
    /// An entry tries again to route its waiting calls.
    QueueRetry(usize),
    Deadline(usize),
    /// A caller sends a call again, unless the call has ended.
    Resend {
        call: usize,
        resend: u32,
    },
    Plan,
    RoleChange {
        engine: usize,
        role: Role,
    },
    Script(ScriptedAction),
    /// The entries get the changed configuration of a target.
    TargetChanged(usize),
}

/// Progress of an attempt, as its agent reports it to the entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum AttemptUpdate {
    FirstToken(AttemptId),
    Completed(AttemptId, Usage),
    Failed(AttemptId),
    Rejected(AttemptId),
}

/// Time, number in the order of scheduling, and event.
pub(super) struct QueuedEvent(pub Duration, pub u64, pub Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
