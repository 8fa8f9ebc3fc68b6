//! What the decisions of an entry are told, and what they ask for.

use std::net::SocketAddr;

use control::HeldLease;
use control::PeerAnswer;
use store::HostEntry;
use store::ObjectReply;
use store::ObjectRequest;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::Incarnation;
use types::OrderKind;
use types::Reply;
use types::RequestId;
use types::Revision;
use types::Submission;
use types::TargetName;
use wire::Datagram;
use wire::ToAgent;
use wire::ToEntry;

use crate::core::links::LinkId;
use crate::core::note::Note;

/// One event.
#[derive(Debug)]
pub enum Event {
    /// A caller's request arrived.
    Submitted {
        /// Id from `EntryCore::new_request`.
        request: RequestId,
        /// The request.
        submission: Submission,
    },
    /// The caller's socket took bytes of the answer.
    Consumed {
        /// Request concerned.
        request: RequestId,
        /// Bytes taken.
        bytes: u64,
    },
    /// The caller hung up.
    CallerGone {
        /// Request concerned.
        request: RequestId,
    },
    /// A message came on a connection to an agent.
    LinkMessage {
        /// Connection concerned.
        link: LinkId,
        /// The message.
        message: ToEntry,
    },
    /// A connection to an agent ended or could not be opened.
    LinkClosed {
        /// Connection concerned.
        link: LinkId,
        /// Error, if there was one.
        detail: Option<String>,
    },
    /// An authenticated datagram arrived.
    Datagram(Datagram),
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
    /// The host list was read.
    Hosts(Result<Vec<HostEntry>, StoreError>),
    /// Another entry asks for changes.
    PeerAsks {
        /// Run of the other entry.
        peer: Incarnation,
        /// Revision that it has.
        after: Revision,
    },
    /// Another entry sent changes.
    PeerAnswered {
        /// Run of the other entry.
        peer: Incarnation,
        /// The changes.
        answer: PeerAnswer,
    },
    /// A planned order was written, or was not.
    OrderPlanned {
        /// Service planned for.
        service: String,
        /// Error, if it was not written.
        error: Option<String>,
    },
    /// The process was asked to stop, and the balancer has had its time to notice.
    Leaving,
    /// Time passed.
    Tick,
}

/// One action.
#[derive(Debug)]
pub enum Action {
    /// Hand a part of an answer to the caller.
    Reply {
        /// Request concerned.
        request: RequestId,
        /// Next part.
        reply: Reply,
    },
    /// Open a connection to an agent.
    OpenLink {
        /// Number of the new connection.
        link: LinkId,
        /// Target that it must lead to.
        target: TargetName,
        /// Address of the agent.
        address: SocketAddr,
    },
    /// Close a connection to an agent.
    CloseLink {
        /// Connection concerned.
        link: LinkId,
    },
    /// Send a message to an agent.
    Send {
        /// Connection concerned.
        link: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// Send a datagram.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Call the table and report its end with the same number.
    Table {
        /// Number of the call.
        operation: u64,
        /// The call.
        request: TableRequest,
    },
    /// Call the object store and report its end with the same number.
    Object {
        /// Number of the call.
        operation: u64,
        /// The call.
        request: ObjectRequest,
    },
    /// Read the host list and report it.
    ReadHosts,
    /// Ask another entry for the changes after a revision.
    AskPeer {
        /// Address of the other entry.
        address: SocketAddr,
        /// Revision in force here.
        after: Revision,
    },
    /// Answer another entry.
    AnswerPeer {
        /// Run of the other entry.
        peer: Incarnation,
        /// The answer.
        answer: PeerAnswer,
    },
    /// Write an order under a lease and report its end.
    PlanOrder {
        /// Lease held.
        held: HeldLease,
        /// Target concerned.
        target: TargetName,
        /// What it has to do.
        kind: OrderKind,
        /// Explanation for the audit trail.
        reason: String,
    },
    /// Record in the audit trail why nothing was changed.
    KeepPlan {
        /// Lease held.
        held: HeldLease,
        /// Explanation for the audit trail.
        reason: String,
    },
    /// Write a log record.
    Note(Note),
}
