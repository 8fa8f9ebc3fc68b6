//! Input events and output actions of the core.

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
use crate::core::log_event::LogEvent;

/// Input of `EntryCore::handle`.
#[derive(Debug)]
pub enum Event {
    /// A caller sent a request.
    Submitted {
        /// Id from `EntryCore::new_request`.
        request: RequestId,
        /// Work, caller and idempotency key.
        submission: Submission,
    },
    /// Bytes of the answer were written to the caller's socket.
    Consumed {
        /// Id from `EntryCore::new_request`.
        request: RequestId,
        /// Number of bytes written.
        bytes: u64,
    },
    /// The caller disconnected before the end of the answer.
    CallerDisconnected {
        /// Id from `EntryCore::new_request`.
        request: RequestId,
    },
    /// A message arrived on a connection to an agent.
    LinkMessage {
        /// Id from `Action::OpenLink`.
        link: LinkId,
        /// Decoded message of the agent.
        message: ToEntry,
    },
    /// A connection to an agent ended or could not be opened.
    LinkClosed {
        /// Id from `Action::OpenLink`.
        link: LinkId,
        /// Error; `None` after a regular end.
        detail: Option<String>,
    },
    /// A datagram with a valid authentication code arrived.
    Datagram(Datagram),
    /// A call to the table returned.
    TableDone {
        /// Number from `Action::Table`.
        operation: u64,
        /// An error also if the table did not answer in time.
        result: Result<TableReply, StoreError>,
    },
    /// A call to the object store returned.
    ObjectDone {
        /// Number from `Action::Object`.
        operation: u64,
        /// An error also if the store did not answer in time.
        result: Result<ObjectReply, StoreError>,
    },
    /// A read of the host list returned.
    Hosts(Result<Vec<HostEntry>, StoreError>),
    /// Another entry requested changes.
    ChangesRequested {
        /// Incarnation of the other entry.
        peer: Incarnation,
        /// Latest revision that it has applied.
        after: Revision,
    },
    /// Another entry sent changes, or a part of a snapshot.
    ChangesReceived {
        /// Random id of the exchange.
        peer: Incarnation,
        /// Changes or part of a snapshot.
        answer: PeerAnswer,
    },
    /// The write of a planned order returned.
    OrderPlanned {
        /// Service of the target.
        service: String,
        /// Error; `None` if the order was written.
        error: Option<String>,
    },
    /// The process was asked to stop, and the balancer's notice period is over.
    Leaving,
    /// The time of `EntryCore::next_wake` has come.
    Tick,
}

/// Side effect for the daemon to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send a part of the answer to the caller.
    Reply {
        /// Id from `EntryCore::new_request`.
        request: RequestId,
        /// Head, bytes, end or refusal.
        reply: Reply,
    },
    /// Open a connection to an agent.
    OpenLink {
        /// Id of the new connection.
        link: LinkId,
        /// Target that the agent has to confirm.
        target: TargetName,
        /// Address of the agent.
        address: SocketAddr,
    },
    /// Close a connection to an agent.
    CloseLink {
        /// Id from `Action::OpenLink`.
        link: LinkId,
    },
    /// Send a message to an agent.
    Send {
        /// Id from `Action::OpenLink`.
        link: LinkId,
        /// Sent in the order of the actions.
        message: ToAgent,
    },
    /// Send a probe or an announcement over UDP.
    SendDatagram {
        /// Address of an agent or another entry.
        to: SocketAddr,
        /// Sent with an authentication code.
        datagram: Datagram,
    },
    /// Call the table and report the result as `Event::TableDone` with the same number.
    Table {
        /// Number of the call, unique in this process.
        operation: u64,
        /// Arguments of the call.
        request: TableRequest,
    },
    /// Call the object store and report the result as `Event::ObjectDone` with the same number.
    Object {
        /// Number of the call, unique in this process.
        operation: u64,
        /// Arguments of the call.
        request: ObjectRequest,
    },
    /// Read the host list and report it as `Event::Hosts`.
    ReadHosts,
    /// Request the changes after a revision from another entry.
    RequestChanges {
        /// Address of the other entry.
        address: SocketAddr,
        /// Latest revision applied here.
        after: Revision,
    },
    /// Send changes to another entry that requested them.
    SendChanges {
        /// Incarnation from `Event::ChangesRequested`.
        peer: Incarnation,
        /// Changes or part of a snapshot.
        answer: PeerAnswer,
    },
    /// Write an order under a lease and report the result as `Event::OrderPlanned`.
    WritePlannedOrder {
        /// Lease that the write depends on.
        held: HeldLease,
        /// Target that has to execute the order.
        target: TargetName,
        /// Content of the order.
        kind: OrderKind,
        /// Explanation in the audit trail.
        reason: String,
    },
    /// Record in the audit trail why a role change was rejected.
    RecordKeptPlan {
        /// Lease that the write depends on.
        held: HeldLease,
        /// Explanation in the audit trail.
        reason: String,
    },
    /// Write a log record.
    Log(LogEvent),
}
