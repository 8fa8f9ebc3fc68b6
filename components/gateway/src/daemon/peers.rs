//! Messages between gateways: what each one has sent where.
//!
//! A message holds all work of its sender, so that a lost one is made good by the next, and the
//! readings since the last message. It is sent soon after something changed, and now and then
//! otherwise.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::net::UdpSocket;
use types::HostName;
use types::Incarnation;

use crate::core::ReadingNews;
use crate::daemon::Daemon;
use crate::deployment::NewsVersion;
use crate::deployment::PeerEntry;
use crate::fleet::Load;
use crate::fleet::PeerLoad;
use crate::fleet::TargetKey;
use crate::note::Note;
use crate::prefixes::PrefixHash;

/// Least time between two messages while something changes. Requests of other processes that come
/// within it are placed without regard to what was just sent.
const CHANGED_MS: Duration = Duration::from_millis(5);
/// The same for each peer, so that a process sends at most some 1,200 datagrams a second.
const CHANGED_PER_PEER_MS: Duration = Duration::from_micros(800);
/// Time after which a message is sent though nothing has changed.
const QUIET_MS: Duration = Duration::from_millis(500);
/// Largest message; it fits into one packet of a usual network.
const MESSAGE_LIMIT_BYTES: usize = 1_400;
/// Targets in one message, those with most to read first.
const LOADS_LIMIT: usize = 60;
/// Readings in one message.
const READINGS_LIMIT: usize = 12;
/// Format of messages; others are ignored.
const FORMAT: u8 = 2;

#[derive(Debug, Serialize, Deserialize)]
struct Message {
    format: u8,
    host: HostName,
    incarnation: Incarnation,
    /// Newest change of the deployment that the sender knows.
    known: NewsVersion,
    loads: Vec<TargetLoad>,
    readings: Vec<Reading>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct TargetLoad {
    key: TargetKey,
    reading_ms: u32,
    runs: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct Reading {
    key: TargetKey,
    tokens: u64,
    hashes: Vec<PrefixHash>,
}

/// Sends and receives until the process ends.
pub(super) async fn start(daemon: &Rc<Daemon>) -> eyre::Result<()> {
    let address = daemon.settings.peers;
    let socket = UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("cannot receive datagrams on {address}"))?;
    daemon.spawn(receive(daemon.clone(), socket.clone()));
    daemon.spawn(send(daemon.clone(), socket));
    Ok(())
}

async fn receive(daemon: Rc<Daemon>, socket: UdpSocket) {
    let mut bytes = [0; MESSAGE_LIMIT_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((count, sender)) => take(&daemon, &bytes[..count], sender),
            Err(error) => {
                let detail = error.to_string();
                daemon.note(Note::PeerIgnored { detail });
                Timer::after(CHANGED_MS).await;
            }
        }
    }
}

fn take(daemon: &Rc<Daemon>, bytes: &[u8], sender: SocketAddr) {
    let message = match postcard::from_bytes::<Message>(bytes) {
        Ok(message) if message.format == FORMAT => message,
        Ok(message) => {
            let detail = format!("{sender} speaks format {}", message.format);
            daemon.note(Note::PeerIgnored { detail });
            return;
        }
        Err(error) => {
            let detail = format!("{sender}: {error}");
            daemon.note(Note::PeerIgnored { detail });
            return;
        }
    };
    let mut core = daemon.core.borrow_mut();
    if message.incarnation == core.incarnation() {
        return;
    }
    daemon.deployment.peer_knows(message.known);
    daemon.meet(&message.host, sender);
    let loads = message.loads.iter().map(|load| PeerLoad {
        key: load.key,
        load: Load {
            reading_ms: f64::from(load.reading_ms),
            runs: f64::from(load.runs),
        },
    });
    let now = daemon.clock.now();
    core.fleet
        .peer_reported(now, &message.host, loads.collect());
    for reading in &message.readings {
        core.fleet
            .peer_reads(reading.key, &reading.hashes, reading.tokens);
    }
}

impl Daemon {
    /// Adds a process that started after the list of processes was read.
    fn meet(&self, host: &HostName, address: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        if peers.iter().any(|peer| peer.address == address) {
            return;
        }
        peers.retain(|peer| peer.host != *host);
        peers.push(PeerEntry {
            host: host.clone(),
            address,
        });
    }
}

async fn send(daemon: Rc<Daemon>, socket: UdpSocket) {
    let mut last_loads = Vec::new();
    let mut last_known = 0;
    let mut sent = daemon.clock.now();
    loop {
        let peers = daemon.peers.borrow().len();
        Timer::after(pause_ms(peers)).await;
        let loads = own_loads(&daemon);
        let news = daemon.core.borrow_mut().take_news();
        let known = daemon.deployment.known();
        let is_same = news.is_empty() && loads == last_loads && known == last_known;
        let now = daemon.clock.now();
        if is_same && now.saturating_duration_since(sent) < QUIET_MS {
            continue;
        }
        sent = now;
        for readings in chunks(news) {
            publish(&daemon, &socket, loads.clone(), readings).await;
        }
        last_loads = loads;
        last_known = known;
    }
}

fn pause_ms(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    CHANGED_MS.max(CHANGED_PER_PEER_MS.saturating_mul(peers))
}

fn chunks(news: Vec<ReadingNews>) -> Vec<Vec<Reading>> {
    let readings = news.into_iter().map(|news| Reading {
        key: news.key,
        tokens: news.tokens,
        hashes: news.hashes.into_vec(),
    });
    let mut chunks = vec![Vec::new()];
    for reading in readings {
        if chunks
            .last()
            .is_none_or(|last| last.len() == READINGS_LIMIT)
        {
            chunks.push(Vec::new());
        }
        if let Some(last) = chunks.last_mut() {
            last.push(reading);
        }
    }
    chunks
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // loads are small and positive
fn own_loads(daemon: &Daemon) -> Vec<TargetLoad> {
    let mut loads = daemon.core.borrow().fleet.own_loads();
    loads.sort_by(|a, b| b.load.reading_ms.total_cmp(&a.load.reading_ms));
    loads.truncate(LOADS_LIMIT);
    let loads = loads.iter().map(|own| TargetLoad {
        key: own.key,
        reading_ms: own.load.reading_ms.round() as u32,
        runs: own.load.runs.round() as u32,
    });
    loads.collect()
}

async fn publish(
    daemon: &Rc<Daemon>,
    socket: &UdpSocket,
    loads: Vec<TargetLoad>,
    readings: Vec<Reading>,
) {
    let message = Message {
        format: FORMAT,
        host: daemon.settings.host.clone(),
        incarnation: daemon.core.borrow().incarnation(),
        known: daemon.deployment.known(),
        loads,
        readings,
    };
    let bytes = match postcard::to_stdvec(&message) {
        Ok(bytes) if bytes.len() <= MESSAGE_LIMIT_BYTES => bytes,
        Ok(bytes) => {
            let detail = format!("own message of {} bytes is too long", bytes.len());
            daemon.note(Note::PeerIgnored { detail });
            return;
        }
        Err(error) => {
            let detail = format!("own message: {error}");
            daemon.note(Note::PeerIgnored { detail });
            return;
        }
    };
    let peers = daemon.peers.borrow().clone();
    for peer in peers {
        // A datagram that is lost here is like one that is lost on the way.
        let _ = socket.send_to(&bytes, peer.address).await;
    }
}
