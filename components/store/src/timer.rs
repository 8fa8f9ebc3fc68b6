//! Timer interface, so that backoff can run in virtual time.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use types::ManualClock;

/// Timer for delays.
pub trait Timer {
    /// Completes after `delay_ms`.
    fn sleep(&self, delay_ms: Duration) -> Pin<Box<dyn Future<Output = ()>>>;
}

/// Timer of the operating system.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemTimer;

impl Timer for SystemTimer {
    fn sleep(&self, delay_ms: Duration) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            smol::Timer::after(delay_ms).await;
        })
    }
}

/// Timer that advances a [`ManualClock`] instead of waiting.
#[derive(Debug, Clone)]
pub struct ManualTimer(pub Rc<ManualClock>);

impl Timer for ManualTimer {
    fn sleep(&self, delay_ms: Duration) -> Pin<Box<dyn Future<Output = ()>>> {
        let clock = Rc::clone(&self.0);
        Box::pin(async move {
            futures_lite::future::yield_now().await;
            clock.advance(delay_ms);
        })
    }
}
