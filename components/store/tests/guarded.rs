//! The guarded table under outages, lost and late calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use seeded::quickcheck;
use store::BudgetOptions;
use store::CallFault;
use store::Check;
use store::CommitOutcome;
use store::GuardContext;
use store::Guarded;
use store::ManualTimer;
use store::MemoryTable;
use store::Put;
use store::RateBudget;
use store::RetryOptions;
use store::StoreError;
use store::Table;
use store::TableReply;
use store::TableRequest;
use store::Timer;
use store::Transaction;
use types::Clock;
use types::ManualClock;

const COUNTER: &str = "counter";

#[derive(Debug, Clone)]
struct Fault(CallFault);

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let late = CallFault::LateEffect(u32::arbitrary(g) % 8 + 1);
        let choices = [
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

/// Lets another writer change the counter during some of the pauses.
struct MeddlingTimer {
    clock: ManualTimer,
    table: Rc<MemoryTable>,
    meddle: RefCell<Vec<bool>>,
    meddled: Cell<u64>,
}

impl Timer for MeddlingTimer {
    fn sleep(&self, delay_ms: Duration) -> Pin<Box<dyn Future<Output = ()>>> {
        if self.meddle.borrow_mut().pop() == Some(true) {
            let number = self.meddled.get() + 1;
            self.meddled.set(number);
            let request = increment(&self.table, &format!("proof/other-{number}"));
            self.table.apply(&TableRequest::Commit(request));
        }
        self.clock.sleep(delay_ms)
    }
}

/// A transaction that adds one to the counter and leaves a proof row.
fn increment(table: &MemoryTable, proof: &str) -> Transaction {
    let row = table.row(COUNTER);
    let value: u64 = row.as_ref().map_or(0, |row| row.value.parse().unwrap());
    let put = |key: &str, value: String| Put {
        key: key.to_owned(),
        value: Some(value),
    };
    Transaction {
        checks: vec![Check {
            key: COUNTER.to_owned(),
            version: row.map_or(0, |row| row.version),
        }],
        puts: vec![
            put(COUNTER, (value + 1).to_string()),
            put(proof, proof.to_owned()),
        ],
        proof: proof.to_owned(),
    }
}

struct World {
    clock: Rc<ManualClock>,
    table: Rc<MemoryTable>,
    guarded: Guarded,
}

fn world(meddle: Vec<bool>, budget: &BudgetOptions) -> World {
    let clock = Rc::new(ManualClock::new());
    let table = Rc::new(MemoryTable::new());
    let timer = MeddlingTimer {
        clock: ManualTimer(Rc::clone(&clock)),
        table: Rc::clone(&table),
        meddle: RefCell::new(meddle),
        meddled: Cell::new(0),
    };
    let context = GuardContext {
        clock: Rc::clone(&clock) as Rc<dyn Clock>,
        timer: Rc::new(timer),
        budget: Rc::new(RateBudget::new(budget, clock.now())),
    };
    let inner = Rc::clone(&table) as Rc<dyn Table>;
    World {
        clock,
        table,
        guarded: Guarded::new(inner, RetryOptions::default(), context, 3),
    }
}

quickcheck! {
    /// Guards against a committed write that is reported as failed, a failed one that is
    /// reported as committed, and a write that takes effect twice.
    fn outcome_of_commit_is_true(calls: Vec<Vec<Fault>>, meddle: Vec<bool>) -> bool {
        let world = world(meddle, &BudgetOptions::default());
        let mut outcomes = Vec::new();
        for (number, faults) in calls.iter().enumerate() {
            let proof = format!("proof/{number}");
            let request = TableRequest::Commit(increment(&world.table, &proof));
            world.table.clear_script();
            world.table.script(faults.iter().map(|fault| fault.0));
            outcomes.push((proof, smol::block_on(world.guarded.call(request))));
        }
        world.table.flush_late();
        let outcomes_true = outcomes.iter().all(|(proof, outcome)| {
            let done = world.table.row(proof).is_some();
            match outcome {
                Ok(TableReply::Commit(CommitOutcome::Committed(versions))) => {
                    let row = world.table.row(proof);
                    done && versions.len() == 2 && row.is_some_and(|row| row.version == versions[1])
                }
                Ok(TableReply::Commit(CommitOutcome::Conflict(_)))
                | Err(StoreError::Unavailable(_) | StoreError::RateLimited) => !done,
                Err(StoreError::Unanswered(_)) => true,
                _ => false,
            }
        });
        let proofs = world.table.apply(&TableRequest::Scan {
            prefix: "proof/".to_owned(),
            after: String::new(),
            limit: usize::MAX,
        });
        let TableReply::Rows(proofs) = proofs else { return false };
        let counted = world.table.row(COUNTER).map_or(0, |row| row.value.parse().unwrap());
        outcomes_true && proofs.len() == counted
    }

    /// Guards against a process that takes more than its share of the table in any window.
    fn calls_stay_within_the_budget(gaps_ms: Vec<u8>, window: u8) -> bool {
        let budget = BudgetOptions {
            writes_per_s: 10.0,
            burst_s: 0.5,
            max_wait_ms: Duration::from_millis(400),
            ..BudgetOptions::default()
        };
        let world = world(Vec::new(), &budget);
        let mut at_ms = Vec::new();
        for gap in gaps_ms {
            world.clock.advance(Duration::from_millis(gap.into()));
            let transaction = increment(&world.table, "proof/x");
            let result = smol::block_on(world.guarded.call(TableRequest::Commit(transaction)));
            if result.is_ok() {
                at_ms.push(world.clock.elapsed().as_millis());
            }
        }
        let window = usize::from(window) % 16 + 1;
        // 5 at once, then one every 100 ms; one more for rounding at the window's edges.
        at_ms.windows(window + 1).all(|calls| {
            calls[window] - calls[0] + 600 >= 100 * window as u128
        })
    }
}

/// Guards against calls that are retried for ever, and against retries in quick succession.
#[test]
fn gives_up_after_its_time_in_an_outage() {
    let world = world(Vec::new(), &BudgetOptions::default());
    world.table.set_outage(true);
    let transaction = increment(&world.table, "proof/1");
    let result = smol::block_on(world.guarded.call(TableRequest::Commit(transaction)));
    assert!(matches!(result, Err(StoreError::Unavailable(_))));
    let elapsed = world.clock.elapsed();
    assert!(elapsed > Duration::from_secs(7) && elapsed <= Duration::from_secs(10));
}

/// Guards against a retry of a write that cannot be recognised when it is read back.
#[test]
fn does_not_retry_lost_commit_without_proof() {
    let world = world(Vec::new(), &BudgetOptions::default());
    let mut transaction = increment(&world.table, "proof/1");
    transaction.proof = String::new();
    world.table.lose_replies(1);
    let result = smol::block_on(world.guarded.call(TableRequest::Commit(transaction)));
    assert!(matches!(result, Err(StoreError::Unanswered(_))));
    assert_eq!(world.table.counters().writes, 1);
}

/// Guards against a row that is written again after its deletion and passes an old check.
#[test]
fn rewritten_row_never_repeats_a_version() {
    let table = MemoryTable::new();
    let write = |value: Option<&str>| {
        let transaction = Transaction {
            puts: vec![Put {
                key: "k".to_owned(),
                value: value.map(str::to_owned),
            }],
            ..Transaction::default()
        };
        table.apply(&TableRequest::Commit(transaction))
    };
    let version = || table.row("k").map_or(0, |row| row.version);
    write(Some("1"));
    let first = version();
    write(None);
    assert_eq!(version(), 0);
    write(Some("1"));
    assert!(version() > first);
}
