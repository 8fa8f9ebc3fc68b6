//! Log records and snapshots that entries exchange while the table is unavailable.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use types::Change;
use types::Incarnation;
use types::Revision;

use crate::rows::encode;
use crate::snapshot::Snapshot;

/// Maximum size of the records in one answer; a frame is limited to 1 MiB.
const MAX_ANSWER_BYTES: usize = 512 << 10;
/// Maximum number of parts of a snapshot, together 512 MiB; no expected fleet needs that much.
const MAX_PARTS: u32 = 1024;
/// Maximum number of snapshots received at once.
const MAX_TRANSFERS: usize = 4;

/// Answer to a peer's request for changes; `wire::ToPeer` has a message for each variant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerAnswer {
    /// Log records in order of revision.
    Changes {
        /// Revision that the sender has applied.
        head: Revision,
        /// JSON of each `Change`.
        records: Vec<String>,
    },
    /// One part of a snapshot.
    Snapshot {
        /// Revision of the snapshot.
        head: Revision,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// JSON of one `Change` for each item, in order of revision.
        records: Vec<String>,
    },
}

impl PeerAnswer {
    /// Revision that the sender has applied.
    #[must_use]
    pub fn head(&self) -> Revision {
        match self {
            Self::Changes { head, .. } | Self::Snapshot { head, .. } => *head,
        }
    }

    /// Decodes the records and takes them out of the answer.
    pub(crate) fn decode(mut self) -> Result<(Self, Vec<Change>), String> {
        let (Self::Changes { records, .. } | Self::Snapshot { records, .. }) = &mut self;
        let changes = std::mem::take(records)
            .iter()
            .map(|record| serde_json::from_str(record))
            .collect::<Result<Vec<Change>, _>>()
            .map_err(|error| format!("record from a peer cannot be decoded: {error}"))?;
        Ok((self, changes))
    }
}

/// Answers to a peer that has applied the revision `after`: the records that it lacks, if `recent`
/// still holds them, otherwise the complete snapshot.
pub(crate) fn answers(
    snapshot: &Snapshot,
    recent: &VecDeque<Change>,
    after: Revision,
) -> Vec<PeerAnswer> {
    let head = snapshot.revision();
    let first = recent.front().map_or(head + 1, |change| change.revision);
    if after >= head || (after > 0 && after + 1 >= first) {
        let missing = recent.iter().filter(|change| change.revision > after);
        let records = parts(missing).into_iter().next().unwrap_or_default();
        return vec![PeerAnswer::Changes { head, records }];
    }
    let records = snapshot.records();
    let parts = parts(records.iter());
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(parts)
        .map(|(part, records)| PeerAnswer::Snapshot {
            head,
            part,
            parts: count,
            records,
        })
        .collect()
}

/// Encodes records and splits them into at least one part of up to `MAX_ANSWER_BYTES` each; a
/// larger record is a part of its own.
fn parts<'a>(changes: impl Iterator<Item = &'a Change>) -> Vec<Vec<String>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for record in changes.map(encode) {
        if bytes > 0 && bytes + record.len() > MAX_ANSWER_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += record.len();
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}

/// Snapshots that are being received in parts, by peer.
#[derive(Debug, Default)]
pub(crate) struct PeerSnapshots {
    transfers: BTreeMap<Incarnation, Transfer>,
}

#[derive(Debug)]
struct Transfer {
    head: Revision,
    next_part: u32,
    records: Vec<Change>,
}

impl PeerSnapshots {
    /// Adds a part and returns the snapshot once it is complete. A part out of order aborts the
    /// transfer.
    pub(crate) fn add(
        &mut self,
        peer: Incarnation,
        head: Revision,
        part: u32,
        parts: u32,
        records: Vec<Change>,
    ) -> Option<Snapshot> {
        if part >= parts || parts > MAX_PARTS {
            return None;
        }
        if part == 0 {
            self.make_room(peer);
            let transfer = Transfer {
                head,
                next_part: 1,
                records,
            };
            self.transfers.insert(peer, transfer);
        } else {
            let transfer = self.transfers.get_mut(&peer)?;
            if transfer.head != head || transfer.next_part != part {
                self.transfers.remove(&peer);
                return None;
            }
            transfer.next_part += 1;
            transfer.records.extend(records);
        }
        if part + 1 < parts {
            return None;
        }
        let complete = self.transfers.remove(&peer)?;
        Some(Snapshot::from_records(complete.head, &complete.records))
    }

    /// Aborts transfers of snapshots that are not newer than `revision`.
    pub(crate) fn abort_up_to(&mut self, revision: Revision) {
        self.transfers
            .retain(|_, transfer| transfer.head > revision);
    }

    /// Removes the transfer of this peer, and another one if the limit is reached.
    fn make_room(&mut self, peer: Incarnation) {
        self.transfers.remove(&peer);
        if self.transfers.len() >= MAX_TRANSFERS {
            self.transfers.pop_first();
        }
    }
}
