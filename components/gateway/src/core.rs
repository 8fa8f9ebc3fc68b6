//! The state machine of the gateway: which call is made next for each request.
//!
//! [`Core`] does no I/O and reads no clock. The daemon reports what became of each call, and gets
//! the next decision. A non-idempotent request is called a second time only after the target
//! stated that it has not run, and refusals that state the same are given only while no call can
//! have run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;
use types::Incarnation;
use types::Place;
use types::Role;
use types::ServiceName;
use types::TargetName;

use crate::admission;
use crate::admission::Prospect;
use crate::deployment::Configuration;
use crate::deployment::EngineFacts;
use crate::deployment::Notice;
use crate::deployment::Repeat;
use crate::deployment::Route;
use crate::fleet::Belief;
use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::TargetKey;
use crate::note::Note;
use crate::placement;
use crate::placement::Choice;
use crate::placement::Need;
use crate::prefixes;
use crate::prefixes::PrefixHash;
use crate::protocol::Call;
use crate::protocol::CallerRequest;
use crate::protocol::Prefilled;
use crate::protocol::Step;
use crate::protocol::Transfer;
use crate::repeats::RepeatAllowance;
use crate::repeats::RepeatBudget;
use crate::routes;

/// Number of a request within this process.
pub type RequestNumber = u64;

/// Factor on the expected duration of a prefill after which it is given up.
const PREFILL_PATIENCE_FACTOR: f64 = 3.0;
/// Time that is added to it, for a target that was stalled for a moment.
const PREFILL_PATIENCE_MS: f64 = 400.0;
/// Part of the time left that an idempotent call may take while another one can follow.
const IDEMPOTENT_PATIENCE_PART: f64 = 0.4;
/// Time left below which no call is begun: it could not be answered.
const LEAST_CALL_MS: Duration = Duration::from_millis(20);
/// Time after which a request may come back that found no target.
const NO_TARGET_RETURN_MS: Duration = Duration::from_millis(500);
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

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Make a call.
    Call {
        /// Call.
        call: Call,
        /// Where.
        address: SocketAddr,
        /// Longest wait for the head of the answer.
        patience_ms: Duration,
    },
    /// Answer that the request has not run and will not.
    Refuse {
        /// When it may come back; `None` if that cannot help.
        retry_after_ms: Option<Duration>,
        /// For people.
        detail: &'static str,
    },
    /// Answer that no route matches.
    NoRoute,
    /// Answer that it failed; it may have run.
    Fail {
        /// Status, 502 or 504.
        status: u16,
        /// For people.
        detail: &'static str,
    },
    /// End the connection in the middle of the answer.
    Cut,
    /// Nothing is left to do.
    Done,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The prompt was read.
    Prefilled(Prefilled),
    /// The target states that it has not run the request.
    NotRun {
        /// Status of its answer.
        status: u16,
        /// Another process has the address.
        is_other_process: bool,
    },
    /// No byte was sent.
    NotSent {
        /// Cause.
        detail: String,
    },
    /// The call may have run and there is no answer from it to give.
    Lost {
        /// Cause.
        detail: String,
    },
    /// The target answered with a failure of its own, which may be given to the caller.
    Failed {
        /// Status.
        status: u16,
    },
    /// A stream ended in its middle.
    Broken {
        /// Id of the last whole event that the caller got.
        last_event: Option<String>,
        /// Bytes of the answer were sent to the caller.
        is_started: bool,
        /// Cause.
        detail: String,
    },
    /// No head of an answer came within the patience of the call.
    Silent,
    /// The time of the request is over.
    TimedOut {
        /// Bytes of the answer were sent to the caller.
        is_started: bool,
    },
    /// The answer was given to the caller.
    Answered {
        /// Status.
        status: u16,
    },
    /// The caller hung up.
    Abandoned,
}

#[derive(Debug)]
struct Current {
    target: TargetName,
    key: TargetKey,
    load: Load,
    started: Instant,
    /// Engine time of the reading at nominal speed, for learning.
    nominal_ms: f64,
    /// Time that earlier readings were expected to take there.
    waiting_ms: f64,
    is_prefill: bool,
    transfer: Option<Transfer>,
}

