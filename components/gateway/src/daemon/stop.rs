//! Graceful stop: tell the balancer, accept until it has noticed, finish everything, end.

use std::rc::Rc;
use std::time::Duration;

use async_signal::Signals;
use futures_lite::StreamExt;
use smol::Timer;
use smol::net::TcpListener;

use crate::daemon::Daemon;
use crate::daemon::callers::Callers;
use crate::note::Note;

/// Time in which the balancer notices: it asks once a second and acts on the second miss.
const NOTICE_MS: Duration = Duration::from_millis(2_500);
/// Part of the grace time after which the process ends whatever is still running.
const GRACE_PART: f64 = 0.97;

/// Serves callers until a signal arrives and their requests have ended.
pub(super) async fn serve_until_stopped(
    daemon: &Rc<Daemon>,
    listener: TcpListener,
    mut signals: Signals,
) {
    let (running, stop) = smol::channel::bounded::<()>(1);
    let handler = Rc::new(Callers {
        daemon: daemon.clone(),
    });
    let limits = daemon.caller_limits();
    let serving = http::serve(listener, limits, handler, daemon.executor(), stop);
    let (finished, finishing) = smol::channel::bounded::<()>(1);
    daemon.spawn(async move {
        // Serving ends when `running` is closed and all connections are finished.
        let _ = serving.await;
        drop(finished);
    });
    // The stream of signals does not end.
    let _ = signals.next().await;
    daemon.is_staying.set(false);
    let in_flight = daemon.core.borrow().in_flight();
    daemon.note(Note::Stopping { in_flight });
    Timer::after(NOTICE_MS).await;
    drop(running);
    let grace = daemon.settings.stop_grace_ms.mul_f64(GRACE_PART);
    let late = async {
        Timer::after(grace.saturating_sub(NOTICE_MS)).await;
    };
    let all_finished = async {
        // Fails when the last connection has ended.
        let _ = finishing.recv().await;
    };
    smol::future::or(all_finished, late).await;
    let in_flight = daemon.core.borrow().in_flight();
    daemon.note(Note::Stopped { in_flight });
    daemon.log.flush();
}
