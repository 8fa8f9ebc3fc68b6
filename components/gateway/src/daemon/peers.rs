//! Datagrams between gateway processes that report the load each one puts on the targets.
//!
//! A message holds the sender's whole load, so that the next message makes up for a lost one, the
//! prefills since the last message, and the targets that have not taken calls since then. It is
//! sent soon after a change, and at a fixed interval otherwise. Notices about prompt parts that
//! crash engines, and about limits on requests, are messages of their own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use builds::StreamKey;
use eyre::WrapErr;
use quarantine::Notice;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use smol::Timer;
use smol::net::UdpSocket;
use types::HostName;
use types::Incarnation;
use types::Turn;

use crate::core::Core;
use crate::core::PrefillReport;
use crate::daemon::Daemon;
use crate::deployment::ChangeVersion;
use crate::deployment::ConfigurationVersion;
use crate::deployment::PeerEntry;
use crate::fleet::Load;
use crate::fleet::PeerLoad;
use crate::fleet::TargetKey;
use crate::log_event::LogEvent;
use crate::prefixes::PrefixHash;

/// Minimum time between two messages. Within it, peers place requests without knowing of the calls
/// that this process has just made.
const MIN_SEND_INTERVAL_MS: Duration = Duration::from_millis(5);
/// Minimum time between two messages for each peer; bounds a process to about 1,200 datagrams a
/// second.
const SEND_INTERVAL_PER_PEER_MS: Duration = Duration::from_micros(800);
/// Interval of messages while nothing changes.
const HEARTBEAT_MS: Duration = Duration::from_millis(500);
/// Maximum size of a message; fits into one packet at the usual MTU.
const MESSAGE_LIMIT_BYTES: usize = 1_400;
/// Maximum number of targets in one message; those with the most queued prefill time go first.
const LOADS_LIMIT: usize = 54;
/// Maximum number of prefills in one message.
const PREFILLS_LIMIT: usize = 12;
/// Maximum number of unreachable targets in one message.
const UNREACHABLE_LIMIT: usize = 8;
/// Maximum number of leaving targets in one message.
const LEAVING_LIMIT: usize = 64;
/// Format version of messages; messages of other versions are ignored.
const FORMAT: u8 = 6;

#[derive(Debug, Serialize, Deserialize)]
struct Message {
    format: u8,
    host: HostName,
    incarnation: Incarnation,
    content: Content,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Content {
    Load(LoadMessage),
    Parts(Notice),
    Limits(limits::Notice),
    Configuration(ConfigurationNotice),
    /// Targets that have said in answers to the sender that they leave.
    Leaving(Vec<TargetKey>),
    /// Where streams began.
    Origins(Vec<builds::Notice>),
    /// Asks where a stream began.
    OriginQuestion(StreamKey),
}

/// Message for single peers.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) to: SmallVec<[SocketAddr; 4]>,
    pub(super) content: Content,
}

/// A check of the configuration in the store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct ConfigurationNotice {
    /// Version that the sender has in force.
    version: Option<ConfigurationVersion>,
    /// Age of the sender's view of the configuration.
    view_age_ms: Option<u32>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LoadMessage {
    /// Version of the newest change in the store that the sender has applied.
    known: ChangeVersion,
    /// Configuration that the sender has in force.
    configuration: Option<ConfigurationVersion>,
    /// Age of the sender's view of the configuration.
    view_age_ms: Option<u32>,
    loads: Vec<TargetLoad>,
    #[serde(rename = "readings")]
    prefills: Vec<Prefill>,
    unreachable: Vec<TargetKey>,
}

