//! Feeds a tick whenever the core needs one.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use smol::Timer;

use crate::core::Event;
use crate::daemon::Daemon;

/// Between two looks at whether a stopping daemon has finished.
pub const DRAIN_POLL_MS: Duration = Duration::from_millis(20);

/// Runs until the daemon ends. `rearmed` tells that an earlier tick is needed.
pub async fn run(daemon: Rc<Daemon>, rearmed: Receiver<()>) {
    loop {
        let wake = daemon.core.borrow().next_wake();
        daemon.armed.set(wake);
        if wake <= daemon.clock.now() {
            daemon.feed(Event::Tick);
            // Sockets get their turn even while ticks are due all the time.
            smol::future::yield_now().await;
            continue;
        }
        let slept = async {
            Timer::at(wake).await;
        };
        let earlier = async {
            let _ = rearmed.recv().await;
        };
        smol::future::or(slept, earlier).await;
    }
}
