//! Leases, and orders under them.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use common::Fault;
use common::World;
use common::executed;
use common::ms;
use common::order;
use control::Author;
use control::HeldLease;
use control::Lease;
use control::LeaseAction;
use control::LeaseEvent;
use control::PlannedOrder;
use store::CallFault;
use store::Table;
use types::ChangeBody;
use types::OrderKind;

const DURATION_MS: Duration = Duration::from_secs(9);
const ENTRIES: usize = 3;
const LOOK_MS: Duration = Duration::from_secs(15);

struct Entry {
    lease: Lease,
    /// What the entry believes, however old it is.
    believed: Option<HeldLease>,
    replies: Vec<LeaseEvent>,
}

struct Fleet {
    world: World,
    entries: Vec<Entry>,
    start: Instant,
    elapsed: Duration,
    /// Version and value of the row, and when it was written.
    last_write: Option<(u64, control::LeaseRow, Duration)>,
    incarnations: u64,
    plans: Vec<Pin<Box<dyn Future<Output = ()>>>>,
    /// Fencing numbers under which planners wrote orders.
    planned_under: BTreeSet<u64>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            world: World::with_targets(2),
            entries: Vec::new(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            last_write: None,
            incarnations: 0,
            plans: Vec::new(),
            planned_under: BTreeSet::new(),
        };
        fleet.entries = (0..ENTRIES).map(|_| fleet.started()).collect();
        fleet
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn started(&mut self) -> Entry {
        self.incarnations += 1;
        let me = self.incarnations;
        let lease = Lease::new("s", me, DURATION_MS, self.now(), me);
        Entry {
            // Runs 3, 6, ... are observers.
            lease: if me.is_multiple_of(3) {
                lease.observing(LOOK_MS)
            } else {
                lease
            },
            believed: None,
            replies: Vec::new(),
        }
    }

    fn handle(&mut self, index: usize, event: LeaseEvent) {
        let now = self.now();
        let actions = self.entries[index].lease.handle(now, event);
        for action in actions {
            match action {
                LeaseAction::Table { operation, request } => {
                    let result = smol::block_on(self.world.table.call(request));
                    self.check_takeover();
                    let event = LeaseEvent::TableDone { operation, result };
                    self.entries[index].replies.push(event);
                }
                LeaseAction::Acquired(held) => self.entries[index].believed = Some(held),
                LeaseAction::Lost => self.entries[index].believed = None,
            }
        }
    }

    fn row(&self) -> Option<(u64, control::LeaseRow)> {
        let row = self.world.table.row("lease/s")?;
        Some((row.version, control::decode(&row).unwrap()))
    }

    /// A lease that was not given back changes its holder only after its whole duration.
    fn check_takeover(&mut self) {
        let Some((version, row)) = self.row() else {
            return;
        };
        if let Some((seen, before, written)) = self.last_write {
            if seen == version {
                return;
            }
            let is_new_holder = row.holder != 0 && row.holder != before.holder;
            assert_eq!(row.fencing, before.fencing + u64::from(is_new_holder));
            if is_new_holder && before.holder != 0 {
                let unchanged = self.elapsed.saturating_sub(written);
                assert!(unchanged >= DURATION_MS, "taken too early");
            }
        }
        self.last_write = Some((version, row, self.elapsed));
    }

    fn deliver(&mut self, index: usize) {
        if !self.entries[index].replies.is_empty() {
            let event = self.entries[index].replies.remove(0);
            self.handle(index, event);
        }
    }

    /// Starts to plan with whatever the entry believes, as a process does that was paused.
    fn start_plan(&mut self, index: usize, choice: u8) {
        let Some(held) = self.entries[index].believed.clone() else {
            return;
        };
        let kind = match choice % 4 {
            0 => OrderKind::Drain,
            1 => OrderKind::Resume,
            _ => OrderKind::LoadAdapter {
                adapter: "a".to_owned(),
            },
        };
        let intent = PlannedOrder {
            held,
            target: format!("t{}", choice % 2),
            kind,
            supersedes: None,
        };
        let executor = self.world.executor(u64::from(choice));
        self.plans.push(Box::pin(async move {
            let by = intent.held.holder.to_string();
            let reason = "mix";
            // The log shows what came of it.
            let _ = executor.apply(&intent, Author { by: &by, reason }).await;
        }));
    }

