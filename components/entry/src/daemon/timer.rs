//! Passes a tick to the core whenever one is due.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use smol::Timer;

use crate::core::Event;
use crate::daemon::Daemon;

/// Interval of checking whether a stopping daemon has finished.
pub const DRAIN_POLL_MS: Duration = Duration::from_millis(20);

/// Runs until the daemon ends. A message on `rescheduled` means that an earlier tick is due.
pub async fn run(daemon: Rc<Daemon>, rescheduled: Receiver<()>) {
    loop {
        let wake = daemon.core.borrow().next_wake();
        daemon.next_tick_at.set(wake);
        let now = daemon.clock.now();
        if wake <= now {
            // Other tasks kept the thread, or the process did not run.
            let delay_ms = now.saturating_duration_since(wake);
            metrics::histogram!("chervilspool_task_delay_seconds").record(delay_ms.as_secs_f64());
            daemon.handle_event(Event::Tick);
            // Lets other tasks run even while ticks are due continuously.
            smol::future::yield_now().await;
            continue;
        }
        let tick_due = async {
            Timer::at(wake).await;
        };
        let earlier_tick = async {
            let _ = rescheduled.recv().await;
        };
        smol::future::or(tick_due, earlier_tick).await;
    }
}
