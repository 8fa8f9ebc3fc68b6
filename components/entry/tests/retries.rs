//! Property tests of the core: requests while the retry budget is exhausted.

mod common;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::core_options;
use common::load;
use common::target;
use common::work;
use control::Command;
use control::CommandRequest;
use control::Executor;
use entry::core::Action;
use entry::core::EntryCore;
use entry::core::Event;
use store::MemoryTable;
use store::SystemTimer;
use store::Table;
use types::Incarnation;
use types::KeylessPolicy;
use types::Profile;
use types::Refusal;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Service;
use types::ServiceKind;
use types::Submission;
use types::SystemClock;
use types::Usage;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;

const AGENT: Incarnation = 77;
const TARGETS: u16 = 3;
const TICK: Duration = Duration::from_millis(50);
const DEADLINE_MS: Duration = Duration::from_secs(8);
/// Maximum requests per case; they need up to eight times `MIN_RETRIES` retries.
const MAX_REQUESTS: usize = 80;
/// Retries within this time are all counted in the budget's window of 10 s, whose counters are
/// 0.5 s wide.
const RETRIES_WINDOW_MS: Duration = Duration::from_millis(9_500);
const REQUESTS_WINDOW_MS: Duration = Duration::from_secs(10);
/// Retries allowed within that time for any number of requests (design.md, "Attempts").
const MIN_RETRIES: usize = 20;

/// Reaction of an agent to a dispatch. Most are rejected, so that the budget is soon exhausted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AgentBehaviour {
    Rejected,
    NotSent,
    Lost,
    Answered,
    Silent,
}

impl AgentBehaviour {
    fn of(byte: u8) -> Self {
        match byte % 16 {
            0..10 => Self::Rejected,
            10 | 11 => Self::NotSent,
            12 => Self::Lost,
            13 | 14 => Self::Answered,
            _ => Self::Silent,
        }
    }

    fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::NotSent)
    }
}

#[derive(Default)]
struct RequestTrace {
    behaviours: Vec<AgentBehaviour>,
    final_replies: Vec<(Instant, Option<Refusal>)>,
}

struct TestEntry {
    core: EntryCore,
    table: Rc<MemoryTable>,
    now: Instant,
    links: BTreeMap<u64, String>,
    requests: BTreeMap<RequestId, (Instant, RequestTrace)>,
    retries: Vec<Instant>,
    late_dispatches: usize,
    behaviours: VecDeque<u8>,
}

impl TestEntry {
    fn new(idempotent: bool, behaviours: &[u8]) -> Self {
        let now = Instant::now();
        let mut entry = Self {
            core: EntryCore::new(core_options(), 1, now),
            table: Rc::new(MemoryTable::default()),
            now,
            links: BTreeMap::new(),
            requests: BTreeMap::new(),
            retries: Vec::new(),
            late_dispatches: 0,
            behaviours: behaviours.iter().copied().collect(),
        };
        entry.configure(idempotent);
        entry.advance(Duration::from_secs(2));
        entry
    }

    fn configure(&self, idempotent: bool) {
        let table: Rc<dyn Table> = self.table.clone();
        let executor = Executor::new(table, Rc::new(SystemClock), Rc::new(SystemTimer), 1);
        let profile = Profile {
            name: "desk".to_owned(),
            deadline_ms: DEADLINE_MS,
            idempotent,
            keyless: KeylessPolicy::RunOnce,
            ..Profile::default()
        };
        let service = Service {
            name: "mesa".to_owned(),
            kind: ServiceKind::Model,
            profile: "desk".to_owned(),
        };
        for command in [
            Command::CreateProfile { profile },
            Command::SetService { service },
        ] {
            let request = CommandRequest {
                command,
                reason: "test".to_owned(),
                if_revision: None,
                dry_run: false,
            };
            smol::block_on(executor.execute("test", &request)).expect("accepted");
        }
        for index in 0..TARGETS {
            let target = target(index, ([127, 0, 0, 1], 9 + index).into(), AGENT);
            let update = control::TargetUpdate::Register(Box::new(target));
            let author = control::Author {
                by: "agent",
                reason: "test",
            };
            smol::block_on(executor.apply(&update, author)).expect("registered");
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.core.handle(self.now, event) {
                self.execute_action(action, &mut events);
            }
        }
    }