    /// Lets one plan go on by at most one call of the table, so that anything may happen
    /// between its reads and its commit.
    fn continue_plan(&mut self, choice: u8) {
        if self.plans.is_empty() {
            return;
        }
        let index = usize::from(choice) % self.plans.len();
        let (row, head) = (self.row(), self.world.head());
        let mut cx = Context::from_waker(Waker::noop());
        if self.plans[index].as_mut().poll(&mut cx).is_ready() {
            drop(self.plans.swap_remove(index));
        }
        for change in self.world.log().split_off(usize::try_from(head).unwrap()) {
            if let (ChangeBody::Order { after, .. }, false) = (change.body, change.by == "setup") {
                let (_, row) = row.expect("an order was planned without a lease row");
                assert_eq!(row.holder.to_string(), change.by, "order without the lease");
                assert_eq!(row.fencing, after.fencing);
                self.planned_under.insert(after.fencing);
            }
        }
    }

    fn step(&mut self, step: (u8, u8)) {
        self.take_step(step);
        self.check_takeover();
    }

    fn take_step(&mut self, (kind, choice): (u8, u8)) {
        let index = usize::from(choice) % ENTRIES;
        match kind % 16 {
            0..=2 => {
                self.elapsed += ms(u64::from(choice) * 20);
                self.handle(index, LeaseEvent::Tick);
            }
            3..=5 => self.deliver(index),
            6 if self.plans.len() < 4 => self.start_plan(index, choice / 3),
            6..=11 => self.continue_plan(choice / 3),
            12 if choice % 8 == 0 => self.entries[index] = self.started(),
            12 if choice % 8 == 1 => self.handle(index, LeaseEvent::Release),
            13 if choice % 4 == 0 => {
                let target = format!("t{}", choice % 2);
                let _ = self.world.run(order(&target, OrderKind::Resume));
            }
            _ => {
                let target = format!("t{}", choice % 2);
                let order = self.world.at(self.world.head());
                let number = order.order(&target).map_or(0, |order| order.number);
                let _ = self.world.update(&executed(&target, 1, number));
            }
        }
    }

    /// Orders of the log: numbers grow by one per target, and fencing numbers never go back.
    fn check_orders(&self) {
        let mut numbers: BTreeMap<String, u64> = BTreeMap::new();
        let mut holders: BTreeMap<u64, String> = BTreeMap::new();
        let mut fencing = 0;
        for change in self.world.log() {
            let ChangeBody::Order { after, .. } = change.body else {
                continue;
            };
            let last = numbers.insert(after.target, after.number).unwrap_or(0);
            assert_eq!(after.number, last + 1, "order numbers repeat or have a gap");
            assert!(
                after.fencing >= fencing,
                "an order has an old fencing number"
            );
            fencing = after.fencing;
            if change.by != "setup" {
                let holder = holders
                    .entry(after.fencing)
                    .or_insert_with(|| change.by.clone());
                assert_eq!(*holder, change.by, "two holders planned under one number");
            }
        }
    }
}

/// Long histories, in which leases change their holder several times.
fn check_long(property: fn(Vec<(u8, u8)>, Vec<Fault>) -> bool) {
    seeded::check_sized(1200).quickcheck(property);
}

fn after_history(steps: Vec<(u8, u8)>, faults: &[Fault]) -> Fleet {
    let mut fleet = Fleet::new();
    let faults = faults.iter().take(150).map(|fault| fault.0);
    fleet.world.table.script(faults);
    for step in steps {
        fleet.step(step);
    }
    fleet.world.table.clear_script();
    fleet.world.table.flush_late();
    fleet
}

/// Guards against two planners of a service, orders of a planner that lost its lease without
/// knowing, early takeovers, and order numbers that are given twice.
#[test]
fn at_most_one_holder_writes_orders() {
    check_long(|steps, faults| {
        after_history(steps, &faults).check_orders();
        true
    });
}

/// Guards against a lease that nobody takes after its holder is gone.
#[test]
fn lease_is_held_again_after_any_history() {
    check_long(|steps, faults| {
        let mut fleet = after_history(steps, &faults);
        fleet.entries[0] = fleet.started();
        // The other entries are gone; this one alone must get the lease.
        for _ in 0..60 {
            fleet.elapsed += ms(1000);
            fleet.handle(0, LeaseEvent::Tick);
            while !fleet.entries[0].replies.is_empty() {
                fleet.deliver(0);
            }
        }
        fleet.entries[0].lease.held(fleet.now()).is_some()
    });
}

