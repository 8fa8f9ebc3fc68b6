//! What a follower is told, and what it wants done.

use std::rc::Rc;

use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::Change;
use types::Incarnation;
use types::Revision;

use crate::peers::PeerAnswer;
use crate::snapshot::Snapshot;

/// What a follower is told.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerEvent {
    /// Time passed.
    Tick,
    /// A table request ended.
    TableDone {
        /// From the action.
        operation: u64,
        /// Its end.
        result: Result<TableReply, StoreError>,
    },
    /// Another process has applied this revision.
    Hint {
        /// Its revision.
        revision: Revision,
    },
    /// A peer asks for the changes after a revision.
    PeerAsks {
        /// Run of the peer.
        peer: Incarnation,
        /// Revision that it has; 0 for none.
        after: Revision,
    },
    /// A peer answered.
    PeerAnswered {
        /// Run of the peer.
        peer: Incarnation,
        /// Its answer.
        answer: PeerAnswer,
    },
}

/// What a follower wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerAction {
    /// Make a call and report its end.
    Table {
        /// Number of the call within this follower.
        operation: u64,
        /// The call.
        request: TableRequest,
    },
    /// Ask a peer for the changes after a revision; another one each time.
    AskPeer {
        /// Revision in force here; 0 asks for a snapshot.
        after: Revision,
    },
    /// Answer a peer.
    AnswerPeer {
        /// Run of the peer.
        peer: Incarnation,
        /// The answer.
        answer: PeerAnswer,
    },
    /// A newer snapshot is in force.
    Applied {
        /// The snapshot.
        snapshot: Rc<Snapshot>,
        /// Changes that led to it, oldest first; empty after a whole snapshot was read.
        changes: Vec<Change>,
    },
    /// Something in the table or from a peer was not understood, and was not applied.
    Rejected {
        /// For the log.
        detail: String,
    },
}
