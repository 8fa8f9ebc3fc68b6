//! Exchange of the log with peers while the table does not answer.

use std::time::Instant;

use types::Incarnation;
use types::Revision;

use crate::follower::Follower;
use crate::follower::FollowerAction;
use crate::peers::PeerAnswer;
use crate::peers::answers;
use crate::snapshot::Snapshot;

impl Follower {
    pub(super) fn answer(
        &self,
        peer: Incarnation,
        after: Revision,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        for answer in answers(snapshot, &self.recent, after) {
            actions.push(FollowerAction::AnswerPeer { peer, answer });
        }
    }

    pub(super) fn peer_answered(
        &mut self,
        now: Instant,
        peer: Incarnation,
        answer: PeerAnswer,
        actions: &mut Vec<FollowerAction>,
    ) {
        self.heard_of(now, answer.head());
        let before = self.applied();
        match answer.decode() {
            Err(detail) => actions.push(FollowerAction::Rejected { detail }),
            Ok((PeerAnswer::Changes { .. }, changes)) => self.apply(now, changes, actions),
            Ok((
                PeerAnswer::Snapshot {
                    head, part, parts, ..
                },
                records,
            )) => {
                if head > before || self.snapshot.is_none() {
                    let whole = self.from_peers.add(peer, head, part, parts, records);
                    if let Some(snapshot) = whole
                        && !self.would_revert(&snapshot)
                    {
                        self.replace(now, snapshot, actions);
                    }
                }
            }
        }
        if self.applied() > before {
            // The answer may have been cut at its size limit.
            self.next_ask = now;
        }
    }

    /// Whether a first snapshot is older than a head that others have announced. An earlier run
    /// of this process may have applied that head, and nothing may go back; without an answer of
    /// a peer that has it, requests are refused as not ready.
    fn would_revert(&self, snapshot: &Snapshot) -> bool {
        self.snapshot.is_none() && snapshot.revision() < self.known
    }

    pub(super) fn ask_peers(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        let silent = self.silent_since.is_some_and(|since| {
            now.saturating_duration_since(since) >= self.options.peers_after_ms
        });
        if !silent || self.behind_since.is_none() || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.options.poll_ms;
        actions.push(FollowerAction::AskPeer {
            after: self.applied(),
        });
    }
}
