//! What the state machine of requests is told.

use std::rc::Rc;

use store::ObjectReply;
use store::StoreError;
use store::TableReply;
use types::Incarnation;
use types::Profile;
use types::RequestId;
use types::Revision;
use types::ServiceKind;
use types::Submission;
use types::TargetName;
use wire::ToEntry;

/// What a request is bound to when it is accepted.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Profile of the service at that moment.
    pub profile: Rc<Profile>,
    /// Head revision at that moment.
    pub revision: Revision,
    /// What stands behind the service.
    pub kind: ServiceKind,
}

/// One event.
#[derive(Debug)]
pub enum Event {
    /// A caller's request arrived.
    Submitted {
        /// Id given by the entry.
        request: RequestId,
        /// The request.
        submission: Submission,
        /// What it is bound to.
        terms: Terms,
    },
    /// The caller hung up.
    CallerGone {
        /// Request concerned.
        request: RequestId,
    },
    /// The caller's socket took bytes of the answer.
    Consumed {
        /// Request concerned.
        request: RequestId,
        /// Bytes taken.
        bytes: u64,
    },
    /// A message came from an agent.
    Agent {
        /// Target of the agent.
        target: TargetName,
        /// Run of the agent.
        incarnation: Incarnation,
        /// The message.
        message: ToEntry,
    },
    /// A connection to an agent can be used.
    ConnectionUp {
        /// Target of the agent.
        target: TargetName,
        /// Run of the agent.
        incarnation: Incarnation,
    },
    /// The connection to an agent broke or went silent; a new one is being opened.
    ConnectionDown {
        /// Target of the agent.
        target: TargetName,
    },
    /// That run of the agent has ended; nothing it knew can be had.
    IncarnationGone {
        /// Target of the agent.
        target: TargetName,
        /// Run of the agent.
        incarnation: Incarnation,
    },
    /// A call to the table ended.
    TableDone {
        /// Number from `Action::Table`.
        operation: u64,
        /// Its end.
        result: Result<TableReply, StoreError>,
    },
    /// A call to the object store ended.
    ObjectDone {
        /// Number from `Action::Object`.
        operation: u64,
        /// Its end.
        result: Result<ObjectReply, StoreError>,
    },
    /// The process is stopping: new requests are refused, and those in flight finish.
    Leaving,
    /// Time passed.
    Tick,
}
