//! The clock, passed in as an interface so that decisions can run in virtual time.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Source of monotonic and wall-clock time.
pub trait Clock {
    /// Monotonic time, for every timeout and deadline.
    fn now(&self) -> Instant;
    /// Wall-clock time, for audit records only.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    base: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Starts at an arbitrary instant.
    #[must_use]
    pub fn new() -> Self {
        Self {
            base: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Moves time forward.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }

    /// Time since the clock was made.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
