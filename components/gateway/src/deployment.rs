//! Configuration, targets and peers of the deployment, as the platform reports them.
//!
//! An adapter decodes the platform's messages into these types and sends them as
//! [`DeploymentUpdate`]s.
//! [`crate::fleet`] decides on a target's state when notices are missing or contradict each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use builds::Build;
use quarantine::Record;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use types::DataCentre;
use types::HostName;
use types::Role;
use types::ServiceName;
use types::TargetName;

use crate::core::PartWrite;

/// Version of the whole configuration.
pub type ConfigurationVersion = u64;
/// Number of times that the store came back from an older copy.
pub type StoreEra = u64;

/// Version of the newest change in the store that a process has applied. One counter gives the
/// numbers for all rows; a store that comes back from a copy gives them out again in a new era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeVersion {
    /// Era of the store.
    pub era: StoreEra,
    /// Number within the era.
    pub number: u64,
}
/// Configuration as the platform encodes it.
pub type EncodedConfiguration = Rc<[u8]>;
/// Name of a route, unique within a configuration.
pub type RouteName = String;

/// Everything that operators configure, in one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Grows with every change, in uneven steps.
    pub version: ConfigurationVersion,
    /// Routes, in the order in which operators wrote them.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Limits on callers' connections and requests.
    pub limits: CallerLimits,
}

/// Retry policy of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Once,
    /// A request may run at most once, but its stream may be resumed on another target.
    Resumable,
}

/// Share of a route's requests that a service gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Service that gets the requests.
    pub service: ServiceName,
    /// Weight relative to the sum over the route.
    pub weight: u32,
}

/// Rule for requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, as logs and metrics show it.
    pub name: RouteName,
    /// Value of the `Host` field, without a port.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Services that requests are split over by weight; a single one if there is no split.
    pub split: SmallVec<[Split; 2]>,
    /// Whether and how a request may be retried.
    pub retry_policy: RetryPolicy,
    /// Longest time from arrival to the end of the answer.
    pub timeout_ms: Duration,
    /// Latency objective: time from arrival to the first byte.
    pub latency_objective_ms: Duration,
    /// Time without an event after which callers give up, also before the first event.
    pub event_timeout_ms: Duration,
    /// Priority at the engine; 0 is the highest.
    pub priority: u8,
    /// Maximum number of calls that may run one request, the first one included.
    pub attempt_limit: u32,
}

/// Properties of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Properties of the engines of a model service; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Properties that all engines of a model service share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache.
    pub kv_capacity_tokens: u64,
    /// Size of one token in the KV cache.
    pub kv_token_bytes: u64,
    /// Bandwidth of the link between two engines.
    pub link_bits_per_s: f64,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time from the first to the last byte of a head.
    pub head_ms: Duration,
    /// Longest time that a connection may be idle between two requests.
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

/// Entry that a target writes into the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name, unique within the deployment.
    pub name: TargetName,
    /// Start time of the process; another value under the same name means a restart.
    pub started_at_ms: u64,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// Data centre of its host.
    pub data_centre: DataCentre,
    /// Maximum number of requests that the target serves at once.
    pub slots: u32,
    /// Draining: the target finishes its requests and takes no new ones.
    pub is_draining: bool,
    /// Role of an engine: prefill, decode or both.
    pub role: Role,
    /// Build of the target's software; `None` if the entry does not name it.
    pub build: Option<Build>,
}

/// Another gateway process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Host that it runs on.
    pub host: HostName,
    /// Address on which it receives datagrams of peers.
    pub address: SocketAddr,
}

/// How a configuration reached this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// Read of the whole table in the store.
    Snapshot,
    /// Long poll of the store.
    Poll,
    /// Read of the store without a wait, because a peer had announced a newer version or the call
    /// before had failed.
    ImmediateRead,
    /// A peer.
    Peer,
}

impl ConfigurationSource {
    /// Name for logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Snapshot => "snapshot",
            Self::Poll => "poll",
            Self::ImmediateRead => "immediate-read",
            Self::Peer => "peer",
        }
    }
}

/// Update from the platform.
#[derive(Debug, Clone)]
pub enum DeploymentUpdate {
    /// The whole configuration was read.
    Configuration(Rc<Configuration>, ConfigurationSource),
    /// The store had no other configuration than those passed on before.
    ConfigurationChecked {
        /// Time since it was asked; the answer may have been on its way for long.
        age_ms: Duration,
    },
    /// A target's entry was written.
    TargetWritten(TargetEntry),
    /// A target's entry was removed or became unreadable.
    TargetRemoved(TargetName),
    /// Snapshot of all targets' entries.
    TargetSnapshot(Vec<TargetEntry>),
    /// Complete list of the other gateway processes.
    Peers(Vec<PeerEntry>),
    /// Stored records of quarantined parts of prompts.
    QuarantinedParts {
        /// The records.
        records: Vec<Record>,
        /// The records are all that are stored, and not only those that have changed.
        is_snapshot: bool,
    },
    /// A row could not be decoded and was ignored.
    RowIgnored {
        /// Table and key.
        row: String,
        /// Cause.
        detail: String,
    },
    /// The store became unavailable: it does not answer, or it refuses requests.
    StoreUnavailable {
        /// Cause.
        detail: String,
    },
    /// The store is available again.
    StoreAvailable,
    /// The store came back from an older copy some time before this process started.
    StoreRestoredBeforeStart {
        /// Era now.
        era: StoreEra,
    },
    /// The store came back from an older copy. Snapshots of all tables follow.
    StoreRestored {
        /// Era before.
        before: StoreEra,
        /// Era now.
        era: StoreEra,
    },
}

/// Source of updates about the deployment.
pub trait Deployment {
    /// Watches the platform until the process ends, and passes every update to `sink`.
    fn follow(
        self: Rc<Self>,
        sink: Rc<dyn Fn(DeploymentUpdate)>,
    ) -> Pin<Box<dyn Future<Output = ()>>>;

    /// Asks the store once for a configuration that was not read yet, on a new connection, and
    /// passes it to `sink` as [`Self::follow`] does. Returns whether the store answered.
    fn check_configuration<'a>(
        &'a self,
        sink: &'a dyn Fn(DeploymentUpdate),
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>>;

    /// Newest configuration as the platform encodes it, for peers; `None` before the first.
    fn encoded_configuration(&self) -> Option<EncodedConfiguration>;

    /// Decodes the configuration of a peer and passes it to `sink`.
    fn apply_peer_configuration(&self, bytes: &[u8], sink: &dyn Fn(DeploymentUpdate));

    /// Version of the newest change of a target's entry applied here; zero before the first.
    fn known_version(&self) -> ChangeVersion;

    /// Records that a peer has applied the changes up to `version`.
    fn set_peer_version(&self, version: ChangeVersion);

    /// Stores a change of the quarantined parts, and retries until it is stored or replaced.
    fn write_part(&self, write: PartWrite);

    /// Sets whether to poll often enough to detect at once that the platform has stopped answering.
    /// The other processes poll less often and rely on the versions that their peers report.
    fn set_frequent_polling(&self, is_enabled: bool);
}
