//! Sockets for entries: TCP connections with frames, and UDP on the same port number.

use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::net::UdpSocket;
use wire::Datagram;
use wire::datagram::MAX_DATAGRAM_BYTES;

use crate::daemon::Daemon;
use crate::daemon::connections;
use crate::event::Event;

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE_MS: Duration = Duration::from_millis(100);

/// Binds both sockets. The port is not shared: a paused run of the agent still holds it, so
/// that no second one starts beside it.
pub fn bind(address: SocketAddr) -> eyre::Result<(TcpListener, UdpSocket)> {
    let fix = || {
        format!(
            "cannot bind {address}; another agent may run on this host, or `listen` of the \
             settings names an address of another host"
        )
    };
    let listener = StdListener::bind(address).wrap_err_with(fix)?;
    let udp = std::net::UdpSocket::bind(address).wrap_err_with(fix)?;
    let listener = smol::Async::new(listener)?.into();
    let udp = smol::Async::new(udp)?.into();
    Ok((listener, udp))
}

/// Serves both sockets.
pub fn spawn(daemon: &Rc<Daemon>, listener: TcpListener) {
    let accepting = daemon.clone();
    daemon.spawn(async move {
        loop {
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
        loop {
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
                    receiving.tell(Event::Watched {
                        entry,
                        sequence,
                        head,
                    });
                    receiving.tell(Event::Probe { from, sequence });
                }
                Ok(_) => {}
                Err(_) => metrics::counter!("agent_datagrams_refused_total").increment(1),
            }
        }
    });
}

/// Ends a future after a time.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let given_up = async {
        smol::Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(given_up).await
}
