//! Commands of operators: rules, races and lost replies.

mod common;

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Waker;

use common::Fault;
use common::World;
use common::change;
use common::create;
use common::interleave;
use common::order;
use common::request;
use common::retire;
use common::set_service;
use control::Command;
use control::CommandError;
use control::CommandOutcome;
use control::CommandRequest;
use control::Executor;
use seeded::quickcheck;
use types::Change;
use types::ChangeBody;
use types::OrderKind;
use types::Profile;

type Running<'a> = Pin<Box<dyn Future<Output = Result<CommandOutcome, CommandError>> + 'a>>;

/// Executes commands at once, each by an operator on an entry of its own.
fn race(
    world: &World,
    requests: &[CommandRequest],
    choices: &[u8],
) -> Vec<Result<CommandOutcome, CommandError>> {
    let executors: Vec<Executor> = (0..requests.len() as u64)
        .map(|seed| world.executor(seed))
        .collect();
    let operators: Vec<String> = (0..requests.len())
        .map(|n| format!("operator-{n}"))
        .collect();
    let running = executors
        .iter()
        .zip(&operators)
        .zip(requests)
        .map(|((executor, operator), request)| {
            Box::pin(executor.execute(operator, request)) as Running
        })
        .collect();
    interleave(running, choices)
}

/// Whether each outcome agrees with the log.
fn outcomes_are_true(log: &[Change], outcomes: &[Result<CommandOutcome, CommandError>]) -> bool {
    outcomes.iter().enumerate().all(|(number, outcome)| {
        let by = format!("operator-{number}");
        let records: Vec<&Change> = log.iter().filter(|change| change.by == by).collect();
        match outcome {
            Ok(outcome) => records == [&outcome.change],
            Err(CommandError::Unanswered { token }) => {
                records.len() <= 1
                    && records
                        .iter()
                        .all(|record| record.token.to_string() == *token)
            }
            Err(CommandError::Conflict { revision, by, .. }) => {
                let named = &log[usize::try_from(*revision).unwrap() - 1];
                records.is_empty() && named.by == *by
            }
            Err(_) => records.is_empty(),
        }
    })
}

/// Whether each change of the profile was made on the value that the change before it left.
fn no_update_is_lost(log: &[Change], name: &str) -> bool {
    let mut current: Option<Profile> = None;
    log.iter().all(|change| match &change.body {
        ChangeBody::Profile { before, after } if after.name == name => {
            let seen = *before == current;
            current = Some(after.clone());
            seen
        }
        ChangeBody::ProfileRetired {
            before,
            name: retired,
        } if retired == name => {
            let seen = Some(before) == current.as_ref();
            current = None;
            seen
        }
        _ => true,
    })
}

fn arbitrary_command(choice: u8, number: usize) -> Command {
    let limit = u32::try_from(number).unwrap() + 100;
    match choice % 8 {
        0 => create("p", limit),
        1 => retire("p"),
        2 => set_service("s", "p"),
        3 => set_service("s", "q"),
        4 => order("t0", OrderKind::Drain),
        5 => order("t0", OrderKind::Resume),
        6 => change("q", limit),
        _ => change("p", limit),
    }
}

quickcheck! {
    /// Guards against two winners of a race, none at all, and false reasons for losing.
    fn exactly_one_racing_command_wins(racers: u8, choices: Vec<u8>) -> bool {
        let world = World::new();
        world.run(create("p", 1)).unwrap();
        let requests: Vec<CommandRequest> = (0..u32::from(racers % 5) + 2)
            .map(|n| CommandRequest { if_revision: Some(1), ..request(change("p", 100 + n)) })
            .collect();
        let outcomes = race(&world, &requests, &choices);
        let winners: Vec<&CommandOutcome> = outcomes.iter().flatten().collect();
        let losers_told = outcomes.iter().flatten_err().all(|error| matches!(
            error,
            CommandError::Conflict { item, revision: 2, by, difference }
                if item == "profile/p" && *by == winners[0].change.by
                    && difference.starts_with("queue_limit is")
        ));
        winners.len() == 1 && losers_told && outcomes_are_true(&world.log(), &outcomes)
    }

    /// Guards against a command that is planned again on a value that its operator has not
    /// seen, after it lost a race.
    fn command_that_read_before_another_change_does_not_overwrite_it(polls: u8) -> bool {
        let world = World::new();
        world.run(create("p", 1)).unwrap();
        let executor = world.executor(1);
        let request = request(change("p", 2));
        let mut late = Box::pin(executor.execute("late", &request));
        let reads = world.table.counters().reads;
        let mut cx = Context::from_waker(Waker::noop());
        for _ in 0..polls % 16 {
            if late.as_mut().poll(&mut cx).is_ready() {
                return world.head() == 2;
            }
        }
        // The first read is that of `head`, the second one that of the profile.
        let has_seen = world.table.counters().reads >= reads + 2;
        let has_written = world.head() == 2;
        world.run(change("p", 3)).unwrap();
        let outcome = smol::block_on(late);
        let is_conflict = matches!(outcome, Err(CommandError::Conflict { revision: 2, .. }));
        is_conflict == (has_seen && !has_written)
    }

    /// Guards against lost updates, broken references and untrue outcomes when any commands
    /// race with any faults of the table.
    fn racing_commands_with_faults_end_truthfully(
        commands: Vec<u8>,
        faults: Vec<Fault>,
        choices: Vec<u8>
    ) -> bool {
        let world = World::with_targets(1);
        world.run(create("q", 2)).unwrap();
        let requests: Vec<CommandRequest> = commands
            .iter()
            .take(6)
            .enumerate()
            .map(|(number, choice)| request(arbitrary_command(*choice, number)))
            .collect();
        world.table.script(faults.iter().map(|fault| fault.0));
        let outcomes = race(&world, &requests, &choices);
        world.table.flush_late();
        let log = world.log();
        let end = world.at(world.head());
        let references_hold = end
            .services()
            .all(|(_, service)| end.profile(&service.value.profile).is_some());
        outcomes_are_true(&log, &outcomes)
            && no_update_is_lost(&log, "p")
            && no_update_is_lost(&log, "q")
            && references_hold
    }
}

