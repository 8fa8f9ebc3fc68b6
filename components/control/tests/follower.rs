//! Followers of the log: polls, hints, peers, outages and restarts in any order.

mod common;

use common::World;
use common::change;
use common::followers::Fleet;
use common::ms;
use control::FollowerAction;
use control::FollowerEvent;
use control::PeerAnswer;
use seeded::quickcheck;

/// Guards against a configuration that reverts, differs from the log, or stays behind.
#[test]
fn follower_never_goes_back_and_reaches_the_head() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut fleet = Fleet::new(World::with_targets(2));
        for step in steps {
            fleet.step(step);
        }
        fleet.outage = false;
        fleet.settle(80);
        let head = fleet.world.head();
        let now = fleet.now();
        fleet
            .entries
            .iter()
            .all(|entry| entry.applied == head && entry.follower.behind(now).is_none())
    }
    // Long histories, in which entries restart and fall behind each other several times.
    let mut check = seeded::check_sized(1000);
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

quickcheck! {
    /// Guards against entries that need the table although a peer has what they lack, both
    /// for a snapshot after a restart and for a few changes.
    fn peers_stand_in_for_the_table(changes: Vec<u8>, restarted: bool) -> bool {
        let mut fleet = Fleet::new(World::with_targets(2));
        fleet.settle(8);
        for choice in changes {
            fleet.change_something(choice);
        }
        // Entry 0 alone sees the changes before the outage.
        fleet.settle_one(0);
        fleet.outage = true;
        if restarted {
            fleet.entries[1] = fleet.started();
        }
        let head = fleet.world.head();
        let now = fleet.now();
        assert_eq!(fleet.entries[0].applied, head);
        fleet.handle(1, FollowerEvent::Hint { revision: head });
        let told = fleet.entries[1].applied == head || fleet.entries[1].follower.behind(now)
            .is_some_and(|behind| behind.known == head);
        fleet.settle(60);
        told && fleet.entries[1].applied == head
    }
}

/// Guards against a hint that has to wait for the next poll, also when it arrives while a call
/// is under way.
#[test]
fn hint_is_followed_at_once() {
    let mut fleet = Fleet::new(World::with_targets(1));
    fleet.settle(8);
    for call_under_way in [false, true] {
        if call_under_way {
            fleet.elapsed += ms(1000);
            fleet.handle(0, FollowerEvent::Tick);
            fleet.execute(0);
        }
        fleet.world.run(change("p", 7)).unwrap();
        let revision = fleet.world.head();
        fleet.handle(0, FollowerEvent::Hint { revision });
        if call_under_way {
            fleet.deliver(0, 0);
        }
        fleet.execute(0);
        fleet.deliver(0, 0);
        assert_eq!(fleet.entries[0].applied, revision);
    }
}

/// Guards against entries that together exceed the table's rate of reads while many changes
/// are made, for example when many agents register at once.
#[test]
fn many_hints_cause_few_reads() {
    let mut fleet = Fleet::new(World::with_targets(1));
    fleet.settle(8);
    let mut reads = 0;
    for limit in 0..100 {
        fleet.world.run(change("p", limit)).unwrap();
        fleet.elapsed += ms(10);
        let revision = fleet.world.head();
        fleet.handle(0, FollowerEvent::Hint { revision });
        reads += fleet.entries[0].calls.len();
        fleet.execute(0);
        fleet.deliver(0, 0);
    }
    // One read each 200 ms of the second, the first one at once, and one poll.
    assert!((5..=7).contains(&reads), "{reads} reads");
    fleet.settle(8);
    assert_eq!(fleet.entries[0].applied, fleet.world.head());
}

/// Guards against snapshots and logs that are cut at the size of one page or one frame.
#[test]
fn large_configuration_is_read_in_pages_and_given_in_parts() {
    let world = World::with_targets(2000);
    let mut fleet = Fleet::new(world);
    fleet.settle_one(0);
    assert_eq!(fleet.entries[0].applied, fleet.world.head());
    fleet.outage = true;
    let asks = FollowerEvent::PeerAsks { peer: 1, after: 0 };
    fleet.handle(0, asks);
    let parts: Vec<usize> = fleet.entries[1]
        .inbox
        .iter()
        .map(|event| match event {
            FollowerEvent::PeerAnswered {
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
    assert_eq!(fleet.entries[1].applied, fleet.world.head());
}

/// Guards against a snapshot that is put together from parts of two transfers.
#[test]
fn snapshot_with_missing_part_is_not_applied() {
    let mut fleet = Fleet::new(World::with_targets(1));
    let answer = |part| PeerAnswer::Snapshot {
        head: 3,
        part,
        parts: 3,
        records: Vec::new(),
    };
    for part in [0, 2, 1, 2] {
        let answer = answer(part);
        fleet.handle(0, FollowerEvent::PeerAnswered { peer: 1, answer });
    }
    assert_eq!(fleet.entries[0].follower.snapshot(), None);
}

/// Guards against a restarted entry that serves an older configuration than its earlier run did,
/// because the first peer that it asked lags behind the others.
#[test]
fn first_snapshot_of_a_peer_that_lags_is_not_applied() {
    let mut fleet = Fleet::new(World::with_targets(2));
    fleet.settle(8);
    let lagging = fleet.world.head();
    fleet.world.run(change("p", 7)).unwrap();
    let head = fleet.world.head();
    fleet.outage = true;
    fleet.entries[0] = fleet.started();
    fleet.handle(0, FollowerEvent::Hint { revision: head });
    let records = |revision| {
        let records = fleet.world.at(revision).records();
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
        fleet.handle(0, FollowerEvent::PeerAnswered { peer: 1, answer });
        assert_eq!(fleet.entries[0].applied, applied);
    }
}

/// Guards against changes that are applied although an earlier one is missing, and against
/// changes that are applied twice.
#[test]
fn records_that_do_not_follow_are_not_applied() {
    let mut fleet = Fleet::new(World::with_targets(1));
    fleet.settle(8);
    for limit in 0..3 {
        fleet.world.run(change("p", limit)).unwrap();
    }
    let log = fleet.world.log();
    let answer = |records: &[types::Change]| FollowerEvent::PeerAnswered {
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
    let mut fleet = Fleet::new(World::with_targets(1));
    fleet.handle(0, FollowerEvent::Tick);
    for _ in 0..5 {
        fleet.execute(0);
        fleet.deliver(0, 0);
    }
    // The last page is read from the table, and its reply is slow.
    fleet.execute(0);
    fleet.world.run(change("p", 7)).unwrap();
    fleet.settle_one(1);
    let asks = FollowerEvent::PeerAsks { peer: 0, after: 0 };
    fleet.handle(1, asks);
    fleet.deliver_peer(0);
    assert_eq!(fleet.entries[0].applied, 4);
    fleet.deliver(0, 0);
    assert_eq!(fleet.entries[0].applied, 4);
}

/// Guards against a record that this version does not understand and that is skipped.
#[test]
fn stops_before_a_record_that_it_does_not_understand() {
    let mut fleet = Fleet::new(World::with_targets(1));
    fleet.settle(8);
    let now = fleet.now();
    let follower = &mut fleet.entries[0].follower;
    let records = vec!["{\"revision\":4}".to_owned()];
    let answer = PeerAnswer::Changes { head: 4, records };
    let actions = follower.handle(now, FollowerEvent::PeerAnswered { peer: 1, answer });
    assert!(matches!(actions[0], FollowerAction::Rejected { .. }));
    assert_eq!(follower.applied(), 3);
    assert!(follower.behind(now).is_some());
}
