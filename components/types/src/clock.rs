//! Clock interface, so that time-dependent logic can run in virtual time.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Source of monotonic and wall-clock time.
pub trait Clock {
    /// Monotonic time, for timeouts and deadlines.
    fn now(&self) -> Instant;
    /// Wall-clock time, for audit records only.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
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

/// Virtual clock that only moves when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Creates a clock that starts at the current instant; its wall-clock time starts at the Unix
    /// epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }

    /// Virtual time since the clock was created.
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
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