    fn execute_action(&mut self, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Table { operation, request } => {
                let result = smol::block_on(self.table.call(request));
                events.push_back(Event::TableDone { operation, result });
            }
            Action::OpenLink { link, target, .. } => {
                self.links.insert(link, target.clone());
                let message = ToEntry::Welcome {
                    target,
                    incarnation: AGENT,
                    load: load(AGENT),
                };
                events.push_back(Event::LinkMessage { link, message });
            }
            Action::CloseLink { link } => {
                self.links.remove(&link);
            }
            Action::Reply { request, reply } => self.reply(request, reply),
            Action::Send {
                link,
                message: ToAgent::Dispatch(dispatch),
            } => {
                for message in self.answer_dispatch(&dispatch) {
                    events.push_back(Event::LinkMessage { link, message });
                }
            }
            _ => {}
        }
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        let refusal = match reply {
            Reply::End => None,
            Reply::Refused(refusal) => Some(refusal),
            Reply::Head { .. } | Reply::Body(_) => return,
        };
        let now = self.now;
        if let Some((_, trace)) = self.requests.get_mut(&request) {
            trace.final_replies.push((now, refusal));
        }
    }

    fn answer_dispatch(&mut self, dispatch: &Dispatch) -> Vec<ToEntry> {
        let attempt = dispatch.attempt;
        let behaviour = AgentBehaviour::of(self.behaviours.pop_front().unwrap_or_default());
        if let Some((submitted_at, trace)) = self.requests.get_mut(&attempt.request) {
            if !trace.behaviours.is_empty() {
                self.retries.push(self.now);
            }
            self.late_dispatches += usize::from(self.now >= *submitted_at + DEADLINE_MS);
            trace.behaviours.push(behaviour);
        }
        let failed = |run| ToEntry::Failed {
            attempt,
            run,
            detail: "connection refused".to_owned(),
        };
        match behaviour {
            AgentBehaviour::Rejected => vec![ToEntry::Rejected {
                attempt,
                reason: Rejection::Unreachable,
                load: load(AGENT),
            }],
            AgentBehaviour::NotSent => vec![failed(RunState::NotRun)],
            AgentBehaviour::Lost => vec![failed(RunState::Unknown)],
            AgentBehaviour::Silent => vec![ToEntry::Accepted { attempt }],
            AgentBehaviour::Answered => vec![
                ToEntry::Accepted { attempt },
                ToEntry::Head {
                    attempt,
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    headers: types::Headers::default(),
                },
                ToEntry::End {
                    attempt,
                    length: 0,
                    digest: AnswerDigest::default().digest(),
                    usage: Usage::default(),
                    load: load(AGENT),
                },
            ],
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.handle(Event::Tick);
            let links: Vec<u64> = self.links.keys().copied().collect();
            for link in links {
                let message = ToEntry::Load(load(AGENT));
                self.handle(Event::LinkMessage { link, message });
            }
        }
    }

    fn submit(&mut self) {
        let request = self.core.new_request();
        self.requests
            .insert(request, (self.now, RequestTrace::default()));
        let submission = Submission {
            caller: "radio".to_owned(),
            work: work(),
            key: None,
            deadline_ms: None,
        };
        self.handle(Event::Submitted {
            request,
            submission,
        });
    }

    /// Submits up to `MAX_REQUESTS` requests and advances the time beyond all deadlines.
    fn run(idempotent: bool, gaps: &[u8], behaviours: &[u8]) -> Self {
        let mut entry = Self::new(idempotent, behaviours);
        for gap in gaps.iter().take(MAX_REQUESTS) {
            entry.submit();
            entry.advance(TICK * u32::from(gap % 4));
        }
        entry.advance(DEADLINE_MS + 2 * TICK);
        entry
    }
}

seeded::quickcheck! {
    /// Guards against a request that waits for the retry budget and gets no answer, two answers or
    /// an answer after its deadline.
    fn answers_each_request_once_by_its_deadline_without_retry_budget(
        idempotent: bool, gaps: Vec<u8>, behaviours: Vec<u8>
    ) -> bool {
        let entry = TestEntry::run(idempotent, &gaps, &behaviours);
        entry.requests.values().all(|(submitted_at, trace)| {
            let due = *submitted_at + DEADLINE_MS + TICK;
            trace.final_replies.len() == 1 && trace.final_replies[0].0 <= due
        })
    }

    /// Guards against retries beyond the budget, and against dispatches after the deadline of a
    /// request that waited for the budget.
    fn sends_no_more_retries_than_the_budget_allows(
        idempotent: bool, gaps: Vec<u8>, behaviours: Vec<u8>
    ) -> bool {
        let entry = TestEntry::run(idempotent, &gaps, &behaviours);
        let within = |at: Instant, end: Instant, window| at <= end && at + window > end;
        let is_bounded = entry.retries.iter().all(|end| {
            let retries = entry.retries.iter();
            let retries = retries.filter(|at| within(**at, *end, RETRIES_WINDOW_MS)).count();
            let requests = entry.requests.values();
            let requests = requests.filter(|(at, _)| within(*at, *end, REQUESTS_WINDOW_MS)).count();
            retries <= (requests / 10).max(MIN_RETRIES)
        });
        is_bounded && entry.late_dispatches == 0
    }

    /// Guards, while retries are delayed, against a refusal that reports work as not run after it
    /// may have run, and against a second run of non-idempotent work.
    fn reports_correctly_whether_work_ran_without_retry_budget(
        idempotent: bool, gaps: Vec<u8>, behaviours: Vec<u8>
    ) -> bool {
        let entry = TestEntry::run(idempotent, &gaps, &behaviours);
        entry.requests.values().all(|(_, trace)| {
            let runs = trace.behaviours.iter().filter(|behaviour| behaviour.may_have_run()).count();
            let is_denied = trace.final_replies.iter().any(|(_, refusal)| {
                refusal.as_ref().is_some_and(|refusal| refusal.run == RunState::NotRun)
            });
            (idempotent || runs <= 1) && !(is_denied && runs > 0)
        })
    }
}
