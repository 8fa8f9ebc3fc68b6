//! Orders under crashes, lost replies, table faults, newer orders and restarts of the agent.

mod engine;
mod world;

use std::time::Duration;

use agent::Event;
use agent::ExitReason;
use control::Versioned;
use control::keys;
use seeded::quickcheck;
use types::CacheEvent;
use types::LoadedModel;
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
    /// Guards against conflicting, stale, overlapping or decreasing orders at the engine, against
    /// work that an order interrupts, and against a target that never reaches the ordered state.
    fn orders_never_decrease_overlap_or_interrupt_work(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        world.wait(Duration::from_secs(1));
        for step in steps {
            world.step(step);
        }
        world.table_faults = 0;
        world.order_fault = 0;
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

/// Guards against work that is interrupted, or accepted, while an order waits for running work.
#[test]
fn finishes_work_before_an_order_and_rejects_new_work() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(LoadedModel::default());
    world.issue_order(role(Role::Decode), false);
    world.wait(Duration::from_secs(10));
    assert!(world.engine.executed.is_empty());
    world.dispatch(LoadedModel::default());
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

/// Guards against work that is sent to an engine without the required model.
#[test]
fn rejects_work_for_a_model_that_is_not_loaded() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(LoadedModel {
        model: "other".to_owned(),
        ..LoadedModel::default()
    });
    assert!(matches!(
        world.messages.last(),
        Some(ToEntry::Rejected {
            reason: Rejection::WrongModel,
            ..
        })
    ));
}

/// Guards against an order of a killed agent that overlaps with one of its successor.
#[test]
fn waits_for_orders_of_the_previous_process_to_settle() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.restart();
    world.issue_order(role(Role::Decode), false);
    world.wait(SETTLE_MS.saturating_sub(Duration::from_millis(500)));
    assert!(world.engine.executed.is_empty());
    world.wait(Duration::from_secs(5));
    assert_eq!(world.engine.executed.len(), 1);
}

/// Guards against an order that is recorded as executed because the engine was in the ordered state
/// before, while the order is still in flight and could interrupt work of the next process.
#[test]
fn records_no_order_that_may_be_in_flight() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.order_fault = 254;
    let adapter = "never-loaded".to_owned();
    world.issue_order(OrderKind::UnloadAdapter { adapter }, false);
    world.wait(Duration::from_millis(2300));
    assert!(world.engine.executed.is_empty());
    assert_eq!(world.target().map(|target| target.applied), Some(0));
    assert!(world.agent.load().away);
    world.wait(Duration::from_secs(8));
    assert_eq!(world.target().map(|target| target.applied), Some(1));
}

/// Guards against a repeated order that is sent although an order of the previous process has
/// already restored the state. If this process were killed then, its successor would accept work
/// that the order in flight interrupts.
#[test]
fn sends_no_order_to_an_engine_whose_state_was_restored() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.issue_order(role(Role::Decode), false);
    world.wait(Duration::from_secs(10));
    let order = world.order().expect("given");
    world.crash(100);
    world.restart();
    world.wait(Duration::from_secs(1));
    assert!(world.agent.load().away);
    world.execute(order);
    world.wait(SETTLE_MS + Duration::from_secs(5));
    assert_eq!(world.engine.executed.len(), 2);
    assert!(!world.agent.load().away);
}

/// Guards against two agent processes that both send orders or accept work for one target.
#[test]
fn exits_when_another_process_registers_for_the_target() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(LoadedModel::default());
    let mut target = world.target().expect("registered");
    target.incarnation = 99;
    let row = Versioned {
        revision: 5,
        value: target,
    };
    let value = serde_json::to_string(&row).expect("JSON");
    world.put(vec![(keys::target(TARGET), value)]);
    world.issue_order(role(Role::Decode), false);
    world.wait(Duration::from_secs(5));
    assert!(world.engine.executed.is_empty());
    world.dispatch(LoadedModel::default());
    assert!(matches!(
        world.messages.last(),
        Some(ToEntry::Rejected {
            reason: Rejection::Leaving,
            ..
        })
    ));
    assert_eq!(world.exit, None, "exited before its work finished");
    world.finish_run();
    world.wait(Duration::from_secs(5));
    assert_eq!(world.exit, Some(ExitReason::Superseded));
    assert_eq!(world.target().map(|target| target.incarnation), Some(99));
}

/// Guards against a planned stop that interrupts work or does not release the target row.
#[test]
fn finishes_work_and_releases_its_row_when_stopped() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(LoadedModel::default());
    world.event(Event::StopRequested);
    world.event(Event::StopRequested);
    world.wait(Duration::from_secs(10));
    assert_eq!(world.exit, None);
    world.finish_run();
    world.wait(Duration::from_secs(10));
    assert_eq!(world.exit, Some(ExitReason::Stopped));
    assert_eq!(world.target().map(|target| target.incarnation), Some(0));
}

/// Number of table reads in `s` seconds, while entries with these head revisions probe every 500
/// ms.
fn reads_while_probed(world: &mut World, sequence: &mut u64, heads: &[u64], s: u64) -> usize {
    let before = world.table_reads;
    for _ in 0..2 * s {
        *sequence += 1;
        for (entry, head) in (1..).zip(heads) {
            world.event(Event::EntryProbed {
                entry,
                sequence: *sequence,
                head: *head,
            });
        }
        world.wait(Duration::from_millis(500));
    }
    world.table_reads - before
}

/// Guards against a poll rate that overloads the table in a large deployment, and against late
/// discovery of an order when the entries that send hints fail or lose access to the table.
#[test]
fn polls_rarely_only_while_two_current_entries_send_hints() {
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
    world.issue_order(role(Role::Decode), false);
    // The read triggered by the hint fails.
    world.table_faults = 1;
    world.message(ToAgent::OrderHint { number: 1 });
    reads_while_probed(&mut world, &mut sequence, &[9, 9], 4);
    assert_eq!(world.engine.executed.len(), 1);
    for heads in [&[9, 0][..], &[9], &[]] {
        let reads = reads_while_probed(&mut world, &mut sequence, heads, 30);
        assert!(reads >= 14, "{reads} reads with {heads:?}");
    }
    let mut repeated = 0;
    assert!(reads_while_probed(&mut world, &mut repeated, &[9, 9], 30) >= 14);
}

/// Guards against a table read for each repeated hint of many entries.
#[test]
fn ignores_hints_for_orders_that_were_read() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(LoadedModel::default());
    world.issue_order(role(Role::Decode), false);
    world.wait(Duration::from_secs(3));
    let before = world.table_reads;
    for _ in 0..100 {
        world.message(ToAgent::OrderHint { number: 1 });
        world.wait(Duration::from_millis(20));
    }
    assert!(
        world.table_reads <= before + 3,
        "{}",
        world.table_reads - before
    );
}

/// Guards against missed cache events after a restart of the engine, which numbers its events from
/// 1 again while the agent would ask for those after the last number received before.
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
