//! Followers of the change log under polls, hints, exchange with peers, outages and restarts.

mod common;

use common::Fixture;
use common::change;
use common::followers::Fleet;
use common::ms;
use control::FollowerAction;
use control::FollowerEvent;
use control::PeerAnswer;
use seeded::quickcheck;

/// Guards against a follower whose configuration reverts, differs from the log, or does not reach
/// the head.
#[test]
fn follower_never_reverts_and_reaches_the_head() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut fleet = Fleet::new(Fixture::with_targets(2));
        for step in steps {
            fleet.step(step);
        }
        fleet.outage = false;
        fleet.settle(80);
        let head = fleet.fixture.head();
        let now = fleet.now();
        fleet
            .entries
            .iter()
            .all(|entry| entry.applied == head && entry.follower.lag(now).is_none())
    }
    // The sequences are long, so that entries restart and lag behind each other several times.
    let mut check = seeded::check_sized(1000);
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

quickcheck! {
    /// Guards against an entry that receives no changes or no snapshot during an outage of the
    /// table although a peer has them.
    fn peers_provide_changes_and_snapshots_in_an_outage(changes: Vec<u8>, restarted: bool) -> bool {
        let mut fleet = Fleet::new(Fixture::with_targets(2));
        fleet.settle(8);
        for choice in changes {
            fleet.make_change(choice);
        }
        // Only entry 0 reads the changes before the outage.
        fleet.settle_one(0);
        fleet.outage = true;
        if restarted {
            fleet.entries[1] = fleet.start_entry();
        }
        let head = fleet.fixture.head();
        let now = fleet.now();
        assert_eq!(fleet.entries[0].applied, head);
        fleet.handle(1, FollowerEvent::RevisionAnnounced { revision: head });
        let is_known = fleet.entries[1].applied == head || fleet.entries[1].follower.lag(now)
            .is_some_and(|lag| lag.known == head);
        fleet.settle(60);
        is_known && fleet.entries[1].applied == head
    }
}

/// Guards against a hint that takes effect only at the next poll, even if it arrives while a table
/// request is in flight.
#[test]
fn hint_causes_a_read_at_once() {
    let mut fleet = Fleet::new(Fixture::with_targets(1));
    fleet.settle(8);
    for is_call_in_flight in [false, true] {
        if is_call_in_flight {
            fleet.elapsed += ms(1000);
            fleet.handle(0, FollowerEvent::Tick);
            fleet.execute(0);
        }
        fleet.fixture.run(change("p", 7)).unwrap();
        let revision = fleet.fixture.head();
        fleet.handle(0, FollowerEvent::RevisionAnnounced { revision });
        if is_call_in_flight {
            fleet.deliver(0, 0);
        }
        fleet.execute(0);
        fleet.deliver(0, 0);
        assert_eq!(fleet.entries[0].applied, revision);
    }
}

/// Guards against entries that together exceed the read rate of the table while many changes are
/// made, for example when many agents register at once.
#[test]
fn many_hints_cause_few_reads() {
    let mut fleet = Fleet::new(Fixture::with_targets(1));
    fleet.settle(8);
    let mut reads = 0;
    for limit in 0..100 {
        fleet.fixture.run(change("p", limit)).unwrap();
        fleet.elapsed += ms(10);
        let revision = fleet.fixture.head();
        fleet.handle(0, FollowerEvent::RevisionAnnounced { revision });
        reads += fleet.entries[0].calls.len();
        fleet.execute(0);
        fleet.deliver(0, 0);
    }
    // In one second: a read at once, one every 200 ms after it, and one poll.
    assert!((5..=7).contains(&reads), "{reads} reads");
    fleet.settle(8);
    assert_eq!(fleet.entries[0].applied, fleet.fixture.head());
}

