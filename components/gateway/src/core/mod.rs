//! The state machine of the gateway: which call is made next for each request.
//!
//! [`Core`] does no I/O and reads no clock. The daemon reports what became of each call, and gets
//! the next decision. A non-idempotent request is called a second time only after the target
//! stated that it has not run, and refusals that state the same are given only while no call can
//! have run.

mod active;
mod conclude;
mod decision;
mod plan;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;
use types::Incarnation;
use types::Place;
use types::ServiceName;
use types::TargetName;

use crate::deployment::Configuration;
use crate::deployment::Notice;
use crate::deployment::Repeat;
use crate::fleet::Belief;
use crate::fleet::Fleet;
use crate::fleet::TargetKey;
use crate::note::Note;
use crate::prefixes;
use crate::prefixes::PrefixHash;
use crate::protocol::CallerRequest;
use crate::protocol::ModelWork;
use crate::protocol::Transfer;
use crate::repeats::RepeatAllowance;
use crate::repeats::RepeatBudget;
use crate::routes;

use self::active::Active;
pub use self::decision::Decision;
pub use self::decision::Ending;
pub use self::decision::NextCall;
pub use self::decision::Outcome;

/// Number of a request within this process.
pub type RequestNumber = u64;

/// Time left below which no call is begun: it could not be answered.
const LEAST_CALL_MS: Duration = Duration::from_millis(20);
/// Time after which a request may come back to a process without a configuration.
const NOT_READY_RETURN_MS: Duration = Duration::from_millis(300);

/// Settings of the decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct CoreSettings {
    /// Data centre of this process.
    pub data_centre: Place,
    /// Repeats that a service allows.
    pub repeats: RepeatAllowance,
    /// Least number of processes that are taken to share an allowance.
    pub least_processes: usize,
}

/// Reading that peers are told of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadingNews {
    /// Target.
    pub key: TargetKey,
    /// Shared parts of the prompt.
    pub hashes: SmallVec<[PrefixHash; 4]>,
    /// Tokens that are new to the target.
    pub tokens: u64,
}

/// Decisions of one process.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    incarnation: Incarnation,
    configuration: Option<Rc<Configuration>>,
    has_targets: bool,
    /// Beliefs about targets.
    pub fleet: Fleet,
    budgets: HashMap<ServiceName, RepeatBudget>,
    requests: HashMap<RequestNumber, Active>,
    next_number: RequestNumber,
    random: StdRng,
    notes: Vec<Note>,
    releases: Vec<Transfer>,
    news: Vec<ReadingNews>,
}

