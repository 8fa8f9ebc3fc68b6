//! Retrying table under outages, lost calls, lost replies and calls that take effect late.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use seeded::quickcheck;
use store::CallFault;
use store::Check;
use store::CommitOutcome;
use store::ManualTimer;
use store::MemoryTable;
use store::Put;
use store::RateLimiter;
use store::RateLimits;
use store::RetryContext;
use store::RetryOptions;
use store::RetryingTable;
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
struct ArbitraryFault(CallFault);

impl Arbitrary for ArbitraryFault {
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

/// Timer that lets another writer increment the counter during some of the delays.
struct ConcurrentWriteTimer {
    timer: ManualTimer,
    table: Rc<MemoryTable>,
    /// For each delay, last one first, whether the other writer writes.
    writes: RefCell<Vec<bool>>,
    write_count: Cell<u64>,
}

impl Timer for ConcurrentWriteTimer {
    fn sleep(&self, delay_ms: Duration) -> Pin<Box<dyn Future<Output = ()>>> {
        if self.writes.borrow_mut().pop() == Some(true) {
            let number = self.write_count.get() + 1;
            self.write_count.set(number);
            let request = increment(&self.table, &format!("proof/other-{number}"));
            self.table.apply(&TableRequest::Commit(request));
        }
        self.timer.sleep(delay_ms)
    }
}

/// Transaction that increments the counter and writes a proof row.
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

struct Fixture {
    clock: Rc<ManualClock>,
    table: Rc<MemoryTable>,
    retrying_table: RetryingTable,
}

fn fixture(concurrent_writes: Vec<bool>, limits: &RateLimits) -> Fixture {
    let clock = Rc::new(ManualClock::new());
    let table = Rc::new(MemoryTable::new());
    let timer = ConcurrentWriteTimer {
        timer: ManualTimer(Rc::clone(&clock)),
        table: Rc::clone(&table),
        writes: RefCell::new(concurrent_writes),
        write_count: Cell::new(0),
    };
    let context = RetryContext {
        clock: Rc::clone(&clock) as Rc<dyn Clock>,
        timer: Rc::new(timer),
        rate_limit: Rc::new(RateLimiter::new(limits, clock.now())),
    };
    let inner = Rc::clone(&table) as Rc<dyn Table>;
    Fixture {
        clock,
        table,
        retrying_table: RetryingTable::new(inner, RetryOptions::default(), context, 3),
    }
}

quickcheck! {
    /// Guards against a commit that took effect and is reported as failed, one that failed and is
    /// reported as committed, and one that takes effect twice.
    fn reported_outcome_of_a_commit_is_correct(
        calls: Vec<Vec<ArbitraryFault>>,
        writes: Vec<bool>
    ) -> bool {
        let fixture = fixture(writes, &RateLimits::default());
        let mut outcomes = Vec::new();
        for (number, faults) in calls.iter().enumerate() {
            let proof = format!("proof/{number}");
            let request = TableRequest::Commit(increment(&fixture.table, &proof));
            fixture.table.clear_faults();
            fixture.table.add_faults(faults.iter().map(|fault| fault.0));
            outcomes.push((proof, smol::block_on(fixture.retrying_table.call(request))));
        }
        fixture.table.apply_late_requests();
        let outcomes_are_correct = outcomes.iter().all(|(proof, outcome)| {
            let is_committed = fixture.table.row(proof).is_some();
            match outcome {
                Ok(TableReply::Commit(CommitOutcome::Committed(versions))) => {
                    let row = fixture.table.row(proof);
                    is_committed
                        && versions.len() == 2
                        && row.is_some_and(|row| row.version == versions[1])
                }
                Ok(TableReply::Commit(CommitOutcome::Conflict(_)))
                | Err(StoreError::Unavailable(_) | StoreError::RateLimited) => !is_committed,
                Err(StoreError::Unanswered(_)) => true,
                _ => false,
            }
        });
        let proofs = fixture.table.apply(&TableRequest::Scan {
            prefix: "proof/".to_owned(),
            after: String::new(),
            limit: usize::MAX,
        });
        let TableReply::Rows(proofs) = proofs else { return false };
        let count = fixture.table.row(COUNTER).map_or(0, |row| row.value.parse().unwrap());
        outcomes_are_correct && proofs.len() == count
    }

    /// Guards against a process that exceeds its rate limit over any number of calls.
    fn calls_stay_within_the_rate_limit(gaps_ms: Vec<u8>, window: u8) -> bool {
        let limits = RateLimits {
            writes_per_s: 10.0,
            burst_s: 0.5,
            max_wait_ms: Duration::from_millis(400),
            ..RateLimits::default()
        };
        let fixture = fixture(Vec::new(), &limits);
        let mut at_ms = Vec::new();
        for gap in gaps_ms {
            fixture.clock.advance(Duration::from_millis(gap.into()));
            let transaction = increment(&fixture.table, "proof/x");
            let result = smol::block_on(fixture.retrying_table.call(TableRequest::Commit(transaction)));
            if result.is_ok() {
                at_ms.push(fixture.clock.elapsed().as_millis());
            }
        }
        let window = usize::from(window) % 16 + 1;
        // A burst of 5, then one call per 100 ms; one more is allowed for rounding.
        at_ms.windows(window + 1).all(|calls| {
            calls[window] - calls[0] + 600 >= 100 * window as u128
        })
    }
}

/// Guards against calls that are retried without limit, or that stop being retried too early.
#[test]
fn stops_retrying_after_the_timeout_in_an_outage() {
    let fixture = fixture(Vec::new(), &RateLimits::default());
    fixture.table.set_outage(true);
    let transaction = increment(&fixture.table, "proof/1");
    let result = smol::block_on(
        fixture
            .retrying_table
            .call(TableRequest::Commit(transaction)),
    );
    assert!(matches!(result, Err(StoreError::Unavailable(_))));
    let elapsed = fixture.clock.elapsed();
    assert!(elapsed > Duration::from_secs(7) && elapsed <= Duration::from_secs(10));
}

/// Guards against a retry of a commit whose first attempt cannot be recognised by reading it back,
/// so that it might be applied twice.
#[test]
fn does_not_retry_a_commit_without_proof_after_a_lost_reply() {
    let fixture = fixture(Vec::new(), &RateLimits::default());
    let mut transaction = increment(&fixture.table, "proof/1");
    transaction.proof = String::new();
    fixture.table.lose_replies(1);
    let result = smol::block_on(
        fixture
            .retrying_table
            .call(TableRequest::Commit(transaction)),
    );
    assert!(matches!(result, Err(StoreError::Unanswered(_))));
    assert_eq!(fixture.table.counters().writes, 1);
}

/// Guards against a check that holds although the row was deleted and written again.
#[test]
fn rewritten_row_does_not_reuse_a_version() {
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
