//! Accepted requests while the retry budget is used up: property tests on the composed core.

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
/// Most requests of a case; they ask for up to eight times the least number of retries.
const REQUESTS_LIMIT: usize = 80;
/// Retries of this time are all in the budget's window of 10 s, whose counters are 0.5 s wide.
const RETRIES_WINDOW_MS: Duration = Duration::from_millis(9_500);
const REQUESTS_WINDOW_MS: Duration = Duration::from_secs(10);
/// Retries that are allowed in that time however few requests there are (design.md, "Attempts").
const LEAST_RETRIES: usize = 20;

/// What an agent makes of a dispatch; most are rejected, so that the budget is soon used up.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Rejected,
    NotSent,
    Lost,
    Answered,
    Silent,
}

impl Fate {
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
struct Track {
    fates: Vec<Fate>,
    finals: Vec<(Instant, Option<Refusal>)>,
}

struct Bench {
    core: EntryCore,
    table: Rc<MemoryTable>,
    now: Instant,
    links: BTreeMap<u64, String>,
    requests: BTreeMap<RequestId, (Instant, Track)>,
    retries: Vec<Instant>,
    late: usize,
    fates: VecDeque<u8>,
}

impl Bench {
    fn new(idempotent: bool, fates: &[u8]) -> Self {
        let now = Instant::now();
        let mut bench = Self {
            core: EntryCore::new(core_options(), 1, now),
            table: Rc::new(MemoryTable::default()),
            now,
            links: BTreeMap::new(),
            requests: BTreeMap::new(),
            retries: Vec::new(),
            late: 0,
            fates: fates.iter().copied().collect(),
        };
        bench.configure(idempotent);
        bench.wait(Duration::from_secs(2));
        bench
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
        for at in 0..TARGETS {
            let target = target(at, ([127, 0, 0, 1], 9 + at).into(), AGENT);
            let update = control::TargetUpdate::Register(Box::new(target));
            let author = control::Author {
                by: "agent",
                reason: "test",
            };
            smol::block_on(executor.apply(&update, author)).expect("registered");
        }
    }

    fn feed(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.core.handle(self.now, event) {
                self.carry_out(action, &mut events);
            }
        }
    }

    fn carry_out(&mut self, action: Action, events: &mut VecDeque<Event>) {
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
                for message in self.dispatched(&dispatch) {
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
        if let Some((_, track)) = self.requests.get_mut(&request) {
            track.finals.push((now, refusal));
        }
    }

    fn dispatched(&mut self, dispatch: &Dispatch) -> Vec<ToEntry> {
        let attempt = dispatch.attempt;
        let fate = Fate::of(self.fates.pop_front().unwrap_or_default());
        if let Some((since, track)) = self.requests.get_mut(&attempt.request) {
            if !track.fates.is_empty() {
                self.retries.push(self.now);
            }
            self.late += usize::from(self.now >= *since + DEADLINE_MS);
            track.fates.push(fate);
        }
        let failed = |run| ToEntry::Failed {
            attempt,
            run,
            detail: "connection refused".to_owned(),
        };
        match fate {
            Fate::Rejected => vec![ToEntry::Rejected {
                attempt,
                reason: Rejection::Unreachable,
                load: load(AGENT),
            }],
            Fate::NotSent => vec![failed(RunState::NotRun)],
            Fate::Lost => vec![failed(RunState::Unknown)],
            Fate::Silent => vec![ToEntry::Accepted { attempt }],
            Fate::Answered => vec![
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

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.feed(Event::Tick);
            let links: Vec<u64> = self.links.keys().copied().collect();
            for link in links {
                let message = ToEntry::Load(load(AGENT));
                self.feed(Event::LinkMessage { link, message });
            }
        }
    }

    fn submit(&mut self) {
        let request = self.core.new_request();
        self.requests.insert(request, (self.now, Track::default()));
        let submission = Submission {
            caller: "radio".to_owned(),
            work: work(),
            key: None,
            deadline_ms: None,
        };
        self.feed(Event::Submitted {
            request,
            submission,
        });
    }

    /// Submits at most `REQUESTS_LIMIT` requests and waits until all deadlines have passed.
    fn play(idempotent: bool, gaps: &[u8], fates: &[u8]) -> Self {
        let mut bench = Self::new(idempotent, fates);
        for gap in gaps.iter().take(REQUESTS_LIMIT) {
            bench.submit();
            bench.wait(TICK * u32::from(gap % 4));
        }
        bench.wait(DEADLINE_MS + 2 * TICK);
        bench
    }
}

seeded::quickcheck! {
    /// Guards against a request that waits for the retry budget and is forgotten, answered
    /// twice or answered only after its deadline.
    fn answers_each_request_once_and_in_time_without_retries_left(
        idempotent: bool, gaps: Vec<u8>, fates: Vec<u8>
    ) -> bool {
        let bench = Bench::play(idempotent, &gaps, &fates);
        bench.requests.values().all(|(since, track)| {
            let due = *since + DEADLINE_MS + TICK;
            track.finals.len() == 1 && track.finals[0].0 <= due
        })
    }

    /// Guards against retries beyond the budget, and against dispatches after the deadline of a
    /// request that waited for it.
    fn sends_no_more_retries_than_the_budget_allows(
        idempotent: bool, gaps: Vec<u8>, fates: Vec<u8>
    ) -> bool {
        let bench = Bench::play(idempotent, &gaps, &fates);
        let within = |at: Instant, end: Instant, window| at <= end && at + window > end;
        let is_bounded = bench.retries.iter().all(|end| {
            let retries = bench.retries.iter();
            let retries = retries.filter(|at| within(**at, *end, RETRIES_WINDOW_MS)).count();
            let requests = bench.requests.values();
            let requests = requests.filter(|(at, _)| within(*at, *end, REQUESTS_WINDOW_MS)).count();
            retries <= (requests / 10).max(LEAST_RETRIES)
        });
        is_bounded && bench.late == 0
    }

    /// Guards against refusals that deny an attempt, and against a second run of work that must
    /// not be repeated, when retries are delayed.
    fn tells_the_truth_about_runs_without_retries_left(
        idempotent: bool, gaps: Vec<u8>, fates: Vec<u8>
    ) -> bool {
        let bench = Bench::play(idempotent, &gaps, &fates);
        bench.requests.values().all(|(_, track)| {
            let runs = track.fates.iter().filter(|fate| fate.may_have_run()).count();
            let denied = track.finals.iter().any(|(_, refusal)| {
                refusal.as_ref().is_some_and(|refusal| refusal.run == RunState::NotRun)
            });
            (idempotent || runs <= 1) && !(denied && runs > 0)
        })
    }
}
