//! Limits of the agent.

use std::time::Duration;

use types::HostName;
use types::Incarnation;
use types::Place;
use types::ServiceKind;
use types::ServiceName;
use types::TargetName;

/// Longest time between two `Tick` events.
pub const TICK_MS: Duration = Duration::from_millis(50);
/// Largest chunk in one frame; small enough that streams sharing a connection take turns.
pub const CHUNK_LIMIT_BYTES: u64 = 32 << 10;
/// A connection with an attempt but without a frame for this long is closed; entries ping it
/// every 500 ms.
pub const SILENCE_LIMIT_MS: Duration = Duration::from_secs(2);
/// The same for a connection without an attempt; entries ping it every minute.
pub const IDLE_LIMIT_MS: Duration = Duration::from_mins(3);
/// Time between two reads of the engine's load and cache events.
pub const LOAD_POLL_MS: Duration = Duration::from_millis(500);
/// Time between two reads of the engine's state.
pub const STATE_POLL_MS: Duration = Duration::from_secs(1);
/// Time between two reads of the engine's state while a change is under way.
pub const CHANGE_POLL_MS: Duration = Duration::from_millis(100);
/// Pause before a failed step of an order or a registration is tried again.
pub const RETRY_MS: Duration = Duration::from_millis(500);
/// Time for an entry to resume an idempotent attempt before it is given up.
pub const ORPHAN_LIMIT_MS: Duration = Duration::from_secs(10);
/// Time past its deadline after which a run is given up, so that a target that never answers
/// cannot block an order for ever.
pub const OVERRUN_LIMIT_MS: Duration = Duration::from_mins(1);
/// Time after the last answer in which a stopping agent waits for acknowledgements.
pub const LINGER_MS: Duration = Duration::from_secs(2);
/// Time for a stopping agent to give its row back while the table is down.
pub const RELEASE_LIMIT_MS: Duration = Duration::from_secs(10);

/// Identity and limits of one agent.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Target served.
    pub target: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Engine or plain service.
    pub kind: ServiceKind,
    /// Host of the target.
    pub host: HostName,
    /// Data centre of the host.
    pub place: Place,
    /// Address that entries connect to.
    pub address: std::net::SocketAddr,
    /// This run.
    pub incarnation: Incarnation,
    /// Wall-clock time at the first event, since the Unix epoch; for audit records only.
    pub started_wall_ms: Duration,
    /// The engine refuses an order with an old fencing number.
    pub honours_fencing: bool,
    /// Runs at the target at once.
    pub concurrency: usize,
    /// Attempts accepted but not started.
    pub queue: usize,
    /// Largest request body.
    pub body_limit_bytes: u64,
    /// Bodies of all attempts that have not started.
    pub bodies_limit_bytes: u64,
    /// Unacknowledged bytes of one answer before the agent stops reading it from the target.
    pub buffer_limit_bytes: usize,
    /// Longest answer of a non-idempotent attempt that is kept whole.
    pub kept_answer_limit_bytes: usize,
    /// Bytes of all finished answers kept for resumption.
    pub kept_total_limit_bytes: usize,
    /// Finished answers kept for resumption.
    pub kept_count_limit: usize,
    /// Time that the finished answer of an idempotent attempt is kept.
    pub kept_idempotent_ms: Duration,
    /// Time that the finished answer of a non-idempotent attempt is kept.
    pub kept_ms: Duration,
    /// Non-idempotent attempts remembered one by one.
    pub memory_limit: usize,
    /// Time between two reads of the order row while no entries announce orders.
    pub order_poll_ms: Duration,
    /// The same while they do.
    pub order_backup_poll_ms: Duration,
    /// Time after which an order of an earlier run can no longer reach the engine.
    pub order_settle_ms: Duration,
    /// Time between the report that the target is leaving and the end of the process, so that
    /// entries stop sending before connections are refused.
    pub notice_ms: Duration,
}

impl Limits {
    /// Defaults for everything but the identity.
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
            place: String::new(),
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
            memory_limit: 65_536,
            order_poll_ms: Duration::from_secs(2),
            order_backup_poll_ms: Duration::from_secs(15),
            order_settle_ms: Duration::from_secs(10),
            notice_ms: Duration::from_secs(2),
        }
    }
}