impl Core {
    /// Decisions without a configuration; `incarnation` also seeds the random draws.
    #[must_use]
    pub fn new(settings: CoreSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            configuration: None,
            has_targets: false,
            fleet: Fleet::default(),
            budgets: HashMap::new(),
            requests: HashMap::new(),
            next_number: 0,
            random: StdRng::seed_from_u64(incarnation),
            notes: Vec::new(),
            releases: Vec::new(),
            news: Vec::new(),
        }
    }

    /// Random number of this run.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether requests can be routed and placed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.has_targets
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Takes what is to be logged.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Takes memory that nobody will use any more.
    pub fn take_releases(&mut self) -> Vec<Transfer> {
        std::mem::take(&mut self.releases)
    }

    /// Takes readings that peers have not been told of.
    pub fn take_news(&mut self) -> Vec<ReadingNews> {
        std::mem::take(&mut self.news)
    }

    /// Logs something that the daemon saw.
    pub fn note(&mut self, note: Note) {
        self.notes.push(note);
    }

    /// Applies news from the platform.
    pub fn notice(&mut self, now: Instant, notice: Notice) {
        match notice {
            Notice::Configuration(configuration) => self.configure(configuration),
            Notice::TargetWritten(entry) => {
                let name = entry.name.clone();
                let belief = self.fleet.written(entry);
                self.believe(name, belief);
            }
            Notice::TargetRemoved(name) => {
                let belief = self.fleet.removed(now, &name);
                self.believe(name, belief);
            }
            Notice::AllTargets(entries) => {
                self.has_targets = true;
                for (name, belief) in self.fleet.replaced(now, entries) {
                    self.believe(name, Some(belief));
                }
            }
            Notice::Peers(_) => {}
            Notice::Unreadable { row, detail } => {
                self.notes.push(Note::Unreadable { row, detail });
            }
            Notice::StoreLost { detail } => {
                self.fleet.store_lost();
                self.notes.push(Note::StoreLost { detail });
            }
            Notice::StoreBack => {
                self.fleet.store_back(now);
                self.notes.push(Note::StoreBack);
            }
        }
    }

    /// Ends what has run out.
    pub fn tick(&mut self, now: Instant) {
        for (name, belief) in self.fleet.tick(now) {
            self.believe(name, Some(belief));
        }
    }

    fn configure(&mut self, configuration: Rc<Configuration>) {
        let before = self.configuration.as_ref().map(|current| current.version);
        if let Some(in_force) = before
            && configuration.version <= in_force
        {
            if configuration.version < in_force {
                self.notes.push(Note::ConfigurationIgnored {
                    version: configuration.version,
                    in_force,
                });
            }
            return;
        }
        self.notes.push(Note::ConfigurationApplied {
            version: configuration.version,
            before,
            routes: configuration.routes.len(),
        });
        self.configuration = Some(configuration);
    }

    fn believe(&mut self, target: TargetName, belief: Option<Belief>) {
        if let Some(belief) = belief {
            self.notes.push(Note::Target { target, belief });
        }
    }

    /// Takes a request on, or ends it at once.
    pub fn start(&mut self, now: Instant, request: Rc<CallerRequest>) -> (RequestNumber, Decision) {
        self.next_number += 1;
        let number = self.next_number;
        let Some(configuration) = self.configuration.clone().filter(|_| self.has_targets) else {
            let ending = Ending::Refuse {
                retry_after_ms: NOT_READY_RETURN_MS,
                detail: "no configuration has been read from the store yet",
            };
            self.note_unrouted(&request, ending);
            return (number, Decision::End(ending));
        };
        let path = request.target.split('?').next().unwrap_or_default();
        let host = host_name(&request.host);
        let Some(route) = routes::find(&configuration, host, path).cloned() else {
            self.note_unrouted(&request, Ending::NoRoute);
            return (number, Decision::End(Ending::NoRoute));
        };
        let draw = self.random.next_u64();
        let service = routes::service(&route, draw).cloned().unwrap_or_default();
        let facts = configuration.services.get(&service);
        let engine = facts.and_then(|facts| facts.engine);
        let patience = request.patience_ms.min(route.timeout_ms);
        let work = request.work.as_ref();
        let prompt_tokens = work.map_or(0, |work| work.prompt_tokens);
        let output_tokens = work.map_or(0, ModelWork::output_tokens);
        let active = Active {
            hashes: work
                .map(|work| prefixes::shared_hashes(&work.parts))
                .unwrap_or_default(),
            engine: engine.filter(|_| work.is_some()),
            received: now,
            deadline: now + patience,
            refused_by: SmallVec::new(),
            arrivals: 0,
            calls: 0,
            runs: 0,
            prefills: 0,
            current: None,
            transfer: None,
            last_event: None,
            first_ms: None,
            request,
            route,
            service,
        };
        self.notes.push(Note::Accepted {
            request: active.request.id.clone(),
            route: active.route.name.clone(),
            service: active.service.clone(),
            version: configuration.version,
            left_ms: millis(patience),
            prompt_tokens,
            output_tokens,
        });
        let allowance = self.settings.repeats;
        let budget = self.budgets.entry(active.service.clone()).or_default();
        budget.count_request(now, &allowance);
        self.requests.insert(number, active);
        let decision = self.next(now, number);
        (number, decision)
    }

    /// The first event of a stream has arrived, or the head of another answer.
    pub fn first_byte(&mut self, now: Instant, number: RequestNumber) {
        let Some(active) = self.requests.get_mut(&number) else {
            return;
        };
        let since_arrival = now.saturating_duration_since(active.received);
        active.first_ms.get_or_insert(millis(since_arrival));
        if let Some(current) = &mut active.current {
            current.has_read(now, &mut self.fleet);
        }
    }

    /// Whether a failure that a target answered with is better kept from the caller and the
    /// request sent to another target.
    pub fn try_again(&mut self, now: Instant, number: RequestNumber) -> bool {
        let Some(active) = self.requests.get(&number) else {
            return false;
        };
        let may_follow = active.route.repeat == Repeat::Idempotent
            && active.runs + 1 < active.route.attempt_limit
            && active.left(now) >= LEAST_CALL_MS;
        let targets = self.fleet.usable(&active.service, now).len();
        if !may_follow || targets <= active.refused_by.len() + 1 {
            return false;
        }
        let service = active.service.clone();
        self.repeats_left(now, &service) > 0
    }

    fn repeats_left(&mut self, now: Instant, service: &ServiceName) -> u32 {
        let processes = (self.fleet.peer_count() + 1).max(self.settings.least_processes);
        let allowance = self.settings.repeats;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.left(now, &allowance, processes)
    }

    fn finish(&mut self, now: Instant, active: Active, ending: Ending, outcome: &Outcome) {
        if let Some(transfer) = active.transfer {
            self.releases.push(transfer);
        }
        let (ended, detail, status) = describe(ending, outcome);
        self.notes.push(Note::Ended {
            request: active.request.id.clone(),
            route: active.route.name.clone(),
            outcome: ended,
            detail,
            status,
            first_ms: active.first_ms,
            took_ms: millis(now.saturating_duration_since(active.received)),
            calls: active.calls,
            retry_after_ms: retry_after_ms(ending),
        });
    }

    fn note_unrouted(&mut self, request: &CallerRequest, ending: Ending) {
        let (ended, detail, status) = describe(ending, &Outcome::Abandoned);
        self.notes.push(Note::Ended {
            request: request.id.clone(),
            route: String::new(),
            outcome: ended,
            detail,
            status,
            first_ms: None,
            took_ms: 0,
            calls: 0,
            retry_after_ms: retry_after_ms(ending),
        });
    }
}

fn describe(ending: Ending, outcome: &Outcome) -> (&'static str, String, u16) {
    match (ending, outcome) {
        (Ending::Refuse { detail, .. }, _) => ("refused", detail.to_owned(), 503),
        (Ending::NoRoute, _) => ("refused", "no route matches".to_owned(), 404),
        (Ending::Fail { status, detail }, _) => ("failed", detail.to_owned(), status),
        (Ending::Cut, outcome) => ("cut", outcome.to_string(), 0),
        (_, Outcome::Answered { status }) => ("answered", String::new(), *status),
        _ => ("abandoned", "the caller hung up".to_owned(), 0),
    }
}

fn retry_after_ms(ending: Ending) -> Option<u64> {
    match ending {
        Ending::Refuse { retry_after_ms, .. } => Some(millis(retry_after_ms)),
        _ => None,
    }
}

/// Host without a port.
fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or_default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
