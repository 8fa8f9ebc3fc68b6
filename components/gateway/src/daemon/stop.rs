//! Graceful shutdown: fail the readiness probe, accept requests until the load balancer has
//! noticed, finish the requests in flight, exit.

use std::rc::Rc;
use std::time::Duration;

use async_signal::Signals;
use futures_lite::StreamExt;
use smol::Timer;
use smol::net::TcpListener;

use crate::daemon::Daemon;
use crate::daemon::callers::Callers;
use crate::log_event::LogEvent;

/// Time in which the load balancer notices: it probes once a second and acts on the second failure.
const BALANCER_NOTICE_MS: Duration = Duration::from_millis(2_500);
/// Fraction of the grace period after which the process exits even if requests are in flight.
const GRACE_FRACTION: f64 = 0.97;

/// Serves callers until a signal arrives and their requests have ended.
pub(super) async fn serve_until_stopped(
    daemon: &Rc<Daemon>,
    listener: TcpListener,
    mut signals: Signals,
) {
    let (stop_sender, stop) = smol::channel::bounded::<()>(1);
    let handler = Rc::new(Callers {
        daemon: daemon.clone(),
    });
    let limits = daemon.caller_limits();
    let server = http::serve(listener, limits, handler, daemon.executor(), stop);
    let (server_ended_guard, server_ended) = smol::channel::bounded::<()>(1);
    daemon.spawn(async move {
        // The server ends when `stop_sender` is dropped and all connections have closed.
        let _ = server.await;
        drop(server_ended_guard);
    });
    // `None` is impossible: the stream of signals does not end.
    let _ = signals.next().await;
    daemon.is_in_service.set(false);
    let in_flight = daemon.core.borrow().in_flight();
    daemon.log_event(LogEvent::Stopping { in_flight });
    Timer::after(BALANCER_NOTICE_MS).await;
    drop(stop_sender);
    let grace = daemon.settings.stop_grace_ms.mul_f64(GRACE_FRACTION);
    let timeout = async {
        Timer::after(grace.saturating_sub(BALANCER_NOTICE_MS)).await;
    };
    let all_finished = async {
        // Returns an error once the server has ended and `server_ended_guard` is dropped.
        let _ = server_ended.recv().await;
    };
    smol::future::or(all_finished, timeout).await;
    let in_flight = daemon.core.borrow().in_flight();
    daemon.log_event(LogEvent::Stopped { in_flight });
    daemon.log.flush();
}