#[derive(Debug)]
struct Active {
    request: Rc<CallerRequest>,
    route: Rc<Route>,
    service: ServiceName,
    engine: Option<EngineFacts>,
    hashes: SmallVec<[PrefixHash; 4]>,
    received: Instant,
    deadline: Instant,
    refused_by: SmallVec<[TargetName; 4]>,
    /// Calls that count as arrivals at the service.
    arrivals: u32,
    calls: u32,
    /// Calls that may have run.
    runs: u32,
    prefills: u32,
    current: Option<Current>,
    transfer: Option<Transfer>,
    last_event: Option<String>,
    first_ms: Option<u64>,
}

impl Active {
    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.repeat != Repeat::Once && self.runs < self.route.attempt_limit)
    }
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

    /// Takes a request on, or ends it at once. A decision other than a call ends it.
    pub fn start(&mut self, now: Instant, request: Rc<CallerRequest>) -> (RequestNumber, Decision) {
        self.next_number += 1;
        let number = self.next_number;
        let Some(configuration) = self.configuration.clone().filter(|_| self.has_targets) else {
            let decision = Decision::Refuse {
                retry_after_ms: Some(NOT_READY_RETURN_MS),
                detail: "no configuration has been read from the store yet",
            };
            self.note_unrouted(&request, &decision);
            return (number, decision);
        };
        let path = request.target.split('?').next().unwrap_or_default();
        let host = host_name(&request.host);
        let Some(route) = routes::find(&configuration, host, path).cloned() else {
            self.note_unrouted(&request, &Decision::NoRoute);
            return (number, Decision::NoRoute);
        };
        let draw = self.random.next_u64();
        let service = routes::service(&route, draw).cloned().unwrap_or_default();
        let facts = configuration.services.get(&service);
        let engine = facts.and_then(|facts| facts.engine);
        let patience = request.patience_ms.min(route.timeout_ms);
        let work = request.work.as_ref();
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
        let Some(current) = &mut active.current else {
            return;
        };
        let read = Load {
            reading_ms: current.load.reading_ms,
            runs: 0.0,
        };
        current.load.reading_ms = 0.0;
        self.fleet.end(&current.target, current.key, read);
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

    /// A call has ended; returns what to do next. A decision other than a call ends the request.
    pub fn outcome(&mut self, now: Instant, number: RequestNumber, outcome: Outcome) -> Decision {
        let Some(mut active) = self.requests.remove(&number) else {
            return Decision::Done;
        };
        let call = active.current.take();
        if let Some(call) = &call {
            self.fleet.end(&call.target, call.key, call.load);
            self.learn(now, &active, call, &outcome);
        }
        let decision = self.conclude(now, &mut active, call, &outcome);
        if let Some(decision) = decision {
            self.finish(now, active, &decision, &outcome);
            return decision;
        }
        self.requests.insert(number, active);
        self.next(now, number)
    }

    /// What a call's outcome says of its target.
    fn learn(&mut self, now: Instant, active: &Active, call: &Current, outcome: &Outcome) {
        let took = now.saturating_duration_since(call.started);
        let took_ms = took.as_secs_f64() * 1e3;
        let target = &call.target;
        match outcome {
            Outcome::Prefilled(_) => {
                self.fleet.succeeded(target);
                // A wait behind others says more of the load than of the speed.
                if call.waiting_ms < call.nominal_ms {
                    let own_ms = (took_ms - call.waiting_ms).max(1.0);
                    self.fleet.took(target, call.nominal_ms, own_ms);
                }
            }
            Outcome::Answered { status } if *status < 500 => self.fleet.succeeded(target),
            Outcome::NotRun {
                is_other_process: true,
                ..
            } => self.fleet.replaced_process(now, target),
            Outcome::NotSent { .. } => self.fleet.unreachable(now, target),
            Outcome::Answered { .. }
            | Outcome::Failed { .. }
            | Outcome::Lost { .. }
            | Outcome::Broken { .. }
            | Outcome::Silent
            | Outcome::TimedOut { is_started: false } => {
                let belief = self.fleet.failed(now, target);
                self.believe(target.clone(), belief);
            }
            Outcome::TimedOut { .. } | Outcome::NotRun { .. } | Outcome::Abandoned => {}
        }
        let ended = match outcome {
            Outcome::Answered { .. } | Outcome::Abandoned => return,
            Outcome::Prefilled(_) => "prefilled".to_owned(),
            other => format!("{other:?}"),
        };
        self.notes.push(Note::CallEnded {
            request: active.request.id.clone(),
            target: target.clone(),
            outcome: ended,
            took_ms: millis(took),
        });
    }

    /// Brings a request up to date after a call; `Some` if that ends it.
    fn conclude(
        &mut self,
        now: Instant,
        active: &mut Active,
        call: Option<Current>,
        outcome: &Outcome,
    ) -> Option<Decision> {
        let is_run = call.as_ref().is_some_and(|call| !call.is_prefill);
        if !is_run && matches!(outcome, Outcome::NotRun { .. }) {
            active.arrivals += 1;
        }
        let target = call.as_ref().map(|call| call.target.clone());
        let transfer = call.and_then(|call| call.transfer);
        if is_run && !matches!(outcome, Outcome::NotRun { .. } | Outcome::NotSent { .. }) {
            active.runs += 1;
        } else if let Some(transfer) = transfer {
            // The memory may still be there, but a second attempt to use it would rarely succeed.
            self.releases.push(transfer);
        }
        match outcome {
            Outcome::Answered { .. } | Outcome::Abandoned => return Some(Decision::Done),
            Outcome::TimedOut { is_started: true } => return Some(Decision::Cut),
            Outcome::TimedOut { .. } => {
                return Some(Decision::Fail {
                    status: 504,
                    detail: "no answer within the time of the request",
                });
            }
            Outcome::Prefilled(prefilled) => {
                let member = target.as_ref().and_then(|target| self.fleet.get(target));
                active.transfer = member.map(|member| Transfer {
                    holder: member.entry.name.clone(),
                    address: member.entry.address,
                    name: prefilled.name.clone(),
                });
                return None;
            }
            Outcome::Broken { last_event, .. } => {
                if last_event.is_some() {
                    active.last_event.clone_from(last_event);
                }
            }
            Outcome::NotRun { .. }
            | Outcome::NotSent { .. }
            | Outcome::Lost { .. }
            | Outcome::Failed { .. }
            | Outcome::Silent => {}
        }
        active.refused_by.extend(target);
        let is_started = matches!(
            outcome,
            Outcome::Broken {
                is_started: true,
                ..
            }
        );
        let can_resume = active.route.repeat == Repeat::Resumable && active.last_event.is_some();
        let is_over = !active.may_run_again()
            || active.left(now) < LEAST_CALL_MS
            || (is_started && !can_resume);
        if !is_over && self.may_repeat(now, active) {
            return None;
        }
        Some(give_up(active, is_started))
    }

    fn may_repeat(&mut self, now: Instant, active: &Active) -> bool {
        active.arrivals == 0 || self.repeats_left(now, &active.service) > 0
    }

    fn repeats_left(&mut self, now: Instant, service: &ServiceName) -> u32 {
        let processes = (self.fleet.peer_count() + 1).max(self.settings.least_processes);
        let allowance = self.settings.repeats;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.left(now, &allowance, processes)
    }

    /// Chooses the next call of a request, or ends it.
    fn next(&mut self, now: Instant, number: RequestNumber) -> Decision {
        let Some(mut active) = self.requests.remove(&number) else {
            return Decision::Done;
        };
        let planned = match (active.engine, active.request.work.is_some()) {
            (Some(facts), true) => self.plan_model(now, &mut active, &facts),
            _ => self.plan_plain(now, &active),
        };
        match planned {
            Ok(planned) => {
                let decision = self.call(now, &mut active, planned);
                self.requests.insert(number, active);
                decision
            }
            Err(decision) => {
                let decision = if active.runs > 0 {
                    give_up(&active, active.last_event.is_some())
                } else {
                    decision
                };
                self.finish(now, active, &decision, &Outcome::Abandoned);
                decision
            }
        }
    }

    fn plan_plain(&mut self, now: Instant, active: &Active) -> Result<Planned, Decision> {
        let members = self.fleet.usable(&active.service, now);
        let draw = self.random.next_u64();
        let target = placement::choose_plain(
            &members,
            &self.settings.data_centre,
            &active.refused_by,
            draw,
        );
        let Some(target) = target else {
            return Err(no_target());
        };
        let can_follow = active.route.repeat == Repeat::Idempotent
            && active.runs + 1 < active.route.attempt_limit
            && members.len() > 1;
        let left = active.left(now);
        let patience_ms = if can_follow {
            left.mul_f64(IDEMPOTENT_PATIENCE_PART)
        } else {
            left
        };
        Ok(Planned {
            target,
            step: Step::Run(None),
            patience_ms,
            load: Load {
                reading_ms: 0.0,
                runs: 1.0,
            },
            nominal_ms: 0.0,
            expected_ms: 0.0,
            new_tokens: 0,
        })
    }

    fn plan_model(
        &mut self,
        now: Instant,
        active: &mut Active,
        facts: &EngineFacts,
    ) -> Result<Planned, Decision> {
        let request = active.request.clone();
        let Some(work) = &request.work else {
            return Err(no_target());
        };
        let members = self.fleet.usable(&active.service, now);
        let need = Need {
            work,
            hashes: &active.hashes,
            refused_by: &active.refused_by,
        };
        if let Some(transfer) = active.transfer.take() {
            let place = self.fleet.get(&transfer.holder);
            let place = place.map_or(&self.settings.data_centre, |m| &m.entry.data_centre);
            let hints = &self.fleet.hints;
            let target = placement::choose_decoder(&members, hints, facts, &need, place);
            let Some(target) = target else {
                self.releases.push(transfer);
                return Err(no_target());
            };
            return Ok(Planned {
                target,
                step: Step::Run(Some(transfer)),
                patience_ms: active.left(now),
                load: Load {
                    reading_ms: 0.0,
                    runs: 1.0,
                },
                nominal_ms: 0.0,
                expected_ms: 0.0,
                new_tokens: 0,
            });
        }
        let choice = placement::choose_reader(&members, &self.fleet.hints, facts, &need);
        let Some(choice) = choice else {
            return Err(no_target());
        };
        self.admit(now, active, &choice)?;
        let slowness = self.fleet.get(&choice.target).map_or(1.0, |m| m.slowness);
        let is_prefill = choice.role == Role::Prefill;
        let left = active.left(now);
        let patience_ms = if is_prefill {
            let expected_ms = choice.first_event_ms.max(choice.reading_ms * slowness);
            let patience_ms = expected_ms * PREFILL_PATIENCE_FACTOR + PREFILL_PATIENCE_MS;
            left.min(Duration::from_secs_f64(patience_ms / 1e3))
        } else {
            left
        };
        Ok(Planned {
            step: if is_prefill {
                Step::Prefill
            } else {
                Step::Run(None)
            },
            target: choice.target,
            patience_ms,
            load: Load {
                reading_ms: choice.reading_ms,
                runs: 1.0,
            },
            nominal_ms: choice.reading_ms,
            expected_ms: choice.first_event_ms,
            new_tokens: choice.new_tokens,
        })
    }

    fn admit(&mut self, now: Instant, active: &Active, choice: &Choice) -> Result<(), Decision> {
        let waited_ms = now.saturating_duration_since(active.received).as_secs_f64() * 1e3;
        let aim_ms = active.route.aim_ms.as_secs_f64() * 1e3;
        let prospect = Prospect {
            first_event_ms: choice.first_event_ms,
            wait_ms: choice.wait_ms,
            events_ms: choice.events_ms,
            aim_left_ms: aim_ms - waited_ms,
            aim_ms,
            left_ms: active.left(now).as_secs_f64() * 1e3,
        };
        if active.runs > 0 || admission::is_admitted(&prospect) {
            return Ok(());
        }
        let draw = self.random.random::<f64>();
        Err(Decision::Refuse {
            retry_after_ms: Some(admission::return_after(&prospect, draw)),
            detail: "all engines are too busy to answer in time",
        })
    }

    fn call(&mut self, now: Instant, active: &mut Active, planned: Planned) -> Decision {
        let Some(member) = self.fleet.get(&planned.target) else {
            return no_target();
        };
        let (address, key, before) = (member.entry.address, member.key, member.load());
        let is_prefill = planned.step == Step::Prefill;
        active.calls += 1;
        // The first reading of a prompt does not count as an arrival if it is accepted.
        let is_free = is_prefill && active.prefills == 0;
        if is_prefill {
            active.prefills += 1;
        }
        if !is_free {
            if active.arrivals > 0 {
                let allowance = self.settings.repeats;
                let budget = self.budgets.entry(active.service.clone()).or_default();
                budget.count_repeat(now, &allowance);
            }
            active.arrivals += 1;
        }
        self.fleet.begin(&planned.target, planned.load);
        if active.engine.is_some() {
            self.fleet
                .reads(&planned.target, &active.hashes, planned.new_tokens);
            self.news.push(ReadingNews {
                key,
                hashes: active.hashes.clone(),
                tokens: planned.new_tokens,
            });
        }
        self.notes.push(Note::Sent {
            request: active.request.id.clone(),
            target: planned.target.clone(),
            step: match &planned.step {
                Step::Prefill => "prefill",
                Step::Run(None) => "run",
                Step::Run(Some(_)) => "run-after-transfer",
            },
            call: active.calls,
            expected_ms: rounded(planned.expected_ms),
            waiting_ms: rounded(before.reading_ms),
            running: rounded(before.runs),
            new_tokens: planned.new_tokens,
        });
        let transfer = match &planned.step {
            Step::Run(transfer) => transfer.clone(),
            Step::Prefill => None,
        };
        active.current = Some(Current {
            target: planned.target.clone(),
            key,
            load: planned.load,
            started: now,
            nominal_ms: planned.nominal_ms,
            waiting_ms: before.reading_ms,
            is_prefill,
            transfer,
        });
        Decision::Call {
            call: Call {
                step: planned.step,
                target: planned.target,
                left_ms: active.left(now),
                urgency: active.route.priority.min(9),
                resume_after: active.last_event.clone(),
            },
            address,
            patience_ms: planned.patience_ms,
        }
    }

    fn finish(&mut self, now: Instant, active: Active, decision: &Decision, outcome: &Outcome) {
        if let Some(transfer) = active.transfer {
            self.releases.push(transfer);
        }
        let (ended, detail, status) = describe(decision, outcome);
        self.notes.push(Note::Ended {
            request: active.request.id.clone(),
            route: active.route.name.clone(),
            outcome: ended,
            detail,
            status,
            first_ms: active.first_ms,
            took_ms: millis(now.saturating_duration_since(active.received)),
            calls: active.calls,
            retry_after_ms: retry_after_ms(decision),
        });
    }

    fn note_unrouted(&mut self, request: &CallerRequest, decision: &Decision) {
        let (ended, detail, status) = describe(decision, &Outcome::Abandoned);
        self.notes.push(Note::Ended {
            request: request.id.clone(),
            route: String::new(),
            outcome: ended,
            detail,
            status,
            first_ms: None,
            took_ms: 0,
            calls: 0,
            retry_after_ms: retry_after_ms(decision),
        });
    }
}

