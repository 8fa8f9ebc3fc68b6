//! The state machine that decides which call is made next for each request.
//!
//! [`Core`] does no I/O and reads no clock. The daemon reports the outcome of each call and gets
//! the next decision. A non-idempotent request is sent to a second target only if the first call
//! certainly did not run, and a refusal, which states that the request has not run, is given only
//! while no call can have run.

mod active;
mod arrivals;
mod builds;
mod conclude;
mod configuration;
mod decision;
mod limits;
mod parts;
mod plan;
mod retry;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ::builds::Directory;
use ::builds::Notice;
use ::limits::Returns;
use freshness::View;
use quarantine::Quarantine;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;
use types::DataCentre;
use types::HostName;
use types::Incarnation;
use types::ServiceName;
use types::TargetName;

use crate::deployment::Configuration;
use crate::deployment::DeploymentUpdate;
use crate::fleet::Fleet;
use crate::fleet::TargetChange;
use crate::fleet::TargetKey;
use crate::log_event::LogEvent;
use crate::prefixes;
use crate::prefixes::PrefixHash;
use crate::protocol::CallerRequest;
use crate::protocol::ModelWork;
use crate::protocol::Transfer;
use crate::retries::RetryAllowance;
use crate::retries::RetryBudget;
use crate::routes;

use self::active::ActiveRequest;
use self::arrivals::Arrivals;
use self::configuration::StartingConfiguration;
pub use self::decision::CallOutcome;
pub use self::decision::Decision;
pub use self::decision::Ending;
pub use self::decision::NextCall;
pub use self::decision::RefusalCause;
pub use self::parts::PartWrite;

/// Sequence number of a request within this process.
pub type RequestNumber = u64;

/// Minimum time to the deadline for which a call is started; with less, no answer could arrive.
const MIN_CALL_MS: Duration = Duration::from_millis(20);
/// `Retry-After` of requests that arrive before the configuration and the targets are known.
const NOT_READY_RETRY_AFTER_MS: Duration = Duration::from_millis(300);

/// Settings of the core.
#[derive(Debug, Clone, PartialEq)]
pub struct CoreSettings {
    /// Data centre of this process.
    pub data_centre: DataCentre,
    /// Retries that a service allows, over all gateway processes.
    pub retries: RetryAllowance,
    /// Lower bound on the number of processes that the allowance is divided by.
    pub min_processes: usize,
}

/// A prefill that was started here, to be reported to the peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillReport {
    /// Target process that runs the prefill.
    pub key: TargetKey,
    /// Prefix hashes of the prompt's shared parts.
    pub hashes: SmallVec<[PrefixHash; 4]>,
    /// Prompt tokens that the target does not have in its prefix cache.
    pub tokens: u64,
}

/// Decision state of one process.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    started: Instant,
    incarnation: Incarnation,
    configuration: Option<Rc<Configuration>>,
    starting: StartingConfiguration,
    view: View,
    /// Peer that has announced the newest configuration that is not in force here.
    newest_peer: Option<HostName>,
    is_lag_reported: bool,
    has_targets: bool,
    /// Health, load and prefix caches of the targets.
    pub fleet: Fleet,
    budgets: HashMap<ServiceName, RetryBudget>,
    requests: HashMap<RequestNumber, ActiveRequest>,
    next_number: RequestNumber,
    random: StdRng,
    log_events: Vec<LogEvent>,
    unused_transfers: Vec<Transfer>,
    prefill_reports: Vec<PrefillReport>,
    unreachable_reports: Vec<TargetKey>,
    leaving_reports: Vec<TargetKey>,
    quarantine: Quarantine,
    part_writes: Vec<PartWrite>,
    cancelled: Vec<RequestNumber>,
    returns: HashMap<ServiceName, Returns>,
    origins: Directory,
    origin_notices: Vec<Notice>,
}

