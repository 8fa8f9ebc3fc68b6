//! Events that the entry reports to the request state machine.

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

/// Service configuration that applies to a request from its acceptance to its end.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// Profile of the service at acceptance.
    pub profile: Rc<Profile>,
    /// Latest configuration revision at acceptance.
    pub revision: Revision,
    /// Whether the service is backed by engines or is a plain one.
    pub kind: ServiceKind,
}

/// Event reported by the entry.
#[derive(Debug)]
pub enum Event {
    /// A caller's request arrived.
    Submitted {
        /// Id assigned by the entry.
        request: RequestId,
        /// Content, caller and idempotency key.
        submission: Submission,
        /// Configuration that applies to the request.
        service_config: ServiceConfig,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// Request of the caller.
        request: RequestId,
    },
    /// Bytes of the answer were written to the caller's socket.
    Consumed {
        /// Request that is being answered.
        request: RequestId,
        /// Number of bytes since the last event.
        bytes: u64,
    },
    /// An agent sent a message.
    Agent {
        /// Target of the agent.
        target: TargetName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Message received.
        message: ToEntry,
    },
    /// A connection to an agent was established.
    ConnectionUp {
        /// Target of the agent.
        target: TargetName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
    },
    /// The connection to an agent broke or timed out; the entry is reconnecting.
    ConnectionDown {
        /// Target of the agent.
        target: TargetName,
    },
    /// The process of this incarnation has ended, and the state that it held is lost.
    IncarnationEnded {
        /// Target of the agent.
        target: TargetName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
    },
    /// A call to the table returned or failed.
    TableDone {
        /// Number from `Action::Table`.
        operation: u64,
        /// Reply of the store, or why there is none.
        result: Result<TableReply, StoreError>,
    },
    /// A call to the object store returned or failed.
    ObjectDone {
        /// Number from `Action::Object`.
        operation: u64,
        /// Reply of the store, or why there is none.
        result: Result<ObjectReply, StoreError>,
    },
    /// The entry is shutting down: new requests are refused, and those in flight finish.
    Leaving,
    /// The time of `Requests::next_tick` has come.
    Tick,
}