/// Guards against an observer that competes with the candidates, writes without need, keeps
/// polling, or leaves the lease unused when all candidates are gone.
#[test]
fn observer_looks_rarely_and_takes_the_lease_only_from_a_silent_holder() {
    let mut fleet = Fleet::new();
    let mut calls = 0;
    let mut drive = |fleet: &mut Fleet, indexes: &[usize]| {
        fleet.elapsed += ms(1000);
        for index in indexes {
            fleet.handle(*index, LeaseEvent::Tick);
            while !fleet.entries[*index].replies.is_empty() {
                calls += u32::from(*index == 2);
                fleet.deliver(*index);
            }
        }
    };
    for _ in 0..150 {
        drive(&mut fleet, &[2, 0]);
    }
    assert!(fleet.entries[0].believed.is_some());
    assert_eq!(fleet.row().expect("held").1.fencing, 1);
    for _ in 0..2 * LOOK_MS.as_secs() + 2 {
        drive(&mut fleet, &[2]);
    }
    let held = fleet.entries[2]
        .believed
        .clone()
        .expect("all others are gone");
    assert_eq!(held.fencing, 2);
    for _ in 0..30 {
        drive(&mut fleet, &[2]);
    }
    assert!(fleet.entries[2].lease.held(fleet.now()).is_some());
    assert!((10..35).contains(&calls), "{calls} calls");
}

/// Guards against a planned stop after which the lease stays unused for its whole duration.
#[test]
fn released_lease_is_taken_at_once() {
    let mut fleet = Fleet::new();
    let drive = |fleet: &mut Fleet, index: usize| {
        fleet.handle(index, LeaseEvent::Tick);
        while !fleet.entries[index].replies.is_empty() {
            fleet.deliver(index);
        }
    };
    drive(&mut fleet, 0);
    drive(&mut fleet, 1);
    let now = fleet.now();
    assert!(fleet.entries[0].lease.held(now).is_some());
    assert!(fleet.entries[1].lease.held(now).is_none());
    fleet.handle(0, LeaseEvent::Release);
    drive(&mut fleet, 0);
    assert!(fleet.entries[0].lease.is_released());
    fleet.elapsed += DURATION_MS / 3;
    drive(&mut fleet, 1);
    let now = fleet.now();
    let held = fleet.entries[1].lease.held(now).expect("the lease is free");
    assert_eq!(held.fencing, 2);
}

/// Guards against an entry that watches the row for a second whole duration because its first
/// try to take the lease failed.
#[test]
fn failed_try_does_not_restart_the_wait() {
    let mut fleet = Fleet::new();
    let drive = |fleet: &mut Fleet, index: usize| {
        fleet.elapsed += DURATION_MS / 3;
        fleet.handle(index, LeaseEvent::Tick);
        while !fleet.entries[index].replies.is_empty() {
            fleet.deliver(index);
        }
    };
    drive(&mut fleet, 0);
    for _ in 0..3 {
        drive(&mut fleet, 1);
    }
    fleet.world.table.script([CallFault::LostRequest]);
    for _ in 0..3 {
        drive(&mut fleet, 1);
    }
    assert!(fleet.entries[1].lease.held(fleet.now()).is_some());
}

/// Guards against a holder that plans on a lease that others may be about to take.
#[test]
fn holder_stops_planning_when_its_renewal_is_old() {
    let mut fleet = Fleet::new();
    fleet.handle(0, LeaseEvent::Tick);
    while !fleet.entries[0].replies.is_empty() {
        fleet.deliver(0);
    }
    assert!(fleet.entries[0].lease.held(fleet.now()).is_some());
    fleet.world.table.set_outage(true);
    fleet.elapsed += DURATION_MS * 2 / 3;
    assert!(fleet.entries[0].lease.held(fleet.now()).is_none());
}

/// Guards against a holder that loses its lease because the reply to a renewal is lost.
#[test]
fn holder_keeps_its_lease_after_a_lost_reply() {
    let mut fleet = Fleet::new();
    let table = Rc::clone(&fleet.world.table);
    for round in 0..30 {
        if round % 2 == 1 {
            table.lose_replies(1);
        }
        fleet.elapsed += DURATION_MS / 3;
        fleet.handle(0, LeaseEvent::Tick);
        while !fleet.entries[0].replies.is_empty() {
            fleet.deliver(0);
        }
    }
    let held = fleet.entries[0].believed.clone().expect("held");
    assert_eq!(held.fencing, 1);
}