impl Core {
    /// Starts without a configuration; `incarnation` also seeds the random numbers.
    #[must_use]
    pub fn new(now: Instant, settings: CoreSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            started: now,
            incarnation,
            configuration: None,
            starting: StartingConfiguration::default(),
            view: View::new(now),
            newest_peer: None,
            is_lag_reported: false,
            has_targets: false,
            fleet: Fleet::new(now, incarnation),
            budgets: HashMap::new(),
            requests: HashMap::new(),
            next_number: 0,
            random: StdRng::seed_from_u64(incarnation),
            log_events: Vec::new(),
            unused_transfers: Vec::new(),
            prefill_reports: Vec::new(),
            unreachable_reports: Vec::new(),
            leaving_reports: Vec::new(),
            quarantine: Quarantine::new(incarnation),
            part_writes: Vec::new(),
            cancelled: Vec::new(),
            returns: HashMap::new(),
            origins: Directory::default(),
            origin_notices: Vec::new(),
        }
    }

    /// Random number that identifies this run of the process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Configuration in force; `None` until the first one was read from the store.
    #[must_use]
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether the configuration and the list of targets are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.has_targets
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Takes the events to write to the log and the metrics.
    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Takes the KV caches that no call will use any more, to be released at their engines.
    pub fn take_unused_transfers(&mut self, now: Instant) -> Vec<Transfer> {
        let mut transfers = std::mem::take(&mut self.unused_transfers);
        transfers.retain(|transfer| self.use_room_for_release(now, transfer));
        transfers
    }

    /// Takes the prefills that have not been reported to the peers yet.
    pub fn take_prefill_reports(&mut self) -> Vec<PrefillReport> {
        std::mem::take(&mut self.prefill_reports)
    }

    /// Takes the targets that do not take calls and have not been reported to the peers yet.
    pub fn take_unreachable_reports(&mut self) -> Vec<TargetKey> {
        std::mem::take(&mut self.unreachable_reports)
    }

    /// Queues an event of the daemon for the log.
    pub fn log_event(&mut self, event: LogEvent) {
        self.log_events.push(event);
    }

    /// Applies an update from the platform.
    pub fn apply_update(&mut self, now: Instant, update: DeploymentUpdate) {
        match update {
            DeploymentUpdate::Configuration(configuration, source) => {
                self.apply_configuration(now, configuration, source);
            }
            DeploymentUpdate::ConfigurationChecked { age_ms } => {
                self.view.check(now.checked_sub(age_ms).unwrap_or(now));
            }
            DeploymentUpdate::TargetWritten(entry) => {
                let name = entry.name.clone();
                let change = self.fleet.write_entry(entry);
                self.log_target_change(name, change);
            }
            DeploymentUpdate::TargetRemoved(name) => {
                let change = self.fleet.remove_entry(now, &name);
                self.log_target_change(name, change);
            }
            DeploymentUpdate::TargetSnapshot(entries) => {
                self.has_targets = true;
                for (name, change) in self.fleet.replace_entries(now, entries) {
                    self.log_target_change(name, Some(change));
                }
            }
            DeploymentUpdate::Peers(peers) => {
                let hosts = peers.into_iter().map(|peer| peer.host);
                self.fleet.peers.list(now, hosts);
            }
            DeploymentUpdate::QuarantinedParts {
                records,
                is_snapshot,
            } => self.apply_part_records(now, &records, is_snapshot),
            DeploymentUpdate::RowIgnored { row, detail } => {
                self.log_events.push(LogEvent::RowIgnored { row, detail });
            }
            DeploymentUpdate::StoreUnavailable { detail } => {
                self.fleet.set_store_unavailable();
                self.log_events.push(LogEvent::StoreUnavailable { detail });
            }
            DeploymentUpdate::StoreRestoredBeforeStart { .. } => self.starting.set_store_restored(),
            DeploymentUpdate::StoreRestored { before, era } => {
                self.fleet.set_store_restored(now);
                self.log_events
                    .push(LogEvent::StoreRestored { before, era });
            }
            DeploymentUpdate::StoreAvailable => {
                self.fleet.set_store_available(now);
                self.log_events.push(LogEvent::StoreAvailable);
            }
        }
    }

    /// Removes expired peers, targets and evidence against parts of prompts.
    pub fn tick(&mut self, now: Instant) {
        self.quarantine.tick(now);
        self.apply_part_changes(now);
        self.tick_limits(now);
        self.tick_configuration(now);
        for (name, change) in self.fleet.tick(now) {
            self.log_target_change(name, Some(change));
        }
    }

    fn log_target_change(&mut self, target: TargetName, change: Option<TargetChange>) {
        if let Some(change) = change {
            self.log_events
                .push(LogEvent::TargetChange { target, change });
        }
    }

    /// Registers a request and decides on its first call.
    pub fn start(&mut self, now: Instant, request: Rc<CallerRequest>) -> (RequestNumber, Decision) {
        self.next_number += 1;
        let number = self.next_number;
        let Some(configuration) = self.configuration.clone().filter(|_| self.has_targets) else {
            let ending = Ending::Refuse {
                retry_after_ms: NOT_READY_RETRY_AFTER_MS,
                cause: RefusalCause::NotReady,
            };
            self.log_unrouted(&request, ending);
            return (number, Decision::End(ending));
        };
        let path = request.target.split('?').next().unwrap_or_default();
        let host = host_name(&request.host);
        let Some(route) = routes::find(&configuration, host, path).cloned() else {
            self.log_unrouted(&request, Ending::NoRoute);
            return (number, Decision::End(Ending::NoRoute));
        };
        let origin = match self.resumed_origin(now, &route, &request) {
            Ok(origin) => origin,
            Err(cause) => {
                let ending = Ending::Refuse {
                    retry_after_ms: plan::NO_TARGET_RETRY_AFTER_MS,
                    cause,
                };
                self.log_unrouted(&request, ending);
                return (number, Decision::End(ending));
            }
        };
        let draw = self.random.next_u64();
        let drawn = routes::service(&route, draw).cloned().unwrap_or_default();
        let service = origin
            .as_ref()
            .map_or(drawn, |origin| origin.service.clone());
        let spec = configuration.services.get(&service);
        let engine = spec.and_then(|spec| spec.engine);
        let timeout = request.timeout_ms.min(route.timeout_ms);
        let work = request.work.as_ref();
        let prompt_tokens = work.map_or(0, |work| work.prompt_tokens);
        let output_tokens = work.map_or(0, ModelWork::output_tokens);
        let parts = work
            .map(|work| work.parts.iter().map(|part| part.id).collect())
            .unwrap_or_default();
        let active = ActiveRequest {
            hashes: work
                .map(|work| prefixes::shared_hashes(&work.parts))
                .unwrap_or_default(),
            possible_causes: parts::possible_causes(engine.and(work), request.fingerprint),
            trial: SmallVec::new(),
            reserved_call: None,
            engine: engine.filter(|_| work.is_some()),
            received: now,
            deadline: now + timeout,
            tried_targets: SmallVec::new(),
            arrivals: Arrivals::default(),
            calls: 0,
            runs: 0,
            current: None,
            transfer: None,
            last_event: None,
            origin,
            first_ms: None,
            request,
            route,
            service,
        };
        self.log_events.push(LogEvent::RequestRouted {
            request: active.request.id.clone(),
            route: active.route.name.clone(),
            service: active.service.clone(),
            version: configuration.version,
            left_ms: millis(timeout),
            prompt_tokens,
            output_tokens,
            parts,
            fingerprint: active.request.fingerprint,
            resumes: active.request.resumed_request.clone(),
        });
        let allowance = self.settings.retries;
        let budget = self.budgets.entry(active.service.clone()).or_default();
        budget.count_request(now, &allowance);
        self.requests.insert(number, active);
        let decision = self.next_decision(now, number);
        (number, decision)
    }

    /// Records the first event of a call's stream, or its complete answer, which is then sent to the
    /// caller. From the first one of a request on, its answer has begun.
    pub fn first_byte(&mut self, now: Instant, number: RequestNumber) {
        let Some(active) = self.requests.get_mut(&number) else {
            return;
        };
        let since_arrival = now.saturating_duration_since(active.received);
        active.first_ms.get_or_insert(millis(since_arrival));
        self.record_origin(now, number);
        let Some(active) = self.requests.get_mut(&number) else {
            return;
        };
        if let Some(current) = &mut active.current {
            current.has_begun = true;
            current.prefill_finished(now, &mut self.fleet);
        }
        self.record_first_event(now, number);
    }

    fn finish(
        &mut self,
        now: Instant,
        active: ActiveRequest,
        ending: Ending,
        outcome: &CallOutcome,
    ) -> Decision {
        let ending = active.permitted(ending);
        self.release_retries(&active);
        self.end_trial(now, &active);
        if let Some(transfer) = active.transfer {
            self.unused_transfers.push(transfer);
        }
        let (label, detail, status) = describe(ending, outcome);
        self.log_events.push(LogEvent::RequestEnded {
            request: active.request.id.clone(),
            route: active.route.name.clone(),
            outcome: label,
            detail,
            status,
            first_ms: active.first_ms,
            took_ms: millis(now.saturating_duration_since(active.received)),
            calls: active.calls,
            retry_after_ms: retry_after_ms(ending),
            refusal: refusal(ending),
        });
        Decision::End(ending)
    }

    fn log_unrouted(&mut self, request: &CallerRequest, ending: Ending) {
        let (label, detail, status) = describe(ending, &CallOutcome::Abandoned);
        self.log_events.push(LogEvent::RequestEnded {
            request: request.id.clone(),
            route: String::new(),
            outcome: label,
            detail,
            status,
            first_ms: None,
            took_ms: 0,
            calls: 0,
            retry_after_ms: retry_after_ms(ending),
            refusal: refusal(ending),
        });
    }
}

fn describe(ending: Ending, outcome: &CallOutcome) -> (&'static str, String, u16) {
    match (ending, outcome) {
        (Ending::Refuse { cause, .. }, _) => ("refused", cause.to_string(), 503),
        (Ending::NoRoute, _) => ("refused", "no route matches".to_owned(), 404),
        (Ending::Fail { status, detail }, _) => ("failed", detail.to_owned(), status),
        (Ending::Cut, outcome) => ("cut", outcome.text(true), 0),
        (_, CallOutcome::Answered { status }) => ("answered", String::new(), *status),
        _ => ("abandoned", "the caller disconnected".to_owned(), 0),
    }
}

fn retry_after_ms(ending: Ending) -> Option<u64> {
    match ending {
        Ending::Refuse { retry_after_ms, .. } => Some(millis(retry_after_ms)),
        _ => None,
    }
}

fn refusal(ending: Ending) -> Option<RefusalCause> {
    match ending {
        Ending::Refuse { cause, .. } => Some(cause),
        _ => None,
    }
}

/// The `Host` value without its port.
fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or_default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
