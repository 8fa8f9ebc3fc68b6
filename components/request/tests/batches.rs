//! Batching of claim writes into transactions.

use std::time::Duration;
use std::time::Instant;

use request::batch::Purpose;
use request::batch::Write;
use request::batch::WriteBatcher;
use request::claim::ClaimRow;
use request::claim::ClaimState;
use store::StoreError;
use store::TableRequest;

fn write(number: u64) -> Write {
    Write {
        key: format!("claim/{number}"),
        version: 0,
        row: ClaimRow {
            digest: String::new(),
            owner: 1,
            request: u128::from(number),
            attempt: 1,
            target: "ordenes-0".to_owned(),
            incarnation: 1,
            state: ClaimState::Taken,
            answer: None,
            object: None,
            token: u128::from(number),
            expires_epoch: 0,
            proves: None,
        },
        retention_epochs: 1,
        purpose: Purpose::TakeClaim(u128::from(number)),
    }
}

/// Guards against bursts of small transactions that use up the table's write capacity. One is
/// allowed every 50 ms, unless a batch is full.
#[test]
fn keeps_the_minimum_interval_between_transactions_that_are_not_full() {
    fn property(gaps_ms: Vec<u8>) -> bool {
        let mut now = Instant::now();
        let mut batches = WriteBatcher::default();
        let mut flushes: Vec<Instant> = Vec::new();
        let mut due = None;
        for (gap_ms, number) in gaps_ms.into_iter().zip(1..) {
            let next = now + Duration::from_millis(u64::from(gap_ms) % 30);
            while now < next {
                now += Duration::from_millis(1);
                let is_due = due.is_some_and(|at| at <= now);
                if is_due
                    && batches
                        .flush(now, number + 1000 * flushes.len() as u64)
                        .is_some()
                {
                    flushes.push(now);
                    due = None;
                }
            }
            due = Some(batches.push(now, write(number)));
        }
        flushes
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= Duration::from_millis(50))
    }
    seeded::check().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a lost reply that is resolved by the row of an earlier transaction. A write that
/// is sent again would then prove a transaction that was never committed, an outcome in it would
/// count as written, and a resend would run the request a second time.
#[test]
fn row_that_is_sent_again_does_not_prove_the_new_transaction() {
    let mut now = Instant::now();
    let mut batches = WriteBatcher::default();
    let mut proofs = Vec::new();
    let mut pending = vec![write(1)];
    for operation in 1..=2 {
        for write in pending.drain(..) {
            batches.push(now, write);
        }
        now += Duration::from_secs(1);
        let Some(TableRequest::Commit(transaction)) = batches.flush(now, operation) else {
            panic!("no transaction");
        };
        let proof = transaction
            .puts
            .iter()
            .find(|put| put.key == transaction.proof);
        proofs.push(proof.expect("a proof row").value.clone());
        let lost = StoreError::Unanswered("lost".to_owned());
        let (ended, _) = batches.complete(operation, Err(lost), 100);
        pending.extend(ended.into_iter().map(|(write, _)| write));
        pending.push(write(2));
    }
    assert_ne!(proofs[0], proofs[1]);
}
