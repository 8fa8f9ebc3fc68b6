//! Memory limit for large answers that are replayed to resends.
//!
//! Such answers are passed on in one piece, outside the flow control between agent and caller, so
//! their memory is limited here.

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

/// Replayed answers that callers have not consumed yet.
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
    /// Reserves memory for an answer that is about to be replayed. Returns false if the limit would
    /// be exceeded. Answers that fit into a claim row need no reservation.
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

    /// Records that bytes were written to the caller's socket.
    pub fn consumed(&mut self, request: RequestId, bytes: u64) {
        if let Some(unconsumed) = self.unconsumed.get_mut(&request) {
            unconsumed.bytes = unconsumed.bytes.saturating_sub(bytes);
            if unconsumed.bytes == 0 {
                self.unconsumed.remove(&request);
            }
        }
    }

    /// Releases the memory after the caller disconnected or was refused.
    pub fn release(&mut self, request: RequestId) {
        self.unconsumed.remove(&request);
    }
}

/// Refusal while the limit leaves no memory for another large answer.
pub(crate) fn replay_limit_reached() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::Overloaded,
        Some(RETRY_MS),
        "an earlier submission with this key is running or has run, and this entry has no memory \
         left to send another large answer; send the request again with the same key",
    )
}
