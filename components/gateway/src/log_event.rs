//! Events that are written to the log and counted in the metrics.

use builds::Build;
use limits::LimitChange;
use quarantine::PartChange;
use smallvec::SmallVec;
use types::ServiceName;
use types::TargetName;

use crate::core::RefusalCause;
use crate::deployment::ConfigurationSource;
use crate::deployment::ConfigurationVersion;
use crate::deployment::RouteName;
use crate::deployment::StoreEra;
use crate::fleet::TargetChange;
use crate::protocol::CallerRequestId;
use crate::protocol::Fingerprint;
use crate::protocol::PartId;

/// Event to log; [`crate::log`] assigns its code and text.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// The process listens for callers.
    Started {
        /// Random number that identifies this run of the process.
        incarnation: u64,
    },
    /// SIGTERM or SIGINT was received.
    Stopping {
        /// Requests not yet answered.
        in_flight: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests left unanswered at the end of the grace period.
        in_flight: usize,
    },
    /// The settings were checked after SIGHUP. A running process keeps those that it started with.
    SettingsReload {
        /// Why a process could not start with them; `None` if they are valid.
        error: Option<String>,
    },
    /// A new configuration is in force.
    ConfigurationApplied {
        /// Version now in force.
        version: ConfigurationVersion,
        /// Version that it replaced; `None` for the first one.
        before: Option<ConfigurationVersion>,
        /// Number of routes.
        routes: usize,
        /// How it reached this process.
        source: ConfigurationSource,
        /// Time since a peer was first known to have a newer version than the one before; `None`
        /// if none had announced one.
        behind_ms: Option<u64>,
    },
    /// Peers have a newer configuration than this process, for too long.
    ConfigurationBehind {
        /// Version in force here.
        in_force: Option<ConfigurationVersion>,
        /// Newest version that a peer has announced.
        newest: ConfigurationVersion,
        /// Time since it was announced.
        behind_ms: u64,
    },
    /// A configuration was ignored because it is older than the one in force.
    ConfigurationIgnored {
        /// Version that was ignored.
        version: ConfigurationVersion,
        /// Version that stays in force.
        in_force: ConfigurationVersion,
    },
    /// The state of a target changed.
    TargetChange {
        /// Name of the target.
        target: TargetName,
        /// What changed.
        change: TargetChange,
    },
    /// A row of the store could not be decoded and was ignored.
    RowIgnored {
        /// Table and key.
        row: String,
        /// Cause.
        detail: String,
    },
    /// The store became unavailable.
    StoreUnavailable {
        /// Cause.
        detail: String,
    },
    /// The store is available again.
    StoreAvailable,
    /// The store came back from an older copy.
    StoreRestored {
        /// Era before.
        before: StoreEra,
        /// Era now.
        era: StoreEra,
    },
    /// A message between peers was not sent or not accepted.
    PeerMessageIgnored {
        /// Cause.
        detail: String,
    },
    /// A part of prompts became suspect, quarantined or free again.
    PartChange(PartChange),
    /// A target named a limit on its requests, changed it or ended it.
    LimitChange {
        /// Name of the target.
        target: TargetName,
        /// Limit before and now.
        change: LimitChange,
    },
    /// A timer was late, as other tasks kept the thread or the process did not run.
    TasksDelayed {
        /// By how much.
        delay_ms: u64,
    },
    /// A target refused a request and asked for a pause. It ends by itself.
    PauseBegun {
        /// Name of the target.
        target: TargetName,
        /// Length of the pause.
        pause_ms: u64,
    },
    /// A request was routed.
    RequestRouted {
        /// Request id.
        request: CallerRequestId,
        /// Name of the route.
        route: RouteName,
        /// Name of the service.
        service: ServiceName,
        /// Version of the configuration that routed it.
        version: ConfigurationVersion,
        /// Time to the deadline.
        left_ms: u64,
        /// Length of the prompt; 0 on plain services.
        prompt_tokens: u32,
        /// Expected length of the answer; 0 on plain services.
        output_tokens: u32,
        /// Parts of the prompt, in order; empty on plain services.
        parts: SmallVec<[PartId; 4]>,
        /// Equal for requests that differ only in their ids and timeouts.
        fingerprint: Fingerprint,
        /// Request that began the stream which this one resumes.
        resumes: Option<CallerRequestId>,
    },
    /// A call to a target was started.
    TargetCalled {
        /// Request id.
        request: CallerRequestId,
        /// Name of the target.
        target: TargetName,
        /// `prefill`, `run` or `run-after-transfer`.
        step: &'static str,
        /// Build of the target's software.
        build: Option<Build>,
        /// Number of the call within its request, from 1.
        call: u32,
        /// Expected time to the first event; 0 for calls without a prefill.
        expected_ms: u64,
        /// Expected time for the prefills queued at the target.
        waiting_ms: u64,
        /// Requests running or queued at the target.
        running: u64,
        /// Prompt tokens that are not in the target's prefix cache.
        new_tokens: u64,
        /// Name of the service.
        service: ServiceName,
        /// Retries reserved in the budget of the service for the call.
        retries: u32,
    },
    /// The first event of a resumable stream arrived, or the first one after it was resumed.
    StreamBegun {
        /// Name of the service.
        service: ServiceName,
        /// Build of the target.
        build: Build,
        /// It is the rest of a stream.
        is_resumed: bool,
    },
    /// A call ended without an answer to the caller.
    CallEnded {
        /// Request id.
        request: CallerRequestId,
        /// Name of the target.
        target: TargetName,
        /// `prefill`, `run` or `run-after-transfer`.
        step: &'static str,
        /// Kind of the [`crate::core::CallOutcome`].
        kind: &'static str,
        /// Text of the [`crate::core::CallOutcome`].
        outcome: String,
        /// Duration of the call.
        took_ms: u64,
    },
    /// A request ended.
    RequestEnded {
        /// Request id.
        request: CallerRequestId,
        /// Name of the route; empty if none matched.
        route: RouteName,
        /// `answered`, `refused`, `failed`, `cut` or `abandoned`.
        outcome: &'static str,
        /// Cause; empty for `answered`.
        detail: String,
        /// Status that the caller got; 0 if the answer was cut or abandoned.
        status: u16,
        /// Time from arrival to the first byte of the answer.
        first_ms: Option<u64>,
        /// Time from arrival to the end.
        took_ms: u64,
        /// Number of calls made.
        calls: u32,
        /// `Retry-After` of a refused request.
        retry_after_ms: Option<u64>,
        /// Why it was refused; `None` if it was not.
        refusal: Option<RefusalCause>,
    },
}
