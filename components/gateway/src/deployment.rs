//! What the platform tells about the deployment: configuration, targets and peers.
//!
//! An adapter decodes the platform's messages into these types and sends them as [`Notice`]s.
//! What is believed of a target after conflicting or missing notices is decided in
//! [`crate::fleet`], not here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;
use types::HostName;
use types::Place;
use types::Role;
use types::ServiceName;
use types::TargetName;

/// Version of the whole configuration.
pub type ConfigurationVersion = u64;
/// Version of the newest change that a process knows; one counter for all changes.
pub type NewsVersion = u64;
/// Route, unique within a configuration.
pub type RouteName = String;

/// Everything that operators configure, in one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Grows with every change, in uneven steps.
    pub version: ConfigurationVersion,
    /// Routes in the operators' order.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceFacts>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    Once,
    /// It may run once at most, but its stream may go on at another target.
    Resumable,
}

/// Share of a route that a service gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Service.
    pub service: ServiceName,
    /// Relative weight.
    pub weight: u32,
}

/// Rule for requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Value of the `Host` field.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Services that requests go to; one without a split.
    pub split: SmallVec<[Split; 2]>,
    /// Whether and how it may be repeated.
    pub repeat: Repeat,
    /// Longest time until the final answer.
    pub timeout_ms: Duration,
    /// Time to the first byte within which an answer is on time.
    pub aim_ms: Duration,
    /// Time without an event after which callers give a stream up, also before its first event.
    pub silence_limit_ms: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets that may run one request, one after the other.
    pub attempt_limit: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceFacts {
    /// Facts of model engines; `None` for plain services.
    pub engine: Option<EngineFacts>,
}

/// What all engines of a model service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFacts {
    /// Requests in a batch.
    pub slots: u32,
    /// Memory for prompts and answers.
    pub memory_tokens: u64,
    /// Size of the memory of one token.
    pub token_bytes: u64,
    /// Bandwidth between engines, in bits.
    pub link_bits_per_s: f64,
}

/// Bounds on callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head.
    pub head_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Longest time from the first to the last byte of a head.
    pub head_ms: Duration,
    /// Longest time between two requests of a connection.
    pub idle_ms: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: Duration::from_secs(3),
            idle_ms: Duration::from_secs(15),
        }
    }
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name, unique within the deployment.
    pub name: TargetName,
    /// Time of its start; another value under the same name is another process.
    pub born_ms: u64,
    /// Service that it serves.
    pub service: ServiceName,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Place,
    /// Requests that it serves at once.
    pub slots: u32,
    /// It finishes what it has and takes nothing new.
    pub is_leaving: bool,
    /// Part of the work that an engine does.
    pub role: Role,
}

/// Another process of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Host.
    pub host: HostName,
    /// Where its datagrams are received.
    pub address: SocketAddr,
}

/// News from the platform.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A version of the configuration.
    Configuration(Rc<Configuration>),
    /// A target's entry was written.
    TargetWritten(TargetEntry),
    /// A target's entry was removed, or cannot be read any more.
    TargetRemoved(TargetName),
    /// All entries of targets at one moment.
    AllTargets(Vec<TargetEntry>),
    /// All other processes of the system.
    Peers(Vec<PeerEntry>),
    /// A row that was ignored, and why.
    Unreadable {
        /// Table and key.
        row: String,
        /// Cause.
        detail: String,
    },
    /// The store does not answer, or refuses.
    StoreLost {
        /// Cause.
        detail: String,
    },
    /// The store answers again.
    StoreBack,
}

/// Source of notices.
pub trait Deployment {
    /// Follows the platform until the process ends. `sink` takes every notice.
    fn follow(
        self: Rc<Self>,
        sink: Rc<dyn Fn(Notice)>,
    ) -> std::pin::Pin<Box<dyn Future<Output = ()>>>;

    /// Newest change that is known here; 0 before the first.
    fn known(&self) -> NewsVersion;

    /// A peer knows the changes up to `version`.
    fn peer_knows(&self, version: NewsVersion);

    /// Whether to look for changes so often that a platform which fell silent is noticed at once.
    /// Other processes rely on what their peers know.
    fn watch(&self, is_watching: bool);
}
