//! Limits of the agent.

use std::time::Duration;

use types::DataCentre;
use types::HostName;
use types::Incarnation;
use types::ServiceKind;
use types::ServiceName;
use types::TargetName;

/// Maximum time between two `Tick` events.
pub const TICK_MS: Duration = Duration::from_millis(50);
/// Maximum size of a chunk; small enough for fair sharing of a connection between streams.
pub const CHUNK_LIMIT_BYTES: u64 = 32 << 10;
/// A connection with an unfinished attempt is closed after this time without a frame; entries ping
/// it every 500 ms.
pub const SILENCE_LIMIT_MS: Duration = Duration::from_secs(2);
/// A connection without an unfinished attempt is closed after this time without a frame; entries
/// ping it every minute.
pub const IDLE_LIMIT_MS: Duration = Duration::from_mins(3);
/// Poll interval of the engine's load and cache events.
pub const LOAD_POLL_MS: Duration = Duration::from_millis(500);
/// Poll interval of the engine's state.
pub const STATE_POLL_MS: Duration = Duration::from_secs(1);
/// Poll interval of the engine's state while a change is in progress.
pub const CHANGE_POLL_MS: Duration = Duration::from_millis(100);
/// Pause before a failed table call or step of an order is retried.
pub const RETRY_PAUSE_MS: Duration = Duration::from_millis(500);
/// Time after which an idempotent run without a reader is aborted.
pub const ORPHAN_LIMIT_MS: Duration = Duration::from_secs(10);
/// Time past its deadline after which a run is aborted, so that a target that never answers cannot
/// block orders indefinitely.
pub const OVERRUN_LIMIT_MS: Duration = Duration::from_mins(1);
/// Time that a stopping agent waits for acknowledgements after all answers are sent.
pub const ACKNOWLEDGE_LIMIT_MS: Duration = Duration::from_secs(2);
/// Time that a stopping agent tries to release its row while the table is unavailable.
pub const RELEASE_LIMIT_MS: Duration = Duration::from_secs(10);

/// Identity and limits of one agent.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Target that the agent serves.
    pub target: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Whether the target is a model engine or a plain service.
    pub kind: ServiceKind,
    /// Host of the agent and its target.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address at which entries reach the agent.
    pub address: std::net::SocketAddr,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Wall-clock time at the first event, since the Unix epoch; used for audit records only.
    pub started_wall_ms: Duration,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub honours_fencing: bool,
    /// Maximum number of concurrent runs at the target.
    pub concurrency: usize,
    /// Maximum number of waiting attempts, in addition to the free slots at the target.
    pub queue: usize,
    /// Maximum length of a request body.
    pub body_limit_bytes: u64,
    /// Maximum total length of the request bodies of waiting attempts.
    pub bodies_limit_bytes: u64,
    /// Bytes of one answer that may be unacknowledged before the agent stops reading from the
    /// target.
    pub buffer_limit_bytes: usize,
    /// Maximum length of a non-idempotent attempt's answer that is kept from its first byte.
    pub kept_answer_limit_bytes: usize,
    /// Maximum total length of the finished answers kept for resumption.
    pub kept_total_limit_bytes: usize,
    /// Maximum number of finished non-idempotent answers kept for resumption.
    pub kept_count_limit: usize,
    /// How long the finished answer of an idempotent attempt is kept.
    pub kept_idempotent_ms: Duration,
    /// How long the finished answer of a non-idempotent attempt is kept.
    pub kept_ms: Duration,
    /// Maximum number of non-idempotent attempts in the history.
    pub history_limit: usize,
    /// Poll interval of the order row while fewer than two entries send hints about orders.
    pub order_poll_ms: Duration,
    /// Poll interval of the order row while at least two entries send hints.
    pub order_backup_poll_ms: Duration,
    /// Time after which an order of a previous process, or one without a reply, can no longer reach
    /// the engine.
    pub order_settle_ms: Duration,
    /// Time between the report that the target is leaving and the end of the process. Entries stop
    /// sending before connections are refused.
    pub notice_ms: Duration,
}

impl Limits {
    /// Default limits, with empty service, host and data centre.
    #[must_use]
    pub fn new(
        target: impl Into<TargetName>,
        incarnation: Incarnation,
        address: std::net::SocketAddr,
    ) -> Self {
        Self {
            target: target.into(),
            service: String::new(),
            kind: ServiceKind::Model,
            host: String::new(),
            data_centre: String::new(),
            address,
            incarnation,
            started_wall_ms: Duration::ZERO,
            honours_fencing: true,
            concurrency: 32,
            queue: 32,
            body_limit_bytes: 64 << 20,
            bodies_limit_bytes: 256 << 20,
            buffer_limit_bytes: 256 << 10,
            kept_answer_limit_bytes: 1 << 20,
            kept_total_limit_bytes: 32 << 20,
            kept_count_limit: 16_384,
            kept_idempotent_ms: Duration::from_secs(10),
            kept_ms: Duration::from_mins(10),
            history_limit: 65_536,
            order_poll_ms: Duration::from_secs(2),
            order_backup_poll_ms: Duration::from_secs(15),
            order_settle_ms: Duration::from_secs(10),
            notice_ms: Duration::from_secs(2),
        }
    }
}