/// What happened at the targets since the last message.
#[derive(Debug, Default)]
struct Changes {
    prefills: Vec<Prefill>,
    unreachable: Vec<TargetKey>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct TargetLoad {
    key: TargetKey,
    #[serde(rename = "reading_ms")]
    prefill_ms: u32,
    runs: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct Prefill {
    key: TargetKey,
    tokens: u64,
    hashes: Vec<PrefixHash>,
}

/// Sends and receives messages until the process ends.
pub(super) async fn start(daemon: &Rc<Daemon>) -> eyre::Result<()> {
    let address = daemon.settings.peers;
    let socket = UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("cannot receive datagrams on {address}"))?;
    daemon.spawn(receive(daemon.clone(), socket.clone()));
    daemon.spawn(send_checks(daemon.clone(), socket.clone()));
    daemon.spawn(send_outbox(daemon.clone(), socket.clone()));
    daemon.spawn(send(daemon.clone(), socket));
    Ok(())
}

async fn receive(daemon: Rc<Daemon>, socket: UdpSocket) {
    let mut bytes = [0; MESSAGE_LIMIT_BYTES];
    let mut turn = Turn::default();
    loop {
        turn.proceed(0).await;
        match socket.recv_from(&mut bytes).await {
            Ok((count, sender)) => handle_message(&daemon, &bytes[..count], sender),
            Err(error) => {
                let detail = error.to_string();
                daemon.log_event(LogEvent::PeerMessageIgnored { detail });
                Timer::after(MIN_SEND_INTERVAL_MS).await;
            }
        }
    }
}

fn handle_message(daemon: &Rc<Daemon>, bytes: &[u8], sender: SocketAddr) {
    let message = match postcard::from_bytes::<Message>(bytes) {
        Ok(message) if message.format == FORMAT => message,
        Ok(message) => {
            let detail = format!(
                "message from {sender} has format {}, not {FORMAT}",
                message.format
            );
            daemon.log_event(LogEvent::PeerMessageIgnored { detail });
            return;
        }
        Err(error) => {
            let detail = format!("message from {sender}: {error}");
            daemon.log_event(LogEvent::PeerMessageIgnored { detail });
            return;
        }
    };
    let mut core = daemon.core.borrow_mut();
    if message.incarnation == core.incarnation() {
        return;
    }
    daemon.add_peer(&message.host, sender);
    let is_new_run = daemon.record_incarnation(&message.host, message.incarnation);
    let now = daemon.clock.now();
    match message.content {
        Content::Load(load) => apply_load(daemon, &mut core, now, &message.host, load),
        Content::Parts(notice) => core.receive_part_notice(now, &message.host, notice),
        Content::Limits(notice) => core.receive_limit_notice(now, message.incarnation, &notice),
        Content::Configuration(notice) => {
            let age = notice
                .view_age_ms
                .map(|age| Duration::from_millis(age.into()));
            core.record_peer_configuration(now, &message.host, notice.version, age);
        }
        Content::Leaving(targets) => {
            for key in targets {
                core.peer_reports_leaving(now, key);
            }
        }
        Content::Origins(notices) => {
            for notice in notices {
                core.receive_origin(now, notice);
            }
        }
        Content::OriginQuestion(key) => {
            let origin = core.origin(now, key).cloned();
            daemon.answer_origin_question(sender, key, origin);
        }
    }
    drop(core);
    daemon.process_core_output();
    if is_new_run {
        daemon.send_held_origins(&message.host, sender);
    }
}

fn apply_load(
    daemon: &Daemon,
    core: &mut Core,
    now: Instant,
    host: &HostName,
    message: LoadMessage,
) {
    daemon.deployment.set_peer_version(message.known);
    let age = message
        .view_age_ms
        .map(|age| Duration::from_millis(age.into()));
    core.record_peer_configuration(now, host, message.configuration, age);
    let loads = message.loads.iter().map(|load| PeerLoad {
        key: load.key,
        load: Load {
            prefill_ms: f64::from(load.prefill_ms),
            runs: f64::from(load.runs),
        },
    });
    core.fleet.replace_peer_load(now, host, loads.collect());
    for prefill in &message.prefills {
        core.fleet
            .record_peer_prefill(prefill.key, &prefill.hashes, prefill.tokens);
    }
    for key in message.unreachable {
        core.peer_reports_unreachable(now, key);
    }
}

impl Daemon {
    /// Adds a peer that started after the list of peers was read.
    fn add_peer(&self, host: &HostName, address: SocketAddr) {
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
    let mut last_known_version = ChangeVersion::default();
    let mut sent = daemon.clock.now();
    loop {
        let peers = daemon.peers.borrow().len();
        Timer::after(send_interval_ms(peers)).await;
        let now = daemon.clock.now();
        let notices = daemon.core.borrow_mut().take_part_notices(now);
        for notice in notices {
            broadcast(&daemon, &socket, Content::Parts(notice)).await;
        }
        let notices = daemon.core.borrow_mut().take_limit_notices(now);
        for notice in notices {
            broadcast(&daemon, &socket, Content::Limits(notice)).await;
        }
        let leaving = daemon.core.borrow_mut().take_leaving_reports();
        for targets in leaving.chunks(LEAVING_LIMIT) {
            broadcast(&daemon, &socket, Content::Leaving(targets.to_vec())).await;
        }
        let loads = own_loads(&daemon);
        let (prefill_reports, unreachable) = {
            let mut core = daemon.core.borrow_mut();
            (core.take_prefill_reports(), core.take_unreachable_reports())
        };
        let known_version = daemon.deployment.known_version();
        let notice = configuration_notice(&daemon);
        let is_unchanged = prefill_reports.is_empty()
            && unreachable.is_empty()
            && loads == last_loads
            && known_version == last_known_version;
        let now = daemon.clock.now();
        if is_unchanged && now.saturating_duration_since(sent) < HEARTBEAT_MS {
            continue;
        }
        sent = now;
        for changes in split_reports(prefill_reports, &unreachable) {
            let message = LoadMessage {
                known: known_version,
                configuration: notice.version,
                view_age_ms: notice.view_age_ms,
                loads: loads.clone(),
                prefills: changes.prefills,
                unreachable: changes.unreachable,
            };
            broadcast(&daemon, &socket, Content::Load(message)).await;
        }
        last_loads = loads;
        last_known_version = known_version;
    }
}

/// What this process tells its peers of its configuration.
fn configuration_notice(daemon: &Daemon) -> ConfigurationNotice {
    let core = daemon.core.borrow();
    let age = core.configuration_age(daemon.clock.now());
    ConfigurationNotice {
        version: core.configuration().map(|current| current.version),
        view_age_ms: age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
    }
}

/// Tells the peers of each check of the configuration at once.
async fn send_checks(daemon: Rc<Daemon>, socket: UdpSocket) {
    while daemon.checked.1.recv().await.is_ok() {
        let notice = configuration_notice(&daemon);
        broadcast(&daemon, &socket, Content::Configuration(notice)).await;
    }
}

fn send_interval_ms(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    MIN_SEND_INTERVAL_MS.max(SEND_INTERVAL_PER_PEER_MS.saturating_mul(peers))
}

/// Distributes the reports over as many messages as they need; at least one.
fn split_reports(prefill_reports: Vec<PrefillReport>, unreachable: &[TargetKey]) -> Vec<Changes> {
    let count = prefill_reports
        .len()
        .div_ceil(PREFILLS_LIMIT)
        .max(unreachable.len().div_ceil(UNREACHABLE_LIMIT))
        .max(1);
    let mut prefills = prefill_reports.into_iter().map(|report| Prefill {
        key: report.key,
        tokens: report.tokens,
        hashes: report.hashes.into_vec(),
    });
    let mut unreachable = unreachable.chunks(UNREACHABLE_LIMIT);
    let messages = (0..count).map(|_| Changes {
        prefills: prefills.by_ref().take(PREFILLS_LIMIT).collect(),
        unreachable: unreachable.next().unwrap_or_default().to_vec(),
    });
    messages.collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // loads are small and positive
fn own_loads(daemon: &Daemon) -> Vec<TargetLoad> {
    let mut loads = daemon.core.borrow().fleet.own_loads();
    loads.sort_by(|a, b| b.load.prefill_ms.total_cmp(&a.load.prefill_ms));
    loads.truncate(LOADS_LIMIT);
    let loads = loads.iter().map(|own| TargetLoad {
        key: own.key,
        prefill_ms: own.load.prefill_ms.round() as u32,
        runs: own.load.runs.round() as u32,
    });
    loads.collect()
}

async fn send_outbox(daemon: Rc<Daemon>, socket: UdpSocket) {
    while let Ok(Outgoing { to, content }) = daemon.outbox.1.recv().await {
        send_to(&daemon, &socket, &to, content).await;
    }
}

async fn broadcast(daemon: &Rc<Daemon>, socket: &UdpSocket, content: Content) {
    let to: Vec<SocketAddr> = {
        let peers = daemon.peers.borrow();
        peers.iter().map(|peer| peer.address).collect()
    };
    send_to(daemon, socket, &to, content).await;
}

async fn send_to(daemon: &Rc<Daemon>, socket: &UdpSocket, to: &[SocketAddr], content: Content) {
    let message = Message {
        format: FORMAT,
        host: daemon.settings.host.clone(),
        incarnation: daemon.core.borrow().incarnation(),
        content,
    };
    let bytes = match postcard::to_stdvec(&message) {
        Ok(bytes) if bytes.len() <= MESSAGE_LIMIT_BYTES => bytes,
        Ok(bytes) => {
            let detail = format!(
                "own message of {} bytes exceeds the limit of {MESSAGE_LIMIT_BYTES}",
                bytes.len()
            );
            daemon.log_event(LogEvent::PeerMessageIgnored { detail });
            return;
        }
        Err(error) => {
            let detail = format!("cannot encode own message: {error}");
            daemon.log_event(LogEvent::PeerMessageIgnored { detail });
            return;
        }
    };
    let mut turn = Turn::default();
    for address in to {
        turn.proceed(bytes.len()).await;
        // A failure to send is handled like a lost datagram.
        let _ = socket.send_to(&bytes, address).await;
    }
}
