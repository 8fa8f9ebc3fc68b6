//! TCP and UDP forwarder that can drop traffic silently, for tests of dead connections.
//!
//! Each link forwards both protocols from one loopback address to another. `POST /mode` on the
//! control address sets which traffic is dropped. Dropped bytes are read and discarded, so neither
//! end sees an error.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;

use bpaf::Bpaf;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::net::UdpSocket;

use crate::responses;

const COPY_BYTES: usize = 64 << 10;
const DATAGRAM_BYTES: usize = 64 << 10;
const BODY_LIMIT_BYTES: u64 = 64 << 10;

/// Options of the forwarder.
#[derive(Debug, Clone, Bpaf)]
pub struct ForwarderOptions {
    /// Address of the control API
    #[bpaf(argument("ADDRESS"))]
    pub control: SocketAddr,
    /// Link as LISTEN=TARGET; may be repeated
    #[bpaf(argument("LINK"), some("at least one link is required"))]
    pub link: Vec<Link>,
}

/// Forwarding rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
}

impl FromStr for Link {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parsed = text.split_once('=').and_then(|(listen, target)| {
            Some(Self {
                listen: listen.parse().ok()?,
                target: target.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| {
            format!("`{text}` is not LISTEN=TARGET, for example 127.0.0.1:1=127.0.0.1:2")
        })
    }
}

/// Which traffic is dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// None, except on connections that have already lost bytes.
    #[default]
    None,
    /// TCP connections open at the time of the command, until they are closed. New connections
    /// and datagrams are forwarded.
    Existing,
    /// All traffic, until the next command. Connections that lose bytes stay silent.
    All,
}

/// Direction in which traffic is dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}

/// Body of `POST /mode`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mode {
    /// Which traffic is dropped.
    pub silence: Silence,
    /// Direction in which it is dropped.
    pub direction: Direction,
    /// Index of the link, from 0; all links if absent.
    pub link: Option<usize>,
}

#[derive(Default)]
struct LinkState {
    mode: Cell<Mode>,
    connection_count: Cell<u64>,
    /// Highest number of a silenced connection, and the direction in which those are silent.
    silenced: Cell<(u64, Direction)>,
}

/// Direction of one copy loop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    ToTarget,
    FromTarget,
}

impl Direction {
    fn includes(self, flow: Flow) -> bool {
        match self {
            Self::Both => true,
            Self::ToTarget => flow == Flow::ToTarget,
            Self::FromTarget => flow == Flow::FromTarget,
        }
    }
}

impl LinkState {
    fn set(&self, mode: Mode) {
        if mode.silence == Silence::Existing {
            self.silenced
                .set((self.connection_count.get(), mode.direction));
        }
        self.mode.set(mode);
    }

    fn drops_datagram(&self, flow: Flow) -> bool {
        let mode = self.mode.get();
        mode.silence == Silence::All && mode.direction.includes(flow)
    }

    fn drops(&self, connection: u64, flow: Flow) -> bool {
        let (last, direction) = self.silenced.get();
        (connection <= last && direction.includes(flow)) || self.drops_datagram(flow)
    }
}

struct Forwarder {
    links: Vec<Rc<LinkState>>,
}

/// Serves on the current thread until the process ends.
///
/// # Errors
///
/// An address is already in use.
pub fn run(options: &ForwarderOptions) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(serve(options, executor)))
}

/// Serves on an executor.
///
/// # Errors
///
/// An address is already in use.
pub async fn serve(
    options: &ForwarderOptions,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let mut links = Vec::new();
    for link in &options.link {
        let state = Rc::new(LinkState::default());
        let listener = TcpListener::bind(link.listen).await?;
        let socket = UdpSocket::bind(link.listen).await?;
        executor
            .spawn(accept(
                listener,
                link.target,
                state.clone(),
                executor.clone(),
            ))
            .detach();
        executor
            .spawn(forward_datagrams(
                socket,
                link.target,
                state.clone(),
                executor.clone(),
            ))
            .detach();
        links.push(state);
    }
    let control = TcpListener::bind(options.control).await?;
    responses::serve(control, Rc::new(Forwarder { links }), executor).await
}

impl Handler for Forwarder {
    fn admit(&self, _head: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            let mode = serde_json::from_slice::<Mode>(&request.body);
            match (request.head.url().path(), mode) {
                ("/mode", Ok(mode)) => {
                    for (index, state) in self.links.iter().enumerate() {
                        if mode.link.is_none_or(|link| link == index) {
                            state.set(mode);
                        }
                    }
                    responses::send(exchange, 200, &mode).await;
                }
                _ => responses::send(exchange, 400, &json!({"error": "wrong path or mode"})).await,
            }
        })
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Rc<LinkState>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let number = state.connection_count.get() + 1;
        state.connection_count.set(number);
        executor
            .spawn(connect(client, target, number, state.clone()))
            .detach();
    }
}

async fn connect(client: TcpStream, target: SocketAddr, number: u64, state: Rc<LinkState>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let to_target = copy_until_closed(
        client.clone(),
        upstream.clone(),
        number,
        &state,
        Flow::ToTarget,
    );
    let from_target = copy_until_closed(upstream, client, number, &state, Flow::FromTarget);
    let _ = to_target.or(from_target).await;
}

/// Copies bytes in one direction until the source closes. Once a byte has been dropped, nothing
/// more is forwarded, because the receiver would take later bytes for the missing ones.
async fn copy_until_closed(
    mut source: TcpStream,
    mut sink: TcpStream,
    number: u64,
    state: &LinkState,
    flow: Flow,
) -> io::Result<()> {
    let mut buffer = vec![0; COPY_BYTES];
    let mut is_silent = false;
    loop {
        let count = source.read(&mut buffer).await?;
        is_silent |= state.drops(number, flow);
        if count == 0 && is_silent {
            // A silent connection does not forward the end of the stream either.
            return std::future::pending().await;
        }
        if count == 0 {
            return Ok(());
        }
        if !is_silent {
            sink.write_all(&buffer[..count]).await?;
        }
    }
}

async fn forward_datagrams(
    socket: UdpSocket,
    target: SocketAddr,
    state: Rc<LinkState>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut sockets_by_client: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if state.drops_datagram(Flow::ToTarget) {
            continue;
        }
        let sender = match sockets_by_client.entry(from) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let Ok(sender) = UdpSocket::bind((target.ip(), 0)).await else {
                    continue;
                };
                let replies = return_datagrams(sender.clone(), socket.clone(), from, state.clone());
                executor.spawn(replies).detach();
                entry.insert(sender)
            }
        };
        // Errors are ignored: an unreachable target loses datagrams, as a network does.
        let _ = sender.send_to(&buffer[..count], target).await;
    }
}

async fn return_datagrams(
    sender: UdpSocket,
    socket: UdpSocket,
    to: SocketAddr,
    state: Rc<LinkState>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((count, _)) = sender.recv_from(&mut buffer).await else {
            continue;
        };
        if !state.drops_datagram(Flow::FromTarget) {
            let _ = socket.send_to(&buffer[..count], to).await;
        }
    }
}
