//! Timeout of a connection, which is set often and seldom expires.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;

/// Deadline that can be moved without rescheduling its timer.
///
/// A timer that fires before the deadline is scheduled again. Scheduling a timer costs a system
/// call to wake the reactor, which is too expensive for every request.
#[derive(Debug, Default)]
pub(crate) struct Watchdog {
    deadline: Option<Instant>,
    timer: Option<(Instant, Timer)>,
}

impl Watchdog {
    /// Sets the deadline to the given time from now.
    pub(crate) fn set(&mut self, after: Duration) {
        self.deadline = Instant::now().checked_add(after);
    }

    /// Whether a deadline is set.
    pub(crate) fn is_set(&self) -> bool {
        self.deadline.is_some()
    }

    /// Removes the deadline.
    pub(crate) fn clear(&mut self) {
        self.deadline = None;
    }

    /// Ready if the deadline has passed; otherwise the task is woken when it does.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.deadline else {
            return Poll::Pending;
        };
        loop {
            let armed = match &mut self.timer {
                Some((at, timer)) if *at <= deadline => timer,
                _ => &mut self.timer.insert((deadline, Timer::at(deadline))).1,
            };
            if Pin::new(armed).poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.timer = None;
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
        }
    }
}
