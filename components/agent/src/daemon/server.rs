//! Sockets for entries: TCP for sessions, and UDP on the same port for probes.

use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::net::UdpSocket;
use types::Turn;
use wire::Datagram;
use wire::datagram::MAX_DATAGRAM_BYTES;

use crate::daemon::Daemon;
use crate::daemon::connections;
use crate::event::Event;

/// Pause after a socket error, for example when there are no free file descriptors.
const ACCEPT_PAUSE_MS: Duration = Duration::from_millis(100);

/// Binds both sockets. The port is exclusive, so that no second agent can start while a paused one
/// still holds the port.
pub fn bind(address: SocketAddr) -> eyre::Result<(TcpListener, UdpSocket)> {
    let context = || {
        format!(
            "cannot bind {address}; another agent may run on this host, or `listen` of the \
             settings names an address of another host"
        )
    };
    let listener = StdListener::bind(address).wrap_err_with(context)?;
    let udp = std::net::UdpSocket::bind(address).wrap_err_with(context)?;
    let listener = smol::Async::new(listener)?.into();
    let udp = smol::Async::new(udp)?.into();
    Ok((listener, udp))
}

/// Spawns the tasks that serve both sockets.
pub fn spawn(daemon: &Rc<Daemon>, listener: TcpListener) {
    let accepting = daemon.clone();
    daemon.spawn(async move {
        let mut turn = Turn::default();
        loop {
            turn.proceed(0).await;
            match listener.accept().await {
                Ok((stream, _)) => connections::spawn(&accepting, stream),
                Err(_) => {
                    smol::Timer::after(ACCEPT_PAUSE_MS).await;
                }
            }
        }
    });
    let receiving = daemon.clone();
    daemon.spawn(async move {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut turn = Turn::default();
        loop {
            turn.proceed(0).await;
            let Ok((count, from)) = receiving.udp().recv_from(&mut buffer).await else {
                smol::Timer::after(ACCEPT_PAUSE_MS).await;
                continue;
            };
            let decoded = Datagram::decode(&buffer[..count], &receiving.keys.borrow());
            match decoded {
                Ok(Datagram::Probe {
                    entry,
                    sequence,
                    head,
                }) => {
                    receiving.handle_event(Event::EntryProbed {
                        entry,
                        sequence,
                        head,
                    });
                    receiving.handle_event(Event::Probe { from, sequence });
                }
                Ok(_) => {}
                Err(_) => metrics::counter!("agent_datagrams_refused_total").increment(1),
            }
        }
    });
}

/// Awaits a future for at most `limit`; returns `None` on timeout.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        smol::Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(expired).await
}
