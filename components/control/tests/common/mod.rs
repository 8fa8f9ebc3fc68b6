//! Fixture, builders and fault injection for the tests of this crate.
#![allow(dead_code)]

pub mod followers;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use control::Command;
use control::CommandError;
use control::CommandOutcome;
use control::CommandRequest;
use control::Executor;
use control::Snapshot;
use control::TargetUpdate;
use control::keys;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use store::CallFault;
use store::ManualTimer;
use store::MemoryTable;
use store::RateLimiter;
use store::RateLimits;
use store::RetryContext;
use store::RetryOptions;
use store::RetryingTable;
use store::StoreFuture;
use store::Table;
use store::TableReply;
use store::TableRequest;
use types::Change;
use types::Clock;
use types::LoadedModel;
use types::ManualClock;
use types::Profile;
use types::Role;
use types::Service;
use types::ServiceKind;
use types::Target;
use types::TargetState;

/// Table that yields to other tasks before and after each request.
struct YieldingTable(Rc<MemoryTable>);

impl Table for YieldingTable {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        Box::pin(async move {
            futures_lite::future::yield_now().await;
            let reply = self.0.call(request).await;
            futures_lite::future::yield_now().await;
            reply
        })
    }
}

/// In-memory table with a clock that advances only while a task sleeps.
pub struct Fixture {
    pub clock: Rc<ManualClock>,
    pub table: Rc<MemoryTable>,
}

impl Fixture {
    pub fn new() -> Self {
        Self {
            clock: Rc::new(ManualClock::new()),
            table: Rc::new(MemoryTable::new()),
        }
    }

    /// An executor on a retrying table, as used in an entry.
    pub fn executor(&self, seed: u64) -> Executor {
        let clock = Rc::clone(&self.clock) as Rc<dyn Clock>;
        let timer = Rc::new(ManualTimer(Rc::clone(&self.clock)));
        let limits = RateLimits {
            reads_per_s: 1e6,
            writes_per_s: 1e6,
            ..RateLimits::default()
        };
        let context = RetryContext {
            clock: Rc::clone(&clock),
            timer: timer.clone(),
            rate_limit: Rc::new(RateLimiter::new(&limits, clock.now())),
        };
        let inner = Rc::new(YieldingTable(Rc::clone(&self.table)));
        let retrying_table = RetryingTable::new(inner, RetryOptions::default(), context, seed);
        Executor::new(Rc::new(retrying_table), clock, timer, seed)
    }

    /// Executes one command with nothing running concurrently.
    pub fn run(&self, command: Command) -> Result<CommandOutcome, CommandError> {
        smol::block_on(self.executor(99).execute("setup", &request(command)))
    }

    /// Writes one target update with nothing running concurrently.
    pub fn update(&self, update: &TargetUpdate) -> Result<Option<Change>, control::TargetError> {
        let author = control::Author {
            by: "agent",
            reason: "",
        };
        smol::block_on(self.executor(98).apply(update, author))
    }

    /// A service `s` under the profile `p` with targets `t0`, `t1`, …
    pub fn with_targets(count: usize) -> Self {
        let fixture = Self::new();
        fixture.run(create("p", 1)).unwrap();
        fixture.run(set_service("s", "p")).unwrap();
        for number in 0..count {
            let target = target(&format!("t{number}"), 1);
            let update = TargetUpdate::Register(Box::new(target));
            fixture.update(&update).unwrap();
        }
        fixture
    }

    /// All log records; fails if a revision is missing.
    pub fn log(&self) -> Vec<Change> {
        let request = TableRequest::Scan {
            prefix: keys::LOG.to_owned(),
            after: String::new(),
            limit: usize::MAX,
        };
        let TableReply::Rows(rows) = self.table.apply(&request) else {
            panic!("the table answered a scan without rows");
        };
        let log: Vec<Change> = rows
            .iter()
            .map(|row| control::decode(row).unwrap())
            .collect();
        let contiguous = (1..)
            .zip(&log)
            .all(|(revision, change)| change.revision == revision);
        assert!(contiguous, "the revisions of the log are not contiguous");
        log
    }

