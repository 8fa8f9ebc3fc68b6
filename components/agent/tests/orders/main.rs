//! Orders under crashes, lost answers, table faults, newer orders and restarts of the agent.

mod engine;
mod world;

use std::time::Duration;

use agent::Event;
use agent::ExitReason;
use control::Versioned;
use control::keys;
use seeded::quickcheck;
use types::CacheEvent;
use types::Loaded;
use types::OrderKind;
use types::Role;
use wire::Hello;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;

use crate::world::SETTLE_MS;
use crate::world::Step;
use crate::world::TARGET;
use crate::world::World;

quickcheck! {
    /// Guards against conflicting, stale, overlapping or backward orders at the engine, against
    /// work cut by an order, and against a target that never reaches the ordered state.
    fn orders_never_go_back_overlap_or_cut_work(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        world.wait(Duration::from_secs(1));
        for step in steps {
            world.step(step);
        }
        world.table_faults = 0;
        world.pass_fault = 0;
        for _ in 0..8 {
            world.finish_run();
            world.wait(Duration::from_secs(20));
        }
        let target = world.target().expect("registered");
        let number = world.order().map_or(0, |order| order.number);
        assert_eq!(target.applied, number, "the last order is not executed");
        assert_eq!(target.loaded, world.engine.state.loaded);
        assert_eq!(target.role, world.engine.state.role);
        assert!(!world.agent.load().away);
        assert_eq!(world.agent.load().leaving, !target.state.accepts_work());
        true
    }
}

fn role(role: Role) -> OrderKind {
    OrderKind::ChangeRole { role }
}

/// Guards against work that is cut off or taken on while an order waits for the target to empty.
#[test]
fn finishes_work_before_an_order_and_takes_none_meanwhile() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    world.give(role(Role::Decode), false);
    world.wait(Duration::from_secs(10));
    assert!(world.engine.obeyed.is_empty());
    world.dispatch(Loaded::default());
    let last = world.messages.last();
    assert!(matches!(
        last,
        Some(ToEntry::Rejected {
            reason: Rejection::Away,
            ..
        })
    ));
    world.finish_run();
    world.wait(Duration::from_secs(10));
    assert_eq!(world.engine.state.role, Role::Decode);
    assert_eq!(world.target().map(|target| target.applied), Some(1));
}

/// Guards against work that reaches an engine which no longer has its model.
#[test]
fn rejects_work_for_a_model_that_is_not_loaded() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded {
        model: "other".to_owned(),
        ..Loaded::default()
    });
    assert!(matches!(
        world.messages.last(),
        Some(ToEntry::Rejected {
            reason: Rejection::WrongModel,
            ..
        })
    ));
}

/// Guards against a killed agent's order that meets the order of the next run at the engine.
#[test]
fn waits_for_orders_of_the_last_run_to_settle() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.restart();
    world.give(role(Role::Decode), false);
    world.wait(SETTLE_MS.saturating_sub(Duration::from_millis(500)));
    assert!(world.engine.obeyed.is_empty());
    world.wait(Duration::from_secs(5));
    assert_eq!(world.engine.obeyed.len(), 1);
}

/// Guards against an order that counts as executed because the engine was in its state before,
/// while the order itself is still on its way and would cut off the work of the next run.
#[test]
fn records_no_order_that_may_still_be_on_its_way() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.pass_fault = 254;
    let adapter = "never-loaded".to_owned();
    world.give(OrderKind::UnloadAdapter { adapter }, false);
    world.wait(Duration::from_millis(2300));
    assert!(world.engine.obeyed.is_empty());
    assert_eq!(world.target().map(|target| target.applied), Some(0));
    assert!(world.agent.load().away);
    world.wait(Duration::from_secs(8));
    assert_eq!(world.target().map(|target| target.applied), Some(1));
}

/// Guards against a repair that is passed although an order of the last run has made it: if this
/// run is killed then, the next one takes work that the order on its way cuts off.
#[test]
fn passes_no_repair_to_an_engine_that_was_repaired_meanwhile() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.give(role(Role::Decode), false);
    world.wait(Duration::from_secs(10));
    let order = world.order().expect("given");
    world.crash(100);
    world.restart();
    world.wait(Duration::from_secs(1));
    assert!(world.agent.load().away);
    world.obey(order);
    world.wait(SETTLE_MS + Duration::from_secs(5));
    assert_eq!(world.engine.obeyed.len(), 2);
    assert!(!world.agent.load().away);
}

