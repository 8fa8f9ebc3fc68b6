//! TCP and UDP forwarder that can go silent, for tests of dead connections.
//!
//! Each link forwards both protocols from one loopback address to another. `POST /mode` on the
//! control address changes what passes. Silenced bytes are read and dropped, so neither end
//! sees an error.

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

use crate::answers;

const COPY_BYTES: usize = 64 << 10;
const DATAGRAM_BYTES: usize = 64 << 10;
const BODY_LIMIT_BYTES: u64 = 64 << 10;

/// Options of the forwarder.
#[derive(Debug, Clone, Bpaf)]
pub struct ForwarderOptions {
    /// Address of the control port
    #[bpaf(argument("ADDRESS"))]
    pub control: SocketAddr,
    /// Link as LISTEN=TARGET; may be repeated
    #[bpaf(argument("LINK"), some("name at least one link"))]
    pub link: Vec<Link>,
}

/// Pair of addresses.
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

/// What is silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// Nothing; connections that were silenced stay so.
    #[default]
    None,
    /// TCP connections that exist now, for good; new ones and datagrams pass.
    Existing,
    /// Everything, until the next command. Connections that lost bytes stay silent.
    All,
}

/// Direction that is silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both.
    #[default]
    Both,
    /// Only towards the target.
    ToTarget,
    /// Only from the target.
    FromTarget,
}

/// Body of `POST /mode`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mode {
    /// What is silent.
    pub silence: Silence,
    /// In which direction.
    pub direction: Direction,
    /// Number of the link, from 0; all links without one.
    pub link: Option<usize>,
}

#[derive(Default)]
struct Switch {
    mode: Cell<Mode>,
    opened: Cell<u64>,
    /// Connections up to this one are silent in the direction kept beside it.
    silenced: Cell<(u64, Direction)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    To,
    From,
}

impl Direction {
    fn covers(self, way: Way) -> bool {
        match self {
            Self::Both => true,
            Self::ToTarget => way == Way::To,
            Self::FromTarget => way == Way::From,
        }
    }
}

impl Switch {
    fn set(&self, mode: Mode) {
        if mode.silence == Silence::Existing {
            self.silenced.set((self.opened.get(), mode.direction));
        }
        self.mode.set(mode);
    }

    fn silences_datagram(&self, way: Way) -> bool {
        let mode = self.mode.get();
        mode.silence == Silence::All && mode.direction.covers(way)
    }

    fn silences(&self, connection: u64, way: Way) -> bool {
        let (last, direction) = self.silenced.get();
        (connection <= last && direction.covers(way)) || self.silences_datagram(way)
    }
}

struct Forwarder {
    switches: Vec<Rc<Switch>>,
}

/// Serves on this thread until the process ends.
///
/// # Errors
///
/// An address is taken.
pub fn run(options: &ForwarderOptions) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(serve(options, executor)))
}

/// Serves on an executor.
///
/// # Errors
///
/// An address is taken.
pub async fn serve(
    options: &ForwarderOptions,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let mut switches = Vec::new();
    for link in &options.link {
        let switch = Rc::new(Switch::default());
        let listener = TcpListener::bind(link.listen).await?;
        let socket = UdpSocket::bind(link.listen).await?;
        executor
            .spawn(accept(
                listener,
                link.target,
                switch.clone(),
                executor.clone(),
            ))
            .detach();
        executor
            .spawn(forward_datagrams(
                socket,
                link.target,
                switch.clone(),
                executor.clone(),
            ))
            .detach();
        switches.push(switch);
    }
    let control = TcpListener::bind(options.control).await?;
    answers::serve(control, Rc::new(Forwarder { switches }), executor).await
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
                    for (number, switch) in self.switches.iter().enumerate() {
                        if mode.link.is_none_or(|link| link == number) {
                            switch.set(mode);
                        }
                    }
                    answers::send(exchange, 200, &mode).await;
                }
                _ => answers::send(exchange, 400, &json!({"error": "post a mode to /mode"})).await,
            }
        })
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    switch: Rc<Switch>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let number = switch.opened.get() + 1;
        switch.opened.set(number);
        executor
            .spawn(connect(near, target, number, switch.clone()))
            .detach();
    }
}

async fn connect(near: TcpStream, target: SocketAddr, number: u64, switch: Rc<Switch>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let to = copy(near.clone(), far.clone(), number, &switch, Way::To);
    let from = copy(far, near, number, &switch, Way::From);
    let _ = to.or(from).await;
}

/// Copies until one end closes. A connection that lost a byte never passes another one: the
/// bytes after a gap would be taken for those that are missing.
async fn copy(
    mut source: TcpStream,
    mut sink: TcpStream,
    number: u64,
    switch: &Switch,
    way: Way,
) -> io::Result<()> {
    let mut buffer = vec![0; COPY_BYTES];
    let mut is_silent = false;
    loop {
        let count = source.read(&mut buffer).await?;
        is_silent |= switch.silences(number, way);
        if count == 0 && is_silent {
            // The end of a silent connection is as silent as its bytes.
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
    switch: Rc<Switch>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut senders: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if switch.silences_datagram(Way::To) {
            continue;
        }
        let sender = match senders.entry(from) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(place) => {
                let Ok(sender) = UdpSocket::bind((target.ip(), 0)).await else {
                    continue;
                };
                let back = return_datagrams(sender.clone(), socket.clone(), from, switch.clone());
                executor.spawn(back).detach();
                place.insert(sender)
            }
        };
        // An unreachable target loses the datagram, as a network does.
        let _ = sender.send_to(&buffer[..count], target).await;
    }
}

async fn return_datagrams(
    sender: UdpSocket,
    socket: UdpSocket,
    to: SocketAddr,
    switch: Rc<Switch>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((count, _)) = sender.recv_from(&mut buffer).await else {
            continue;
        };
        if !switch.silences_datagram(Way::From) {
            let _ = socket.send_to(&buffer[..count], to).await;
        }
    }
}