    /// The configuration at a revision, rebuilt from the log.
    pub fn at(&self, revision: u64) -> Snapshot {
        let mut snapshot = Snapshot::default();
        for change in self.log().iter().take(usize::try_from(revision).unwrap()) {
            snapshot.apply(change).unwrap();
        }
        snapshot
    }

    pub fn head(&self) -> u64 {
        self.log().len() as u64
    }
}

/// Fault injected into one table request, or none.
#[derive(Debug, Clone, Copy)]
pub struct Fault(pub CallFault);

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let late = CallFault::LateEffect(u32::arbitrary(g) % 8 + 1);
        let choices = [
            CallFault::None,
            CallFault::None,
            CallFault::None,
            CallFault::Unavailable,
            CallFault::LostRequest,
            CallFault::LostReply,
            late,
        ];
        Self(*g.choose(&choices).unwrap())
    }
}

/// Runs futures to completion. `choices` select the future to poll next.
pub fn interleave<T>(
    mut futures: Vec<Pin<Box<dyn Future<Output = T> + '_>>>,
    choices: &[u8],
) -> Vec<T> {
    let mut results: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    let mut choices = choices.iter().copied().cycle();
    let mut cx = Context::from_waker(Waker::noop());
    let mut turn = 0;
    while results.iter().any(Option::is_none) {
        turn += 1;
        let waiting: Vec<usize> = (0..results.len())
            .filter(|&index| results[index].is_none())
            .collect();
        // Adding the turn prevents starvation of a future when `choices` is short.
        let choice = usize::from(choices.next().unwrap_or(0)) + turn / 7;
        let index = waiting[choice % waiting.len()];
        if let std::task::Poll::Ready(result) = futures[index].as_mut().poll(&mut cx) {
            results[index] = Some(result);
        }
    }
    results.into_iter().flatten().collect()
}

pub fn request(command: Command) -> CommandRequest {
    CommandRequest {
        command,
        reason: "test".to_owned(),
        if_revision: None,
        dry_run: false,
    }
}

pub fn profile(name: &str, queue_limit: u32) -> Profile {
    Profile {
        name: name.to_owned(),
        queue_limit,
        ..Profile::default()
    }
}

pub fn create(name: &str, queue_limit: u32) -> Command {
    Command::CreateProfile {
        profile: profile(name, queue_limit),
    }
}

pub fn change(name: &str, queue_limit: u32) -> Command {
    Command::ChangeProfile {
        profile: profile(name, queue_limit),
    }
}

pub fn retire(name: &str) -> Command {
    Command::RetireProfile {
        name: name.to_owned(),
    }
}

pub fn set_service(name: &str, profile: &str) -> Command {
    Command::SetService {
        service: Service {
            name: name.to_owned(),
            kind: ServiceKind::Model,
            profile: profile.to_owned(),
        },
    }
}

pub fn order(target: &str, order: types::OrderKind) -> Command {
    Command::OrderTarget {
        target: target.to_owned(),
        order,
    }
}

pub fn target(name: &str, incarnation: u64) -> Target {
    Target {
        name: name.to_owned(),
        service: "s".to_owned(),
        kind: ServiceKind::Model,
        data_centre: "lago-puelo".to_owned(),
        host: "h1".to_owned(),
        agent: ([127, 0, 0, 1], 7000).into(),
        incarnation,
        honours_fencing: true,
        state: TargetState::Active,
        role: Role::Mixed,
        loaded: LoadedModel::default(),
        applied: 0,
    }
}

pub fn executed(name: &str, incarnation: u64, number: u64) -> TargetUpdate {
    TargetUpdate::Executed {
        target: name.to_owned(),
        incarnation,
        number,
        role: Role::Mixed,
        loaded: LoadedModel::default(),
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
