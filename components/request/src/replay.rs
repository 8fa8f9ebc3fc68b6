//! Large answers on their way to callers that sent a request again.
//!
//! They are handed over whole, outside the flow control between agent and caller, so their
//! memory is limited here.

use std::collections::BTreeMap;

use types::RefusalReason;
use types::RequestId;

use crate::claim::ROW_ANSWER_LIMIT_BYTES;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::retained::MemoryBudget;
use crate::retained::REPLAY_LIMIT_BYTES;
use crate::retained::Reservation;

struct Unconsumed {
    bytes: u64,
    _reservation: Reservation,
}

/// What callers have not taken yet.
pub(crate) struct ReplayLimiter {
    budget: MemoryBudget,
    unconsumed: BTreeMap<RequestId, Unconsumed>,
}

impl Default for ReplayLimiter {
    fn default() -> Self {
        Self {
            budget: MemoryBudget::new(REPLAY_LIMIT_BYTES),
            unconsumed: BTreeMap::new(),
        }
    }
}

impl ReplayLimiter {
    /// Notes an answer that is about to be handed over. Returns false if there is no room.
    pub fn reserve(&mut self, request: RequestId, length: usize) -> bool {
        if length <= ROW_ANSWER_LIMIT_BYTES {
            return true;
        }
        let mut reservation = self.budget.reserve();
        if !reservation.grow_to(length) {
            return false;
        }
        let unconsumed = Unconsumed {
            bytes: length as u64,
            _reservation: reservation,
        };
        self.unconsumed.insert(request, unconsumed);
        true
    }

    /// The caller took bytes.
    pub fn consumed(&mut self, request: RequestId, bytes: u64) {
        if let Some(unconsumed) = self.unconsumed.get_mut(&request) {
            unconsumed.bytes = unconsumed.bytes.saturating_sub(bytes);
            if unconsumed.bytes == 0 {
                self.unconsumed.remove(&request);
            }
        }
    }

    /// The caller hung up, or gets nothing.
    pub fn release(&mut self, request: RequestId) {
        self.unconsumed.remove(&request);
    }
}

/// There is no room to hand over another large answer.
pub(crate) fn replay_limit_reached() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::Overloaded,
        Some(RETRY_MS),
        "an earlier submission with this key runs or ran, and this entry has no room to send \
         another large answer; send the request again with the same key",
    )
}
