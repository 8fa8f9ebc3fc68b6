//! Listening sockets of the daemon and the tasks that serve them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use callers::CallersPort;
use eyre::WrapErr;
use operators::OperatorsPort;
use settings::EntrySettings;
use smol::Task;
use smol::net::TcpListener;
use smol::net::UdpSocket;
use types::Turn;
use wire::Datagram;

use crate::core::Event;
use crate::core::LogEvent;
use crate::daemon::Daemon;
use crate::daemon::gateway::EntryGateway;
use crate::daemon::operator::EntryControl;
use crate::daemon::peers;

/// Delay after a failed receive, so that a persistent error does not use a whole CPU core.
const RECEIVE_PAUSE_MS: Duration = Duration::from_millis(10);
/// Larger than any valid datagram, so that a longer one is refused instead of truncated.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Bound sockets that are not served yet.
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

/// Running servers of callers and operators.
pub struct RunningServers {
    stop: Sender<()>,
    task: Task<()>,
    /// Stops the operators' server when dropped.
    _operators: Sender<()>,
    /// Ports whose limits and tokens can be changed at run time.
    pub ports: Ports,
}

/// Request handlers of callers and operators.
#[derive(Clone)]
pub struct Ports {
    pub callers: Rc<CallersPort>,
    pub operators: Rc<OperatorsPort>,
}

impl RunningServers {
    /// Stops accepting callers' requests and waits for those in flight.
    pub async fn shut_down(self) {
        self.stop.close();
        self.task.await;
    }
}

/// Binds all addresses of the settings.
pub async fn bind(settings: &EntrySettings) -> eyre::Result<Listeners> {
    let addresses = settings.addresses;
    Ok(Listeners {
        callers: listen(addresses.callers, "addresses.callers").await?,
        operators: listen(addresses.operators, "addresses.operators").await?,
        peers: listen(addresses.peers, "addresses.peers").await?,
        datagrams: UdpSocket::bind(addresses.peers)
            .await
            .wrap_err_with(|| bind_error(addresses.peers, "addresses.peers"))?,
    })
}

async fn listen(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| bind_error(address, field))
}

fn bind_error(address: SocketAddr, field: &str) -> String {
    format!("cannot listen on {address}; free it or change `{field}` in the settings")
}

/// Starts the tasks that serve all sockets.
pub fn start(
    daemon: &Rc<Daemon>,
    listeners: Listeners,
    outgoing: Receiver<(SocketAddr, Vec<u8>)>,
) -> RunningServers {
    daemon.spawn(peers::accept(daemon.clone(), listeners.peers));
    let socket = Rc::new(listeners.datagrams);
    daemon.spawn(receive_datagrams(daemon.clone(), socket.clone()));
    daemon.spawn(send_datagrams(socket, outgoing));
    let settings = daemon.settings();
    let control = Rc::new(EntryControl::new(daemon.clone()));
    let gateway = Rc::new(EntryGateway::new(daemon.clone()));
    let ports = Ports {
        callers: Rc::new(CallersPort::new(&settings, gateway)),
        operators: Rc::new(OperatorsPort::new(&settings.operators, control)),
    };
    let operators = start_operators(daemon, listeners.operators, ports.operators.clone());
    let (stop, task) = start_callers(daemon, listeners.callers, ports.callers.clone());
    RunningServers {
        stop,
        task,
        _operators: operators,
        ports,
    }
}

fn start_callers(
    daemon: &Rc<Daemon>,
    listener: TcpListener,
    port: Rc<CallersPort>,
) -> (Sender<()>, Task<()>) {
    let (stop, stop_requested) = async_channel::bounded(1);
    let settings = daemon.settings();
    let executor = daemon.executor.clone();
    let task = daemon.executor.spawn(async move {
        // The server retries after accept errors and returns only when `stop` is closed.
        let _ = callers::serve(listener, &settings.limits, port, executor, stop_requested).await;
    });
    (stop, task)
}

fn start_operators(
    daemon: &Rc<Daemon>,
    listener: TcpListener,
    port: Rc<OperatorsPort>,
) -> Sender<()> {
    let (stop, stop_requested) = async_channel::bounded(1);
    let executor = daemon.executor.clone();
    daemon.spawn(async move {
        let _ = operators::serve(listener, port, executor, stop_requested).await;
    });
    stop
}

async fn receive_datagrams(daemon: Rc<Daemon>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    let mut turn = Turn::default();
    loop {
        turn.proceed(0).await;
        let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else {
            smol::Timer::after(RECEIVE_PAUSE_MS).await;
            continue;
        };
        let decoded = Datagram::decode(&buffer[..bytes], &daemon.keys.borrow());
        match decoded {
            Ok(datagram) => {
                if let Datagram::Head { head, .. } = datagram {
                    let now = daemon.clock.now();
                    daemon.peer_heads.borrow_mut().insert(from, (head, now));
                }
                daemon.handle_event(Event::Datagram(datagram));
            }
            Err(error) => daemon.log_event(&LogEvent::DatagramRefused {
                detail: format!("{from}: {error}"),
            }),
        }
    }
}

async fn send_datagrams(socket: Rc<UdpSocket>, outgoing: Receiver<(SocketAddr, Vec<u8>)>) {
    while let Ok((to, bytes)) = outgoing.recv().await {
        // A lost datagram needs no retry; the next one is sent within a second.
        let _ = socket.send_to(&bytes, to).await;
    }
}
