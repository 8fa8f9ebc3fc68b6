//! Sockets that the daemon listens on.

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
use wire::Datagram;

use crate::core::Event;
use crate::core::Note;
use crate::daemon::Daemon;
use crate::daemon::gateway::EntryGateway;
use crate::daemon::operator::EntryControl;
use crate::daemon::peers;

/// Pause after a failed receive, so that an error that stays does not take the whole core.
const RECEIVE_PAUSE_MS: Duration = Duration::from_millis(10);
/// Larger than any datagram, so that a longer one is noticed and not cut.
const RECEIVE_BYTES: usize = 2048;

/// Bound sockets.
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

/// Callers' side while it serves.
pub struct Callers {
    stop: Sender<()>,
    task: Task<()>,
    /// The operators' port serves until this is dropped.
    _operators: Sender<()>,
    /// Ports whose limits and tokens can be changed.
    pub ports: Ports,
}

/// Ports for callers and operators.
#[derive(Clone)]
pub struct Ports {
    /// Callers' port.
    pub callers: Rc<CallersPort>,
    /// Operators' port.
    pub operators: Rc<OperatorsPort>,
}

impl Callers {
    /// Accepts nothing more and waits for the requests in flight.
    pub async fn finish(self) {
        self.stop.close();
        self.task.await;
    }
}

/// Binds all addresses.
pub async fn bind(settings: &EntrySettings) -> eyre::Result<Listeners> {
    let addresses = settings.addresses;
    Ok(Listeners {
        callers: listen(addresses.callers, "addresses.callers").await?,
        operators: listen(addresses.operators, "addresses.operators").await?,
        peers: listen(addresses.peers, "addresses.peers").await?,
        datagrams: UdpSocket::bind(addresses.peers)
            .await
            .wrap_err_with(|| taken(addresses.peers, "addresses.peers"))?,
    })
}

async fn listen(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| taken(address, field))
}

fn taken(address: SocketAddr, field: &str) -> String {
    format!("cannot listen on {address}; free it or change `{field}` in the settings")
}

/// Starts to serve on all sockets.
pub fn start(
    daemon: &Rc<Daemon>,
    listeners: Listeners,
    outgoing: Receiver<(SocketAddr, Vec<u8>)>,
) -> Callers {
    daemon.spawn(peers::accept(daemon.clone(), listeners.peers));
    let socket = Rc::new(listeners.datagrams);
    daemon.spawn(receive(daemon.clone(), socket.clone()));
    daemon.spawn(send(socket, outgoing));
    let settings = daemon.settings();
    let control = Rc::new(EntryControl::new(daemon.clone()));
    let gateway = Rc::new(EntryGateway::new(daemon.clone()));
    let ports = Ports {
        callers: Rc::new(CallersPort::new(&settings, gateway)),
        operators: Rc::new(OperatorsPort::new(&settings.operators, control)),
    };
    let operators = start_operators(daemon, listeners.operators, ports.operators.clone());
    let (stop, task) = start_callers(daemon, listeners.callers, ports.callers.clone());
    Callers {
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
    let (stop, stopped) = async_channel::bounded(1);
    let settings = daemon.settings();
    let executor = daemon.executor.clone();
    let task = daemon.executor.spawn(async move {
        // The server waits out accept errors and ends only when told to.
        let _ = callers::serve(listener, &settings.limits, port, executor, stopped).await;
    });
    (stop, task)
}

fn start_operators(
    daemon: &Rc<Daemon>,
    listener: TcpListener,
    port: Rc<OperatorsPort>,
) -> Sender<()> {
    let (stop, stopped) = async_channel::bounded(1);
    let executor = daemon.executor.clone();
    daemon.spawn(async move {
        let _ = operators::serve(listener, port, executor, stopped).await;
    });
    stop
}

async fn receive(daemon: Rc<Daemon>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; RECEIVE_BYTES];
    loop {
        let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else {
            smol::Timer::after(RECEIVE_PAUSE_MS).await;
            continue;
        };
        let decoded = Datagram::decode(&buffer[..bytes], &daemon.keys.borrow());
        match decoded {
            Ok(datagram) => {
                if let Datagram::Head { head, .. } = datagram {
                    let now = daemon.clock.now();
                    daemon.heads.borrow_mut().insert(from, (head, now));
                }
                daemon.feed(Event::Datagram(datagram));
            }
            Err(error) => daemon.note(&Note::DatagramRefused {
                detail: format!("{from}: {error}"),
            }),
        }
    }
}

async fn send(socket: Rc<UdpSocket>, outgoing: Receiver<(SocketAddr, Vec<u8>)>) {
    while let Ok((to, bytes)) = outgoing.recv().await {
        // Datagrams may be lost anywhere; the next one is due within a second.
        let _ = socket.send_to(&bytes, to).await;
    }
}
