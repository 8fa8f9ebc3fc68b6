//! Large answers on their way to callers that sent a request again.
//!
//! They are handed over whole, outside the flow control between agent and caller, so their
//! memory is limited here.

use std::collections::BTreeMap;

use types::RefusalReason;
use types::RequestId;

use crate::claim::ROW_ANSWER_LIMIT_BYTES;
use crate::kept::HeldBytes;
use crate::kept::HeldShare;
use crate::kept::SENDING_LIMIT_BYTES;
use crate::refusal::Ending;
use crate::refusal::RETRY_MS;

struct Left {
    bytes: u64,
    _share: HeldShare,
}

/// What callers have not taken yet.
pub(crate) struct Sending {
    held: HeldBytes,
    left: BTreeMap<RequestId, Left>,
}

impl Default for Sending {
    fn default() -> Self {
        Self {
            held: HeldBytes::new(SENDING_LIMIT_BYTES),
            left: BTreeMap::new(),
        }
    }
}

impl Sending {
    /// Notes an answer that is about to be handed over. Returns false if there is no room.
    pub fn begin(&mut self, request: RequestId, length: usize) -> bool {
        if length <= ROW_ANSWER_LIMIT_BYTES {
            return true;
        }
        let mut share = self.held.share();
        if !share.grow_to(length) {
            return false;
        }
        let left = Left {
            bytes: length as u64,
            _share: share,
        };
        self.left.insert(request, left);
        true
    }

    /// The caller took bytes.
    pub fn taken(&mut self, request: RequestId, bytes: u64) {
        if let Some(left) = self.left.get_mut(&request) {
            left.bytes = left.bytes.saturating_sub(bytes);
            if left.bytes == 0 {
                self.left.remove(&request);
            }
        }
    }

    /// The caller hung up, or gets nothing.
    pub fn end(&mut self, request: RequestId) {
        self.left.remove(&request);
    }
}

/// There is no room to hand over another large answer.
pub(crate) fn no_room() -> Ending<'static> {
    Ending::new(
        RefusalReason::Overloaded,
        Some(RETRY_MS),
        "an earlier submission with this key runs or ran, and this entry has no room to send \
         another large answer; send the request again with the same key",
    )
}
