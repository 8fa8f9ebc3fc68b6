//! Leases, and orders that planners write under them.

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
use common::Fixture;
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
const OBSERVER_POLL_MS: Duration = Duration::from_secs(15);

struct Entry {
    lease: Lease,
    /// Lease that the entry last acquired and has not noticed the loss of.
    last_held: Option<HeldLease>,
    replies: Vec<LeaseEvent>,
}

struct Fleet {
    fixture: Fixture,
    entries: Vec<Entry>,
    start: Instant,
    elapsed: Duration,
    /// Version and value of the row, and when it was written.
    last_write: Option<(u64, control::LeaseRow, Duration)>,
    incarnations: u64,
    plans: Vec<Pin<Box<dyn Future<Output = ()>>>>,
    /// Fencing numbers of the orders that planners wrote.
    order_fencings: BTreeSet<u64>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            fixture: Fixture::with_targets(2),
            entries: Vec::new(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            last_write: None,
            incarnations: 0,
            plans: Vec::new(),
            order_fencings: BTreeSet::new(),
        };
        fleet.entries = (0..ENTRIES).map(|_| fleet.start_entry()).collect();
        fleet
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn start_entry(&mut self) -> Entry {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let lease = Lease::new("s", incarnation, DURATION_MS, self.now(), incarnation);
        Entry {
            // Every third run of an entry is an observer.
            lease: if incarnation.is_multiple_of(3) {
                lease.into_observer(OBSERVER_POLL_MS)
            } else {
                lease
            },
            last_held: None,
            replies: Vec::new(),
        }
    }

    fn handle(&mut self, index: usize, event: LeaseEvent) {
        let now = self.now();
        let actions = self.entries[index].lease.handle(now, event);
        for action in actions {
            match action {
                LeaseAction::Table { operation, request } => {
                    let result = smol::block_on(self.fixture.table.call(request));
                    self.check_takeover();
                    let event = LeaseEvent::TableDone { operation, result };
                    self.entries[index].replies.push(event);
                }
                LeaseAction::Acquired(held) => self.entries[index].last_held = Some(held),
                LeaseAction::Lost => self.entries[index].last_held = None,
            }
        }
    }

    fn row(&self) -> Option<(u64, control::LeaseRow)> {
        let row = self.fixture.table.row("lease/s")?;
        Some((row.version, control::decode(&row).unwrap()))
    }

    /// Checks that a lease that was not released changes its holder only after it was unchanged for
    /// the lease duration.
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
                assert!(
                    unchanged >= DURATION_MS,
                    "the lease was taken over before its duration ended"
                );
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