/// A call that was decided on.
struct Planned {
    target: TargetName,
    step: Step,
    patience_ms: Duration,
    load: Load,
    nominal_ms: f64,
    expected_ms: f64,
    new_tokens: u64,
}

/// The final answer of a request that gets no further call.
fn give_up(active: &Active, is_started: bool) -> Decision {
    if is_started {
        return Decision::Cut;
    }
    if active.runs > 0 {
        return Decision::Fail {
            status: 502,
            detail: "the target's answer was lost; the request may have run",
        };
    }
    Decision::Refuse {
        retry_after_ms: Some(NO_TARGET_RETURN_MS),
        detail: "every target that was asked refused the request",
    }
}

fn no_target() -> Decision {
    Decision::Refuse {
        retry_after_ms: Some(NO_TARGET_RETURN_MS),
        detail: "no target of the service takes work",
    }
}

fn describe(decision: &Decision, outcome: &Outcome) -> (&'static str, String, u16) {
    match (decision, outcome) {
        (Decision::Refuse { detail, .. }, _) => ("refused", (*detail).to_owned(), 503),
        (Decision::NoRoute, _) => ("refused", "no route matches".to_owned(), 404),
        (Decision::Fail { status, detail }, _) => ("failed", (*detail).to_owned(), *status),
        (Decision::Cut, outcome) => ("cut", format!("{outcome:?}"), 0),
        (_, Outcome::Answered { status }) => ("answered", String::new(), *status),
        _ => ("abandoned", "the caller hung up".to_owned(), 0),
    }
}

fn retry_after_ms(decision: &Decision) -> Option<u64> {
    match decision {
        Decision::Refuse { retry_after_ms, .. } => retry_after_ms.map(millis),
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

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // for logs; saturates
fn rounded(value: f64) -> u64 {
    value.round() as u64
}