/// Guards against a snapshot that is truncated at the size of a page of the table or of a frame
/// between peers.
#[test]
fn large_configuration_is_read_in_pages_and_sent_in_parts() {
    let fixture = Fixture::with_targets(2000);
    let mut fleet = Fleet::new(fixture);
    fleet.settle_one(0);
    assert_eq!(fleet.entries[0].applied, fleet.fixture.head());
    fleet.outage = true;
    let asks = FollowerEvent::ChangesRequested { peer: 1, after: 0 };
    fleet.handle(0, asks);
    let parts: Vec<usize> = fleet.entries[1]
        .inbox
        .iter()
        .map(|event| match event {
            FollowerEvent::ChangesReceived {
                answer: PeerAnswer::Snapshot { records, .. },
                ..
            } => records.iter().map(String::len).sum(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(parts.len() > 1 && parts.iter().all(|&bytes| bytes < 1 << 20));
    while !fleet.entries[1].inbox.is_empty() {
        fleet.deliver_peer(1);
    }
    assert_eq!(fleet.entries[1].applied, fleet.fixture.head());
}

/// Guards against a snapshot with a missing part, or with parts of two transfers.
#[test]
fn snapshot_with_missing_part_is_not_applied() {
    let mut fleet = Fleet::new(Fixture::with_targets(1));
    let answer = |part| PeerAnswer::Snapshot {
        head: 3,
        part,
        parts: 3,
        records: Vec::new(),
    };
    for part in [0, 2, 1, 2] {
        let answer = answer(part);
        fleet.handle(0, FollowerEvent::ChangesReceived { peer: 1, answer });
    }
    assert_eq!(fleet.entries[0].follower.snapshot(), None);
}

/// Guards against a restarted entry that applies an older configuration than its earlier run,
/// because the first peer that answers lags behind the others.
#[test]
fn first_snapshot_of_a_lagging_peer_is_not_applied() {
    let mut fleet = Fleet::new(Fixture::with_targets(2));
    fleet.settle(8);
    let lagging = fleet.fixture.head();
    fleet.fixture.run(change("p", 7)).unwrap();
    let head = fleet.fixture.head();
    fleet.outage = true;
    fleet.entries[0] = fleet.start_entry();
    fleet.handle(0, FollowerEvent::RevisionAnnounced { revision: head });
    let records = |revision| {
        let records = fleet.fixture.at(revision).records();
        let json = |record: &types::Change| serde_json::to_string(record).unwrap();
        records.iter().map(json).collect::<Vec<String>>()
    };
    let answers = [lagging, head].map(|revision| PeerAnswer::Snapshot {
        head: revision,
        part: 0,
        parts: 1,
        records: records(revision),
    });
    for (answer, applied) in answers.into_iter().zip([0, head]) {
        fleet.handle(0, FollowerEvent::ChangesReceived { peer: 1, answer });
        assert_eq!(fleet.entries[0].applied, applied);
    }
}

/// Guards against records that are applied after a gap, or twice.
#[test]
fn records_after_a_gap_and_repeated_records_are_not_applied() {
    let mut fleet = Fleet::new(Fixture::with_targets(1));
    fleet.settle(8);
    for limit in 0..3 {
        fleet.fixture.run(change("p", limit)).unwrap();
    }
    let log = fleet.fixture.log();
    let answer = |records: &[types::Change]| FollowerEvent::ChangesReceived {
        peer: 1,
        answer: PeerAnswer::Changes {
            head: 6,
            records: records
                .iter()
                .map(|record| serde_json::to_string(record).unwrap())
                .collect(),
        },
    };
    fleet.handle(0, answer(&log[4..]));
    assert_eq!(fleet.entries[0].applied, 3);
    fleet.handle(0, answer(&log[2..5]));
    assert_eq!(fleet.entries[0].applied, 5);
    fleet.handle(0, answer(&log[..4]));
    assert_eq!(fleet.entries[0].applied, 5);
}

/// Guards against a snapshot from the table that replaces a newer one from a peer.
#[test]
fn slow_snapshot_does_not_replace_a_newer_one() {
    let mut fleet = Fleet::new(Fixture::with_targets(1));
    fleet.handle(0, FollowerEvent::Tick);
    for _ in 0..5 {
        fleet.execute(0);
        fleet.deliver(0, 0);
    }
    // The last page is read from the table, and its reply is delayed.
    fleet.execute(0);
    fleet.fixture.run(change("p", 7)).unwrap();
    fleet.settle_one(1);
    let asks = FollowerEvent::ChangesRequested { peer: 0, after: 0 };
    fleet.handle(1, asks);
    fleet.deliver_peer(0);
    assert_eq!(fleet.entries[0].applied, 4);
    fleet.deliver(0, 0);
    assert_eq!(fleet.entries[0].applied, 4);
}

/// Guards against a follower that skips a record which this version cannot decode.
#[test]
fn stops_before_a_record_that_cannot_be_decoded() {
    let mut fleet = Fleet::new(Fixture::with_targets(1));
    fleet.settle(8);
    let now = fleet.now();
    let follower = &mut fleet.entries[0].follower;
    let records = vec!["{\"revision\":4}".to_owned()];
    let answer = PeerAnswer::Changes { head: 4, records };
    let actions = follower.handle(now, FollowerEvent::ChangesReceived { peer: 1, answer });
    assert!(matches!(actions[0], FollowerAction::Rejected { .. }));
    assert_eq!(follower.applied(), 3);
    assert!(follower.lag(now).is_some());
}