    /// Starts an order under the lease that the entry last held, as a process does that was
    /// suspended while it lost the lease.
    fn start_plan(&mut self, index: usize, choice: u8) {
        let Some(held) = self.entries[index].last_held.clone() else {
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
        let executor = self.fixture.executor(u64::from(choice));
        self.plans.push(Box::pin(async move {
            let by = intent.held.holder.to_string();
            let reason = "mix";
            // The outcome is checked in the log.
            let _ = executor.apply(&intent, Author { by: &by, reason }).await;
        }));
    }

    /// Advances one plan by at most one table request, so that other events can occur between its
    /// reads and its commit.
    fn continue_plan(&mut self, choice: u8) {
        if self.plans.is_empty() {
            return;
        }
        let index = usize::from(choice) % self.plans.len();
        let (row, head) = (self.row(), self.fixture.head());
        let mut cx = Context::from_waker(Waker::noop());
        if self.plans[index].as_mut().poll(&mut cx).is_ready() {
            drop(self.plans.swap_remove(index));
        }
        for change in self.fixture.log().split_off(usize::try_from(head).unwrap()) {
            if let (ChangeBody::Order { after, .. }, false) = (change.body, change.by == "setup") {
                let (_, row) = row.expect("a planner wrote an order without a lease row");
                assert_eq!(
                    row.holder.to_string(),
                    change.by,
                    "the author of an order did not hold the lease"
                );
                assert_eq!(row.fencing, after.fencing);
                self.order_fencings.insert(after.fencing);
            }
        }
    }

    fn step(&mut self, step: (u8, u8)) {
        self.apply_step(step);
        self.check_takeover();
    }

    fn apply_step(&mut self, (kind, choice): (u8, u8)) {
        let index = usize::from(choice) % ENTRIES;
        match kind % 16 {
            0..=2 => {
                self.elapsed += ms(u64::from(choice) * 20);
                self.handle(index, LeaseEvent::Tick);
            }
            3..=5 => self.deliver(index),
            6 if self.plans.len() < 4 => self.start_plan(index, choice / 3),
            6..=11 => self.continue_plan(choice / 3),
            12 if choice % 8 == 0 => self.entries[index] = self.start_entry(),
            12 if choice % 8 == 1 => self.handle(index, LeaseEvent::Release),
            13 if choice % 4 == 0 => {
                let target = format!("t{}", choice % 2);
                let _ = self.fixture.run(order(&target, OrderKind::Resume));
            }
            _ => {
                let target = format!("t{}", choice % 2);
                let order = self.fixture.at(self.fixture.head());
                let number = order.order(&target).map_or(0, |order| order.number);
                let _ = self.fixture.update(&executed(&target, 1, number));
            }
        }
    }

    /// Checks the orders in the log: numbers increase by one for each target, fencing numbers never
    /// decrease, and each fencing number has one author.
    fn check_orders(&self) {
        let mut numbers: BTreeMap<String, u64> = BTreeMap::new();
        let mut holders: BTreeMap<u64, String> = BTreeMap::new();
        let mut fencing = 0;
        for change in self.fixture.log() {
            let ChangeBody::Order { after, .. } = change.body else {
                continue;
            };
            let last = numbers.insert(after.target, after.number).unwrap_or(0);
            assert_eq!(
                after.number,
                last + 1,
                "the order numbers of a target are not contiguous"
            );
            assert!(
                after.fencing >= fencing,
                "an order has a lower fencing number than an earlier one"
            );
            fencing = after.fencing;
            if change.by != "setup" {
                let holder = holders
                    .entry(after.fencing)
                    .or_insert_with(|| change.by.clone());
                assert_eq!(
                    *holder, change.by,
                    "two holders wrote orders under one fencing number"
                );
            }
        }
    }
}

/// Checks a property with sequences so long that leases change their holder several times.
fn check_long_sequences(property: fn(Vec<(u8, u8)>, Vec<Fault>) -> bool) {
    seeded::check_sized(1200).quickcheck(property);
}

/// Fleet after a sequence of steps, with the faults injected into the table.
fn after_steps(steps: Vec<(u8, u8)>, faults: &[Fault]) -> Fleet {
    let mut fleet = Fleet::new();
    let faults = faults.iter().take(150).map(|fault| fault.0);
    fleet.fixture.table.add_faults(faults);
    for step in steps {
        fleet.step(step);
    }
    fleet.fixture.table.clear_faults();
    fleet.fixture.table.apply_late_requests();
    fleet
}

/// Guards against two planners that write orders for a service, orders by a planner that has lost
/// its lease, takeovers before the lease duration ended, and order numbers that are used twice.
#[test]
fn at_most_one_holder_writes_orders() {
    check_long_sequences(|steps, faults| {
        after_steps(steps, &faults).check_orders();
        true
    });
}

/// Guards against a lease that is never taken over after its holder has failed.
#[test]
fn remaining_entry_acquires_the_lease_after_any_steps() {
    check_long_sequences(|steps, faults| {
        let mut fleet = after_steps(steps, &faults);
        fleet.entries[0] = fleet.start_entry();
        // The other entries no longer run.
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

/// Guards against an observer that competes with the candidates, writes or polls more than needed,
/// or does not take over the lease when all candidates have failed.
#[test]
fn observer_polls_rarely_and_takes_the_lease_only_from_a_failed_holder() {
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
    assert!(fleet.entries[0].last_held.is_some());
    assert_eq!(fleet.row().expect("held").1.fencing, 1);
    for _ in 0..2 * OBSERVER_POLL_MS.as_secs() + 2 {
        drive(&mut fleet, &[2]);
    }
    let held = fleet.entries[2]
        .last_held
        .clone()
        .expect("the observer took over the lease");
    assert_eq!(held.fencing, 2);
    for _ in 0..30 {
        drive(&mut fleet, &[2]);
    }
    assert!(fleet.entries[2].lease.held(fleet.now()).is_some());
    assert!((10..35).contains(&calls), "{calls} calls");
}

/// Guards against a released lease that is not acquired before its duration has ended.
#[test]
fn released_lease_is_acquired_at_once() {
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
    let held = fleet.entries[1]
        .lease
        .held(now)
        .expect("entry 1 acquired the released lease");
    assert_eq!(held.fencing, 2);
}

/// Guards against an entry that waits for the lease duration a second time because its first
/// attempt to take over the lease failed.
#[test]
fn failed_attempt_does_not_restart_the_wait() {
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
    fleet.fixture.table.add_faults([CallFault::LostRequest]);
    for _ in 0..3 {
        drive(&mut fleet, 1);
    }
    assert!(fleet.entries[1].lease.held(fleet.now()).is_some());
}

/// Guards against a holder that plans shortly before another entry may take over the lease.
#[test]
fn lease_is_not_held_once_the_last_renewal_is_too_old() {
    let mut fleet = Fleet::new();
    fleet.handle(0, LeaseEvent::Tick);
    while !fleet.entries[0].replies.is_empty() {
        fleet.deliver(0);
    }
    assert!(fleet.entries[0].lease.held(fleet.now()).is_some());
    fleet.fixture.table.set_outage(true);
    fleet.elapsed += DURATION_MS * 2 / 3;
    assert!(fleet.entries[0].lease.held(fleet.now()).is_none());
}

/// Guards against a holder that loses its lease when the reply to a renewal is lost.
#[test]
fn holder_keeps_its_lease_after_a_lost_reply() {
    let mut fleet = Fleet::new();
    let table = Rc::clone(&fleet.fixture.table);
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
    let held = fleet.entries[0]
        .last_held
        .clone()
        .expect("entry 0 holds the lease");
    assert_eq!(held.fencing, 1);
}