/// Errors of a list of results.
trait FlattenErr<'a, E: 'a> {
    fn flatten_err(self) -> impl Iterator<Item = &'a E>;
}

impl<'a, T: 'a, E: 'a, I: Iterator<Item = &'a Result<T, E>>> FlattenErr<'a, E> for I {
    fn flatten_err(self) -> impl Iterator<Item = &'a E> {
        self.filter_map(|result| result.as_ref().err())
    }
}

/// Guards against a dry run that writes, or that checks less than the command itself.
#[test]
fn dry_run_checks_everything_and_writes_nothing() {
    let world = World::new();
    let dry = |command| CommandRequest {
        dry_run: true,
        ..request(command)
    };
    let run = |request| smol::block_on(world.executor(1).execute("o", &request));
    let outcome = run(dry(create("p", 1))).unwrap();
    assert!(outcome.dry_run && outcome.change.revision == 1);
    assert_eq!(world.head(), 0);
    world.run(create("p", 1)).unwrap();
    assert!(matches!(
        run(dry(create("p", 1))),
        Err(CommandError::Exists { .. })
    ));
}

/// Guards against a service that is left without a profile.
#[test]
fn refuses_to_retire_profile_in_use() {
    let world = World::with_targets(0);
    let error = world.run(retire("p")).unwrap_err();
    let in_use = CommandError::InUse {
        item: "profile/p".to_owned(),
        by: "service/s".to_owned(),
    };
    assert_eq!(error, in_use);
    let error = world.run(set_service("s", "missing")).unwrap_err();
    assert!(matches!(error, CommandError::NotFound { .. }), "{error}");
}

/// Guards against a command that overwrites what its operator has not seen.
#[test]
fn stale_revision_is_a_conflict_that_names_the_change() {
    let world = World::new();
    world.run(create("p", 1)).unwrap();
    world.run(change("p", 2)).unwrap();
    let stale = CommandRequest {
        if_revision: Some(1),
        ..request(change("p", 3))
    };
    let error = smol::block_on(world.executor(1).execute("o", &stale)).unwrap_err();
    let conflict = CommandError::Conflict {
        item: "profile/p".to_owned(),
        revision: 2,
        by: "setup".to_owned(),
        difference: "queue_limit is 2, the command has 3".to_owned(),
    };
    assert_eq!(error, conflict);
}

/// Guards against names that would be read as parts of other row keys.
#[test]
fn refuses_names_that_are_no_part_of_a_key() {
    let world = World::new();
    for command in [create("a/b", 1), set_service("", "p"), retire("p/../q")] {
        let error = world.run(command).unwrap_err();
        assert!(matches!(error, CommandError::Invalid { .. }), "{error}");
    }
    assert_eq!(world.head(), 0);
}

/// Guards against a second order before the first one was executed, which could leave the
/// engine with a mixture of both.
#[test]
fn outstanding_order_is_only_superseded_by_its_revision() {
    let world = World::with_targets(1);
    let load = |version: &str| {
        let (model, version) = ("m".to_owned(), version.to_owned());
        order("t0", OrderKind::LoadModel { model, version })
    };
    let first = world.run(load("1")).unwrap().change;
    let error = world.run(load("2")).unwrap_err();
    assert!(matches!(error, CommandError::Refused { .. }), "{error}");
    let superseding = CommandRequest {
        if_revision: Some(first.revision),
        ..request(load("3"))
    };
    let outcome = smol::block_on(world.executor(1).execute("o", &superseding)).unwrap();
    let ChangeBody::Order { before, after } = outcome.change.body else {
        panic!("an order is recorded as an order");
    };
    assert_eq!((before.unwrap().number, after.number), (1, 2));
    world.update(&common::executed("t0", 1, 2)).unwrap();
    world.run(load("4")).unwrap();
}

/// Guards against entries that go on dispatching to a drained target until its agent reports.
#[test]
fn drain_changes_the_state_with_the_order() {
    let world = World::with_targets(1);
    world.run(order("t0", OrderKind::Drain)).unwrap();
    let snapshot = world.at(world.head());
    assert!(!snapshot.target("t0").unwrap().value.state.accepts_work());
    let row = world.table.row("target/t0").unwrap();
    let stored: control::Versioned<types::Target> = control::decode(&row).unwrap();
    assert_eq!(stored, **snapshot.target("t0").unwrap());
    assert!(world.run(order("t0", OrderKind::Drain)).is_err());
}

/// Guards against an audit trail that misses records or shows them in another order.
#[test]
fn audit_reads_the_log_newest_first() {
    let world = World::new();
    world.run(create("p", 1)).unwrap();
    for limit in 0..250 {
        world.run(change("p", limit)).unwrap();
    }
    let read =
        |before, limit| smol::block_on(control::audit(&*world.table, before, limit)).unwrap();
    let mut log = world.log();
    log.reverse();
    assert_eq!(read(None, 1000), log);
    assert_eq!(read(None, 120), log[..120]);
    assert_eq!(read(Some(101), 30), log[151..181]);
    assert_eq!(read(Some(1), 30), []);
}
