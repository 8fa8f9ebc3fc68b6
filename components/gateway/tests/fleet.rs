//! Beliefs about targets: leaving, outages of the store, restarts, loads of peers.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::MODEL_SERVICE;
use common::PLAIN_SERVICE;
use common::target;
use common::targets;
use gateway::fleet::Belief;
use gateway::fleet::Fleet;
use gateway::fleet::Load;
use gateway::fleet::PEER_SILENCE_MS;
use gateway::fleet::PeerLoad;
use gateway::fleet::RETURN_MS;
use types::Role;

fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replaced(now, targets());
    fleet
}

fn names(fleet: &Fleet, now: Instant) -> Vec<String> {
    let usable = fleet.usable(&PLAIN_SERVICE.to_owned(), now);
    usable.iter().map(|m| m.entry.name.clone()).collect()
}

#[test]
fn leaving_target_gets_no_new_work() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let mut entry = target("desk-1", PLAIN_SERVICE, Role::Mixed);
    entry.is_leaving = true;
    assert_eq!(fleet.written(entry), Some(Belief::Leaving));
    assert_eq!(names(&fleet, now), ["desk-2"]);
}

#[test]
fn removed_target_gets_no_new_work() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    assert_eq!(fleet.removed(now, "desk-1"), Some(Belief::Gone));
    assert_eq!(names(&fleet, now), ["desk-2"]);
}

#[test]
fn entries_that_lapsed_during_an_outage_are_used_until_they_had_time_to_come_back() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.store_lost();
    fleet.store_back(now);
    let without: Vec<_> = targets()
        .into_iter()
        .filter(|t| t.name != "desk-1")
        .collect();
    fleet.replaced(now, without);
    assert_eq!(names(&fleet, now), ["desk-1", "desk-2"]);
    let later = now + RETURN_MS + Duration::from_millis(1);
    assert_eq!(fleet.tick(later), [("desk-1".to_owned(), Belief::Gone)]);
    assert_eq!(names(&fleet, later), ["desk-2"]);
}

#[test]
fn entry_that_comes_back_after_an_outage_stays() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.store_lost();
    fleet.store_back(now);
    fleet.removed(now, "desk-1");
    fleet.written(target("desk-1", PLAIN_SERVICE, Role::Mixed));
    assert!(fleet.tick(now + RETURN_MS * 2).is_empty());
    assert_eq!(names(&fleet, now), ["desk-1", "desk-2"]);
}

#[test]
fn target_that_announced_its_leaving_is_not_kept_after_an_outage() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let mut entry = target("desk-1", PLAIN_SERVICE, Role::Mixed);
    entry.is_leaving = true;
    fleet.written(entry);
    fleet.store_lost();
    fleet.store_back(now);
    assert_eq!(fleet.removed(now, "desk-1"), Some(Belief::Gone));
    assert_eq!(names(&fleet, now), ["desk-2"]);
}

#[test]
fn restart_under_the_same_name_begins_without_load_and_memory() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let load = Load {
        reading_ms: 500.0,
        runs: 4.0,
    };
    fleet.begin(now, "read-1", load);
    fleet.reads("read-1", &[11], 1_000);
    let (old_key, old_holder) = {
        let member = fleet.get("read-1").expect("known");
        (member.key, member.holder)
    };
    let mut entry = targets()
        .into_iter()
        .find(|t| t.name == "read-1")
        .expect("known");
    entry.born_ms += 1;
    assert_eq!(fleet.written(entry), Some(Belief::New));
    // Work that went to the earlier run ends without touching the new one.
    fleet.begin(now, "read-1", load);
    fleet.end(now, "read-1", old_key, load);
    let member = fleet.get("read-1").expect("known");
    assert_eq!(member.load(), load);
    assert_ne!(member.holder, old_holder);
    assert_eq!(fleet.hints.matched(member.holder, &[11], 460_000), 0);
}

#[test]
fn loads_of_peers_count_until_they_fall_silent() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let key = fleet.get("read-1").expect("known").key;
    let load = Load {
        reading_ms: 300.0,
        runs: 2.0,
    };
    fleet.peer_reported(now, &"b".to_owned(), vec![PeerLoad { key, load }]);
    fleet.peer_reported(now, &"b".to_owned(), vec![PeerLoad { key, load }]);
    assert_eq!(fleet.get("read-1").expect("known").load(), load);
    fleet.tick(now + PEER_SILENCE_MS + Duration::from_millis(1));
    assert_eq!(fleet.get("read-1").expect("known").load(), Load::default());
}

#[test]
fn targets_that_fail_are_left_out_unless_all_fail() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let fail = |fleet: &mut Fleet, name: &str| {
        for _ in 0..10 {
            fleet.failed(now, name);
        }
    };
    fail(&mut fleet, "desk-1");
    assert_eq!(names(&fleet, now), ["desk-2"]);
    fail(&mut fleet, "desk-2");
    assert_eq!(names(&fleet, now).len(), 2);
}

#[test]
fn role_whose_targets_all_fail_is_not_shut_out_while_another_role_is_well() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    for name in ["write-1", "write-2", "write-3"] {
        for _ in 0..10 {
            fleet.failed(now, name);
        }
    }
    let usable = fleet.usable(&MODEL_SERVICE.to_owned(), now);
    let roles: Vec<_> = usable.iter().map(|m| m.entry.role).collect();
    assert!(
        roles.contains(&Role::Prefill) && roles.contains(&Role::Decode),
        "{roles:?}"
    );
}

#[test]
fn failing_target_is_tried_again_within_seconds_however_often_it_failed() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    for _ in 0..100 {
        fleet.failed(now, "desk-1");
    }
    assert_eq!(names(&fleet, now), ["desk-2"]);
    assert_eq!(names(&fleet, now + Duration::from_secs(6)).len(), 2);
}

#[test]
fn first_processes_by_name_that_are_heard_of_keep_watch() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let hosts = ["a", "b", "c", "d"].map(str::to_owned);
    assert!(fleet.keeps_watch(&hosts[3]), "alone");
    for host in &hosts[..3] {
        fleet.peer_reported(now, host, Vec::new());
    }
    assert!(!fleet.keeps_watch(&hosts[3]), "after three others");
    let later = now + PEER_SILENCE_MS + Duration::from_millis(1);
    fleet.peer_reported(later, &hosts[0], Vec::new());
    fleet.tick(later);
    assert!(fleet.keeps_watch(&hosts[3]), "after two that fell silent");
}
