//! Events and actions of the follower state machine.

use std::rc::Rc;

use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::Change;
use types::Incarnation;
use types::Revision;

use crate::peers::PeerAnswer;
use crate::snapshot::Snapshot;

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerEvent {
    /// The time of [`Follower::next_wake`](super::Follower::next_wake) has come.
    Tick,
    /// A table request succeeded or failed.
    TableDone {
        /// Number of the request, from [`FollowerAction::Table`].
        operation: u64,
        /// Reply or error.
        result: Result<TableReply, StoreError>,
    },
    /// Another process announced the revision that it has applied.
    RevisionAnnounced {
        /// Announced revision.
        revision: Revision,
    },
    /// A peer requests the changes after a revision.
    ChangesRequested {
        /// Incarnation of the peer.
        peer: Incarnation,
        /// Revision that the peer has applied; 0 without a snapshot.
        after: Revision,
    },
    /// A peer answered.
    ChangesReceived {
        /// Incarnation of the peer.
        peer: Incarnation,
        /// Log records or one part of a snapshot.
        answer: PeerAnswer,
    },
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerAction {
    /// Make a table request and report its result as [`FollowerEvent::TableDone`].
    Table {
        /// Number of the request within this follower.
        operation: u64,
        /// Request to make.
        request: TableRequest,
    },
    /// Request the changes after a revision from a peer, and from a different peer each time.
    RequestChanges {
        /// Revision that the follower has applied; 0 requests a snapshot.
        after: Revision,
    },
    /// Send an answer to a peer.
    SendChanges {
        /// Incarnation of the peer.
        peer: Incarnation,
        /// Log records or one part of a snapshot, in order of parts.
        answer: PeerAnswer,
    },
    /// A newer snapshot was applied.
    Applied {
        /// Snapshot after all changes.
        snapshot: Rc<Snapshot>,
        /// Changes since the previous snapshot, oldest first; empty if a complete snapshot
        /// replaced it.
        changes: Vec<Change>,
    },
    /// A row of the table or a record of a peer could not be decoded and was not applied.
    Rejected {
        /// Error text for the log.
        detail: String,
    },
}
