//! Exchange of log records and snapshots with peers while the table is unavailable.

use std::time::Instant;

use types::Incarnation;
use types::Revision;

use crate::follower::Follower;
use crate::follower::FollowerAction;
use crate::peers::PeerAnswer;
use crate::peers::answers;
use crate::snapshot::Snapshot;

impl Follower {
    pub(super) fn answer_peer(
        &self,
        peer: Incarnation,
        after: Revision,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        for answer in answers(snapshot, &self.recent, after) {
            actions.push(FollowerAction::SendChanges { peer, answer });
        }
    }

    pub(super) fn peer_answered(
        &mut self,
        now: Instant,
        peer: Incarnation,
        answer: PeerAnswer,
        actions: &mut Vec<FollowerAction>,
    ) {
        self.observe_revision(now, answer.head());
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
                    let complete = self.peer_snapshots.add(peer, head, part, parts, records);
                    if let Some(snapshot) = complete
                        && !self.would_revert(&snapshot)
                    {
                        self.replace_snapshot(now, snapshot, actions);
                    }
                }
            }
        }
        if self.applied() > before {
            // The answer may have been truncated at its size limit; the rest is requested at once.
            self.next_peer_poll = now;
        }
    }

    /// Whether a first snapshot is older than the latest known revision. An earlier run of this
    /// process may have applied that revision, and the configuration must not revert. Until a peer
    /// with that revision answers, requests are refused as not ready.
    fn would_revert(&self, snapshot: &Snapshot) -> bool {
        self.snapshot.is_none() && snapshot.revision() < self.view.newest()
    }

    /// Requests changes from a peer, if the follower lags and the table is unavailable.
    pub(super) fn request_from_peers(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        let is_unanswered = self.unanswered_since.is_some_and(|since| {
            now.saturating_duration_since(since) >= self.options.peer_delay_ms
        });
        if !is_unanswered || self.view.behind_since().is_none() || now < self.next_peer_poll {
            return;
        }
        self.next_peer_poll = now + self.options.poll_ms;
        actions.push(FollowerAction::RequestChanges {
            after: self.applied(),
        });
    }
}
