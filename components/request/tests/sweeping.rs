//! Deletion of expired claims.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use request::Sweep;
use request::SweepAction;
use request::SweepCall;
use request::SweepEvent;
use request::claim::ClaimRow;
use request::claim::ClaimState;
use request::claim::EPOCH_KEY;
use request::claim::EPOCH_MS;
use request::claim::EpochRow;
use request::claim::StoredAnswer;
use store::MemoryTable;
use store::ObjectReply;
use store::ObjectRequest;
use store::Put;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use store::Transaction;
use types::Headers;

const CALL_INTERVAL: Duration = Duration::from_millis(250);

fn put(table: &MemoryTable, key: &str, value: String) {
    table.apply(&TableRequest::Commit(Transaction {
        checks: Vec::new(),
        puts: vec![Put {
            key: key.to_owned(),
            value: Some(value),
        }],
        proof: key.to_owned(),
    }));
}

fn claim(expires_epoch: u64) -> ClaimRow {
    ClaimRow {
        digest: String::new(),
        owner: 1,
        request: 1,
        attempt: 1,
        target: "a".to_owned(),
        incarnation: 1,
        state: ClaimState::Done,
        answer: Some(StoredAnswer {
            headers: Headers::default(),
            status: 200,
            content_type: String::new(),
            served_by: String::new(),
            body: Vec::new(),
        }),
        object: None,
        token: u128::from(expires_epoch),
        expires_epoch,
        proves: None,
    }
}

fn claims(table: &MemoryTable) -> Vec<u64> {
    let scan = TableRequest::Scan {
        prefix: "claim/".to_owned(),
        after: String::new(),
        limit: usize::MAX,
    };
    let TableReply::Rows(rows) = table.apply(&scan) else {
        return Vec::new();
    };
    rows.iter()
        .filter_map(|row| serde_json::from_str::<ClaimRow>(&row.value).ok())
        .map(|claim| claim.expires_epoch)
        .collect()
}

fn run_due_calls(sweep: &mut Sweep, table: &MemoryTable, now: Instant, is_lost: bool) -> usize {
    let mut calls = 0;
    let mut action = sweep.handle(now, SweepEvent::Tick);
    while let Some(call) = action {
        calls += 1;
        let SweepCall::Table(request) = &call.call else {
            panic!("no claim here has an object");
        };
        let reply = table.apply(request);
        let result = if is_lost {
            Err(StoreError::Unanswered("lost".to_owned()))
        } else {
            Ok(reply)
        };
        let operation = call.operation;
        action = sweep.handle(now, SweepEvent::TableDone { operation, result });
    }
    calls
}

/// Guards against deletion of claims that are still valid, expired claims that stay, and a call
/// rate that grows with the table.
#[test]
fn deletes_exactly_the_expired_claims_at_a_limited_rate() {
    fn property(epochs: Vec<u8>, losses: Vec<bool>) -> bool {
        let table = MemoryTable::new();
        let epoch = EpochRow {
            epoch: 100,
            token: 1,
        };
        let epoch = serde_json::to_string(&epoch).unwrap_or_default();
        put(&table, EPOCH_KEY, epoch);
        for (index, epoch) in epochs.iter().enumerate() {
            let key = format!("claim/{index:04}");
            put(&table, &key, claim(u64::from(*epoch)).to_json());
        }
        let mut now = Instant::now();
        let mut sweep = Sweep::new(1);
        let mut calls = sweep
            .handle(now, SweepEvent::Lease { held: false })
            .iter()
            .len();
        let was_idle = calls == 0 && run_due_calls(&mut sweep, &table, now, false) == 0;
        sweep.handle(now, SweepEvent::Lease { held: true });
        // The `Lease` event started a call, which is abandoned after its time-out.
        now += Duration::from_secs(30);
        // The sweep makes no progress while replies are lost, so 60 more steps follow the last
        // loss.
        for step in 0..losses.len() + 60 {
            let is_lost = losses.get(step).copied().unwrap_or(false);
            calls = calls.max(run_due_calls(&mut sweep, &table, now, is_lost));
            now += CALL_INTERVAL;
        }
        let mut expected: Vec<u64> = epochs.iter().map(|e| u64::from(*e)).collect();
        expected.retain(|epoch| *epoch >= 100);
        was_idle && calls <= 1 && claims(&table) == expected
    }
    seeded::check().quickcheck(property as fn(Vec<u8>, Vec<bool>) -> bool);
}

/// Guards against epochs shorter than their minimum length, for example with two lease holders.
#[test]
fn advances_the_epoch_only_after_its_minimum_length() {
    let table = MemoryTable::new();
    let start = Instant::now();
    let mut sweeps = [Sweep::new(1), Sweep::new(2)];
    let mut now = start;
    for sweep in &mut sweeps {
        sweep.handle(now, SweepEvent::Lease { held: true });
    }
    now += Duration::from_secs(30);
    let first_call_at = now;
    while now < first_call_at + EPOCH_MS * 5 {
        for sweep in &mut sweeps {
            run_due_calls(sweep, &table, now, false);
        }
        now += CALL_INTERVAL;
    }
    let row = table.row(EPOCH_KEY).expect("counted");
    let row: EpochRow = serde_json::from_str(&row.value).expect("epoch row");
    assert!((3..=5).contains(&row.epoch), "{} epochs", row.epoch);
}

/// Guards against objects that are never deleted: those of entries that stopped before the row
/// referred to them, and those whose first deletion failed.
#[test]
fn deletes_the_objects_of_expired_claims_before_their_rows() {
    let table = MemoryTable::new();
    put(
        &table,
        EPOCH_KEY,
        r#"{"epoch": 5, "token": "1"}"#.to_owned(),
    );
    let states = [
        ("claim/done", ClaimState::Done),
        ("claim/keyless-1", ClaimState::Taken),
        ("claim/released", ClaimState::Released),
        ("claim/taken", ClaimState::Taken),
        ("claim/unknown", ClaimState::Unknown),
    ];
    let mut objects = BTreeMap::new();
    for (key, state) in states {
        let mut row = claim(1);
        row.state = state;
        row.answer = None;
        put(&table, key, row.to_json());
        if row.may_have_object(key) {
            objects.insert(row.object_key(key), key);
        }
    }
    let with_objects = objects.clone();
    assert_eq!(with_objects.len(), 3);
    let mut now = Instant::now();
    let mut sweep = Sweep::new(1);
    let mut action = sweep.handle(now, SweepEvent::Lease { held: true });
    for step in 0..100 {
        let is_up = step >= 50;
        if let Some(SweepAction { operation, call }) = action.take() {
            let event = match call {
                SweepCall::Table(request) => {
                    let result = Ok(table.apply(&request));
                    SweepEvent::TableDone { operation, result }
                }
                SweepCall::Object(ObjectRequest::Delete { key }) if is_up => {
                    objects.remove(&key);
                    let result = Ok(ObjectReply::Deleted);
                    SweepEvent::ObjectDone { operation, result }
                }
                SweepCall::Object(_) => {
                    let result = Err(StoreError::Unavailable("outage".to_owned()));
                    SweepEvent::ObjectDone { operation, result }
                }
            };
            action = sweep.handle(now, event);
        }
        assert!(objects.values().all(|key| table.row(key).is_some()));
        if !is_up {
            assert_eq!(objects, with_objects);
        }
        now += CALL_INTERVAL;
        action = action.or_else(|| sweep.handle(now, SweepEvent::Tick));
    }
    assert!(objects.is_empty());
    assert!(states.iter().all(|(key, _)| table.row(key).is_none()));
}
