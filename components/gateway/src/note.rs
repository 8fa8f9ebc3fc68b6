//! Decisions and changes of belief, as they are logged.

use types::ServiceName;
use types::TargetName;

use crate::deployment::ConfigurationVersion;
use crate::deployment::RouteName;
use crate::fleet::Belief;
use crate::protocol::CallerRequestId;

/// Something to log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// The process serves.
    Started {
        /// Random number of this run.
        incarnation: u64,
    },
    /// A stop was asked for.
    Stopping {
        /// Requests that are not answered yet.
        in_flight: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests that were still not answered.
        in_flight: usize,
    },
    /// The settings file changed.
    SettingsReloaded {
        /// Why the new file was not taken, if so.
        error: Option<String>,
    },
    /// A configuration is in force.
    ConfigurationApplied {
        /// Version.
        version: ConfigurationVersion,
        /// Version before.
        before: Option<ConfigurationVersion>,
        /// Routes.
        routes: usize,
    },
    /// A configuration was older than the one in force.
    ConfigurationIgnored {
        /// Version.
        version: ConfigurationVersion,
        /// Version in force.
        in_force: ConfigurationVersion,
    },
    /// A belief about a target changed.
    Target {
        /// Target.
        target: TargetName,
        /// What is believed now.
        belief: Belief,
    },
    /// A row of the store cannot be read.
    Unreadable {
        /// Row.
        row: String,
        /// Cause.
        detail: String,
    },
    /// The store stopped answering.
    StoreLost {
        /// Cause.
        detail: String,
    },
    /// The store answers again.
    StoreBack,
    /// A peer's message was not understood.
    PeerIgnored {
        /// Cause.
        detail: String,
    },
    /// A request was routed.
    Accepted {
        /// Request.
        request: CallerRequestId,
        /// Route.
        route: RouteName,
        /// Service.
        service: ServiceName,
        /// Configuration that routed it.
        version: ConfigurationVersion,
        /// Time that is left.
        left_ms: u64,
        /// Size of the prompt; 0 if it is not for a model.
        prompt_tokens: u32,
        /// Expected size of the answer; 0 if it is not for a model.
        output_tokens: u32,
    },
    /// A target was chosen.
    Sent {
        /// Request.
        request: CallerRequestId,
        /// Target.
        target: TargetName,
        /// What it is asked to do.
        step: &'static str,
        /// Call of this request, from 1.
        call: u32,
        /// Expected time to the first event.
        expected_ms: u64,
        /// Engine time of readings that is known to wait there.
        waiting_ms: u64,
        /// Requests that are known to run there.
        running: u64,
        /// Tokens that the target has to read.
        new_tokens: u64,
    },
    /// A call ended without an answer for the caller.
    CallEnded {
        /// Request.
        request: CallerRequestId,
        /// Target.
        target: TargetName,
        /// How.
        outcome: String,
        /// Duration of the call.
        took_ms: u64,
    },
    /// A request ended.
    Ended {
        /// Request.
        request: CallerRequestId,
        /// Route, if one was found.
        route: RouteName,
        /// How.
        outcome: &'static str,
        /// Cause in detail.
        detail: String,
        /// Status of the answer; 0 without one.
        status: u16,
        /// Time until the first byte of the answer.
        first_ms: Option<u64>,
        /// Time from its arrival.
        took_ms: u64,
        /// Calls that were made for it.
        calls: u32,
        /// Time after which the caller may come back, if it was refused.
        retry_after_ms: Option<u64>,
    },
}
