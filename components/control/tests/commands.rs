//! Operators' commands: preconditions, concurrent changes and lost replies of the table.

mod common;

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Waker;

use common::Fault;
use common::Fixture;
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

/// Executes commands concurrently, each by its own operator on its own entry.
fn run_concurrently(
    fixture: &Fixture,
    requests: &[CommandRequest],
    choices: &[u8],
) -> Vec<Result<CommandOutcome, CommandError>> {
    let executors: Vec<Executor> = (0..requests.len() as u64)
        .map(|seed| fixture.executor(seed))
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
fn outcomes_match_log(log: &[Change], outcomes: &[Result<CommandOutcome, CommandError>]) -> bool {
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

/// Whether each change of the profile was based on the value that the previous change wrote.
fn no_update_is_lost(log: &[Change], name: &str) -> bool {
    let mut current: Option<Profile> = None;
    log.iter().all(|change| match &change.body {
        ChangeBody::Profile { before, after } if after.name == name => {
            let is_current = *before == current;
            current = Some(after.clone());
            is_current
        }
        ChangeBody::ProfileRetired {
            before,
            name: retired,
        } if retired == name => {
            let is_current = Some(before) == current.as_ref();
            current = None;
            is_current
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
    /// Guards against none or several of the concurrent changes of one revision being written, and
    /// against conflicts that name the wrong item, author or revision.
    fn exactly_one_of_concurrent_commands_is_written(commands: u8, choices: Vec<u8>) -> bool {
        let fixture = Fixture::new();
        fixture.run(create("p", 1)).unwrap();
        let requests: Vec<CommandRequest> = (0..u32::from(commands % 5) + 2)
            .map(|n| CommandRequest { if_revision: Some(1), ..request(change("p", 100 + n)) })
            .collect();
        let outcomes = run_concurrently(&fixture, &requests, &choices);
        let written: Vec<&CommandOutcome> = outcomes.iter().flatten().collect();
        let conflicts_match = outcomes.iter().flatten_err().all(|error| matches!(
            error,
            CommandError::Conflict { item, revision: 2, by, difference }
                if item == "profile/p" && *by == written[0].change.by
                    && difference.starts_with("queue_limit is")
        ));
        written.len() == 1 && conflicts_match && outcomes_match_log(&fixture.log(), &outcomes)
    }

    /// Guards against a command that is planned again after a conflict, on a value that was written
    /// after the command read the item.
    fn command_that_read_before_another_change_does_not_overwrite_it(polls: u8) -> bool {
        let fixture = Fixture::new();
        fixture.run(create("p", 1)).unwrap();
        let executor = fixture.executor(1);
        let request = request(change("p", 2));
        let mut execution = Box::pin(executor.execute("late", &request));
        let reads = fixture.table.counters().reads;
        let mut cx = Context::from_waker(Waker::noop());
        for _ in 0..polls % 16 {
            if execution.as_mut().poll(&mut cx).is_ready() {
                return fixture.head() == 2;
            }
        }
        // `head` is read first, then the profile.
        let has_read = fixture.table.counters().reads >= reads + 2;
        let has_written = fixture.head() == 2;
        fixture.run(change("p", 3)).unwrap();
        let outcome = smol::block_on(execution);
        let is_conflict = matches!(outcome, Err(CommandError::Conflict { revision: 2, .. }));
        is_conflict == (has_read && !has_written)
    }

    /// Guards against lost updates, dangling references and wrong outcomes when commands run
    /// concurrently while requests to the table fail.
    fn outcomes_of_concurrent_commands_match_the_log_despite_faults(
        commands: Vec<u8>,
        faults: Vec<Fault>,
        choices: Vec<u8>
    ) -> bool {
        let fixture = Fixture::with_targets(1);
        fixture.run(create("q", 2)).unwrap();
        let requests: Vec<CommandRequest> = commands
            .iter()
            .take(6)
            .enumerate()
            .map(|(number, choice)| request(arbitrary_command(*choice, number)))
            .collect();
        fixture.table.add_faults(faults.iter().map(|fault| fault.0));
        let outcomes = run_concurrently(&fixture, &requests, &choices);
        fixture.table.apply_late_requests();
        let log = fixture.log();
        let end = fixture.at(fixture.head());
        let references_hold = end
            .services()
            .all(|(_, service)| end.profile(&service.value.profile).is_some());
        outcomes_match_log(&log, &outcomes)
            && no_update_is_lost(&log, "p")
            && no_update_is_lost(&log, "q")
            && references_hold
    }
}

/// Iterates over the errors of results.
trait FlattenErr<'a, E: 'a> {
    fn flatten_err(self) -> impl Iterator<Item = &'a E>;
}

impl<'a, T: 'a, E: 'a, I: Iterator<Item = &'a Result<T, E>>> FlattenErr<'a, E> for I {
    fn flatten_err(self) -> impl Iterator<Item = &'a E> {
        self.filter_map(|result| result.as_ref().err())
    }
}

/// Guards against a dry run that writes, or that checks less than the command without it.
#[test]
fn dry_run_checks_everything_and_writes_nothing() {
    let fixture = Fixture::new();
    let dry = |command| CommandRequest {
        dry_run: true,
        ..request(command)
    };
    let run = |request| smol::block_on(fixture.executor(1).execute("o", &request));
    let outcome = run(dry(create("p", 1))).unwrap();
    assert!(outcome.dry_run && outcome.change.revision == 1);
    assert_eq!(fixture.head(), 0);
    fixture.run(create("p", 1)).unwrap();
    assert!(matches!(
        run(dry(create("p", 1))),
        Err(CommandError::Exists { .. })
    ));
}

/// Guards against a service whose profile does not exist.
#[test]
fn refuses_to_retire_profile_in_use() {
    let fixture = Fixture::with_targets(0);
    let error = fixture.run(retire("p")).unwrap_err();
    let in_use = CommandError::InUse {
        item: "profile/p".to_owned(),
        by: "service/s".to_owned(),
    };
    assert_eq!(error, in_use);
    let error = fixture.run(set_service("s", "missing")).unwrap_err();
    assert!(matches!(error, CommandError::NotFound { .. }), "{error}");
}

/// Guards against a command that overwrites a change made after the expected revision.
#[test]
fn stale_revision_is_a_conflict_that_names_the_change() {
    let fixture = Fixture::new();
    fixture.run(create("p", 1)).unwrap();
    fixture.run(change("p", 2)).unwrap();
    let stale = CommandRequest {
        if_revision: Some(1),
        ..request(change("p", 3))
    };
    let error = smol::block_on(fixture.executor(1).execute("o", &stale)).unwrap_err();
    let conflict = CommandError::Conflict {
        item: "profile/p".to_owned(),
        revision: 2,
        by: "setup".to_owned(),
        difference: "queue_limit is 2, the command has 3".to_owned(),
    };
    assert_eq!(error, conflict);
}

/// Guards against names that would form the key of another row.
#[test]
fn refuses_names_with_invalid_characters() {
    let fixture = Fixture::new();
    for command in [create("a/b", 1), set_service("", "p"), retire("p/../q")] {
        let error = fixture.run(command).unwrap_err();
        assert!(matches!(error, CommandError::Invalid { .. }), "{error}");
    }
    assert_eq!(fixture.head(), 0);
}

/// Guards against a second order before the first one was executed, after which the engine could
/// have applied parts of both.
#[test]
fn outstanding_order_is_only_superseded_by_its_revision() {
    let fixture = Fixture::with_targets(1);
    let load = |version: &str| {
        let (model, version) = ("m".to_owned(), version.to_owned());
        order("t0", OrderKind::LoadModel { model, version })
    };
    let first = fixture.run(load("1")).unwrap().change;
    let error = fixture.run(load("2")).unwrap_err();
    assert!(matches!(error, CommandError::Refused { .. }), "{error}");
    let superseding = CommandRequest {
        if_revision: Some(first.revision),
        ..request(load("3"))
    };
    let outcome = smol::block_on(fixture.executor(1).execute("o", &superseding)).unwrap();
    let ChangeBody::Order { before, after } = outcome.change.body else {
        panic!("the log record of an order has another kind");
    };
    assert_eq!((before.unwrap().number, after.number), (1, 2));
    fixture.update(&common::executed("t0", 1, 2)).unwrap();
    fixture.run(load("4")).unwrap();
}

/// Guards against entries that dispatch to a draining target until its agent has executed the
/// order.
#[test]
fn drain_changes_the_state_with_the_order() {
    let fixture = Fixture::with_targets(1);
    fixture.run(order("t0", OrderKind::Drain)).unwrap();
    let snapshot = fixture.at(fixture.head());
    assert!(!snapshot.target("t0").unwrap().value.state.accepts_work());
    let row = fixture.table.row("target/t0").unwrap();
    let stored: control::Versioned<types::Target> = control::decode(&row).unwrap();
    assert_eq!(stored, **snapshot.target("t0").unwrap());
    assert!(fixture.run(order("t0", OrderKind::Drain)).is_err());
}

/// Guards against an audit trail with missing records or in the wrong order.
#[test]
fn audit_reads_the_log_newest_first() {
    let fixture = Fixture::new();
    fixture.run(create("p", 1)).unwrap();
    for limit in 0..250 {
        fixture.run(change("p", limit)).unwrap();
    }
    let read =
        |before, limit| smol::block_on(control::audit(&*fixture.table, before, limit)).unwrap();
    let mut log = fixture.log();
    log.reverse();
    assert_eq!(read(None, 1000), log);
    assert_eq!(read(None, 120), log[..120]);
    assert_eq!(read(Some(101), 30), log[151..181]);
    assert_eq!(read(Some(1), 30), []);
}
