//! Registration of targets, and updates by their agents.

mod common;

use std::rc::Rc;

use common::Fixture;
use common::change;
use common::executed;
use common::order;
use common::target;
use control::Author;
use control::TargetError;
use control::TargetUpdate;
use seeded::quickcheck;
use types::ChangeBody;
use types::OrderKind;
use types::Target;
use types::TargetState;

fn register(target: Target) -> TargetUpdate {
    TargetUpdate::Register(Box::new(target))
}

fn release(incarnation: u64) -> TargetUpdate {
    TargetUpdate::Release {
        target: "t0".to_owned(),
        incarnation,
    }
}

fn stored(fixture: &Fixture) -> Target {
    let snapshot = fixture.at(fixture.head());
    snapshot.target("t0").unwrap().value.clone()
}

/// Guards against an earlier run of an agent that keeps writing after a new run has registered.
#[test]
fn earlier_run_of_the_agent_is_superseded() {
    let fixture = Fixture::with_targets(1);
    fixture.run(order("t0", OrderKind::Drain)).unwrap();
    fixture.update(&register(target("t0", 2))).unwrap();
    let error = fixture.update(&executed("t0", 1, 1)).unwrap_err();
    let superseded = TargetError::Superseded {
        target: "t0".to_owned(),
        incarnation: 2,
    };
    assert_eq!(error, superseded);
    assert_eq!(fixture.update(&release(1)), Ok(None));
    assert_eq!(stored(&fixture).incarnation, 2);
}

/// Guards against a restart of an agent that ends a drain or resets the number of the last executed
/// order.
#[test]
fn new_run_keeps_state_and_executed_order() {
    let fixture = Fixture::with_targets(1);
    fixture.run(order("t0", OrderKind::Drain)).unwrap();
    fixture.update(&executed("t0", 1, 1)).unwrap();
    fixture.update(&release(1)).unwrap();
    assert_eq!(stored(&fixture).incarnation, 0);
    fixture.update(&register(target("t0", 2))).unwrap();
    let target = stored(&fixture);
    let kept = (target.incarnation, target.state, target.applied);
    assert_eq!(kept, (2, TargetState::Draining, 1));
}

/// Guards against a new host that never becomes active, and against the old host becoming active
/// again.
#[test]
fn replacement_ends_when_the_new_host_registers() {
    let fixture = Fixture::with_targets(1);
    fixture.run(order("t0", OrderKind::Replace)).unwrap();
    fixture.update(&register(target("t0", 2))).unwrap();
    assert_eq!(stored(&fixture).state, TargetState::Replacing);
    let mut new_host = target("t0", 3);
    new_host.host = "h2".to_owned();
    fixture.update(&register(new_host)).unwrap();
    let target = stored(&fixture);
    assert_eq!((target.state, target.applied), (TargetState::Active, 1));
}

/// Guards against a withdrawn target that registers again when its agent restarts.
#[test]
fn withdrawn_target_cannot_register_again() {
    let fixture = Fixture::with_targets(1);
    fixture.run(order("t0", OrderKind::Withdraw)).unwrap();
    let error = fixture.update(&register(target("t0", 2))).unwrap_err();
    assert!(matches!(error, TargetError::Withdrawn { .. }), "{error}");
    assert!(fixture.run(order("t0", OrderKind::Resume)).is_err());
}

/// Guards against log records without a change, which every entry would have to read.
#[test]
fn repeated_update_writes_nothing() {
    let fixture = Fixture::with_targets(1);
    fixture.run(order("t0", OrderKind::Drain)).unwrap();
    assert!(fixture.update(&executed("t0", 1, 1)).unwrap().is_some());
    let head = fixture.head();
    assert_eq!(fixture.update(&executed("t0", 1, 1)), Ok(None));
    assert_eq!(fixture.update(&register(stored(&fixture))), Ok(None));
    assert_eq!(fixture.head(), head);
    let unknown = fixture.update(&executed("t0", 1, 2)).unwrap_err();
    assert!(matches!(unknown, TargetError::UnknownOrder { .. }));
}

quickcheck! {
    /// Guards against an agent's update that reverts a concurrent change of the same row by an
    /// operator, and against one that fails because of changes of other rows.
    fn concurrent_update_and_change_are_both_kept(polls: u8, other: bool) -> bool {
        let fixture = Fixture::with_targets(1);
        fixture.run(order("t0", OrderKind::LoadAdapter { adapter: "a".to_owned() })).unwrap();
        let executor = fixture.executor(1);
        let update = executed("t0", 1, 1);
        let mut running = Box::pin(executor.apply(&update, Author { by: "agent", reason: "" }));
        let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
        let mut is_done = false;
        for _ in 0..polls % 16 {
            is_done = is_done || running.as_mut().poll(&mut cx).is_ready();
        }
        if other {
            fixture.run(change("p", 7)).unwrap();
        } else {
            let drain = control::CommandRequest {
                if_revision: fixture.at(fixture.head()).order("t0").map(|order| order.revision),
                ..common::request(order("t0", OrderKind::Drain))
            };
            smol::block_on(fixture.executor(2).execute("operator", &drain)).unwrap();
        }
        let recorded = is_done || smol::block_on(running).is_ok();
        let target = stored(&fixture);
        let expected = if other { TargetState::Active } else { TargetState::Draining };
        recorded && target.applied == 1 && target.state == expected
    }
}

/// Guards against a registration that fails or is written twice when the reply to its commit is
/// lost.
#[test]
fn registration_is_written_once_despite_a_lost_reply() {
    let fixture = Fixture::with_targets(0);
    let table = Rc::clone(&fixture.table);
    // The first two requests are reads, the third one is the commit.
    table.add_faults([
        store::CallFault::None,
        store::CallFault::None,
        store::CallFault::LostReply,
    ]);
    let change = fixture.update(&register(target("t0", 1))).unwrap().unwrap();
    let written: Vec<_> = fixture
        .log()
        .into_iter()
        .filter(|record| matches!(record.body, ChangeBody::Target { .. }))
        .collect();
    assert_eq!(written, [change]);
}