/// Guards against two runs of an agent that both give orders or take work.
#[test]
fn ends_when_another_run_takes_the_target() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    let mut target = world.target().expect("registered");
    target.incarnation = 99;
    let row = Versioned {
        revision: 5,
        value: target,
    };
    let value = serde_json::to_string(&row).expect("JSON");
    world.put(vec![(keys::target(TARGET), value)]);
    world.give(role(Role::Decode), false);
    world.wait(Duration::from_secs(5));
    assert!(world.engine.obeyed.is_empty());
    world.dispatch(Loaded::default());
    assert!(matches!(
        world.messages.last(),
        Some(ToEntry::Rejected {
            reason: Rejection::Leaving,
            ..
        })
    ));
    assert_eq!(world.exit, None, "work in service goes on");
    world.finish_run();
    world.wait(Duration::from_secs(5));
    assert_eq!(world.exit, Some(ExitReason::Superseded));
    assert_eq!(world.target().map(|target| target.incarnation), Some(99));
}

/// Guards against a planned stop that cuts work off or leaves the row behind.
#[test]
fn finishes_work_and_releases_its_row_when_stopped() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    world.event(Event::Leaving);
    world.event(Event::Leaving);
    world.wait(Duration::from_secs(10));
    assert_eq!(world.exit, None);
    world.finish_run();
    world.wait(Duration::from_secs(10));
    assert_eq!(world.exit, Some(ExitReason::Stopped));
    assert_eq!(world.target().map(|target| target.incarnation), Some(0));
}

/// Reads of the table in this time, while entries probe each 500 ms and state these heads.
fn reads_while_probed(world: &mut World, sequence: &mut u64, heads: &[u64], s: u64) -> usize {
    let before = world.reads;
    for _ in 0..2 * s {
        *sequence += 1;
        for (entry, head) in (1..).zip(heads) {
            world.event(Event::Watched {
                entry,
                sequence: *sequence,
                head: *head,
            });
        }
        world.wait(Duration::from_millis(500));
    }
    world.reads - before
}

/// Guards against polls that the table cannot take from a large fleet, and against an order that
/// is found late when the entries that would announce it are gone or have lost the table.
#[test]
fn reads_its_rows_rarely_only_while_two_current_entries_announce_orders() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    let mut sequence = 0;
    for entry in 1..=2 {
        world.event(Event::Message {
            connection: entry,
            message: ToAgent::Hello(Hello {
                process: entry,
                to: TARGET.to_owned(),
            }),
        });
    }
    assert!(reads_while_probed(&mut world, &mut sequence, &[9, 9], 30) <= 3);
    world.give(role(Role::Decode), false);
    // The read that the hint leads to fails.
    world.table_faults = 1;
    world.message(ToAgent::OrderHint { number: 1 });
    reads_while_probed(&mut world, &mut sequence, &[9, 9], 4);
    assert_eq!(world.engine.obeyed.len(), 1);
    for heads in [&[9, 0][..], &[9], &[]] {
        let reads = reads_while_probed(&mut world, &mut sequence, heads, 30);
        assert!(reads >= 14, "{reads} reads with {heads:?}");
    }
    let mut repeated = 0;
    assert!(reads_while_probed(&mut world, &mut repeated, &[9, 9], 30) >= 14);
}

/// Guards against repeated hints of many entries that each cost a read of the table.
#[test]
fn reads_nothing_for_a_hint_at_an_order_that_it_has_read() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    world.give(role(Role::Decode), false);
    world.wait(Duration::from_secs(3));
    let before = world.reads;
    for _ in 0..100 {
        world.message(ToAgent::OrderHint { number: 1 });
        world.wait(Duration::from_millis(20));
    }
    assert!(world.reads <= before + 3, "{}", world.reads - before);
}

/// Guards against cache events that are missed after a restart of the engine, because it numbers
/// them from 1 again and the agent asks for those after the last number of its earlier run.
#[test]
fn reads_cache_events_from_the_start_after_a_restart_of_the_engine() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    let event = CacheEvent {
        sequence: 900,
        prefix: 1,
        stored: true,
    };
    world.event(Event::CacheEvents(vec![event]));
    world.wait(Duration::from_secs(1));
    assert_eq!(world.cache_after, Some(900));
    world.crash(3_000);
    world.wait(Duration::from_secs(6));
    assert_eq!(world.cache_after, Some(0));
}
