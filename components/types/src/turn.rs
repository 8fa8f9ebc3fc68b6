//! Bounds the work that a task does before other tasks run.
//!
//! A daemon runs all its tasks on one thread, and a task keeps it until it waits. A loop over a
//! socket does not wait while its peer sends, or takes, bytes faster than the loop handles them. So
//! whatever reads or writes a socket in a loop uses up a [`Turn`], and gives the thread back at its
//! end.
//!
//! It is in this crate because `http`, which uses it, has users with lock files of their own
//! (`review/kit`): a new crate among its dependencies would keep these from being built.

use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

/// Bytes that a task handles in one turn.
const TURN_BYTES: usize = 64 << 10;
/// Least cost of an operation, as each is a system call or the handling of a message.
const MIN_OPERATION_BYTES: usize = 1 << 10;

/// What is left of a task's turn.
#[derive(Debug)]
pub struct Turn {
    left_bytes: usize,
}

impl Default for Turn {
    fn default() -> Self {
        Self {
            left_bytes: TURN_BYTES,
        }
    }
}

impl Turn {
    /// Counts an operation that did not wait.
    pub fn spend(&mut self, bytes: usize) {
        let cost = bytes.max(MIN_OPERATION_BYTES);
        self.left_bytes = self.left_bytes.saturating_sub(cost);
    }

    /// Begins a new turn; due when the task waits anyway.
    pub fn renew(&mut self) {
        *self = Self::default();
    }

    /// Ready while the turn lasts. At its end the task is woken again behind those that can run.
    pub fn poll_proceed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.left_bytes > 0 {
            return Poll::Ready(());
        }
        self.renew();
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Lets other tasks run if the turn is over, and counts an operation that comes next.
    pub async fn proceed(&mut self, bytes: usize) {
        poll_fn(|cx| self.poll_proceed(cx)).await;
        self.spend(bytes);
    }
}
