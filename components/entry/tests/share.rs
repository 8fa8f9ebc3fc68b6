//! Shares when targets and entries change.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use entry::core::share::Shares;
use types::LoadedModel;
use types::Role;
use types::ServiceKind;
use types::Target;
use types::TargetName;
use types::TargetState;

const LIMIT: usize = 8;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn target(index: u16, state: TargetState) -> Target {
    Target {
        name: format!("engine-{index}"),
        service: "mesa".to_owned(),
        kind: ServiceKind::Model,
        data_centre: format!("place-{}", index % 3),
        host: format!("host-{index}"),
        agent: address(index),
        incarnation: 1,
        honours_fencing: true,
        state,
        role: Role::Mixed,
        loaded: LoadedModel::default(),
        applied: 0,
    }
}

fn shares(own: u16, entries: u16, targets: u16) -> Shares {
    let peers: Vec<SocketAddr> = (0..entries).map(address).collect();
    let mut shares = Shares::new(LIMIT, address(own), &peers);
    for index in 0..targets {
        shares.set(&target(index, TargetState::Active));
    }
    shares
}

fn share(own: u16, entries: u16, targets: u16) -> BTreeSet<TargetName> {
    let added = shares(own, entries, targets).recompute().added;
    added.into_iter().collect()
}

/// Guards against targets that no entry uses, data centres without a target in the share, and
/// shares whose size grows with the fleet.
#[test]
fn covers_all_targets_and_all_data_centres_with_bounded_shares() {
    fn property(entries: u8, targets: u8) -> bool {
        let (entries, targets) = (u16::from(entries % 12) + 1, u16::from(targets));
        let shares: Vec<_> = (0..entries)
            .map(|own| share(own, entries, targets))
            .collect();
        let entry_count = |index: u16| {
            let name = format!("engine-{index}");
            shares.iter().filter(|share| share.contains(&name)).count()
        };
        let is_covered =
            (0..targets).all(|index| entry_count(index) >= usize::from(entries.min(2)));
        let has_data_centres = shares.iter().all(|share| {
            (0..3.min(targets)).all(|data_centre| {
                let of_data_centre = (data_centre..targets).step_by(3);
                let present = of_data_centre.clone().count().min(2);
                let chosen =
                    of_data_centre.filter(|index| share.contains(&format!("engine-{index}")));
                chosen.count() >= present
            })
        });
        let total: usize = shares.iter().map(BTreeSet::len).sum();
        // Each target is in two shares; per entry, data centres add at most 6 targets and
        // the limit 8.
        let most = 2 * usize::from(targets) + usize::from(entries) * (LIMIT + 6);
        is_covered && has_data_centres && total <= most
    }
    seeded::check()
        .tests(seeded::cases(60))
        .quickcheck(property as fn(u8, u8) -> bool);
}

/// Guards against reconnecting to all targets when one target or entry changes, and against small
/// deployments in which an entry does not use all targets.
#[test]
fn changes_few_targets_with_one_target_or_entry() {
    assert_eq!(share(0, 5, 8).len(), 8);
    for own in 0..10 {
        let before = share(own, 10, 100);
        let target = share(own, 10, 101);
        assert!(before.symmetric_difference(&target).count() <= 3);
        let entry = share(own, 11, 100);
        // A new entry becomes one of the two required entries of 100 * 2 / 11 targets. Each of the
        // ten other entries loses a tenth of these and may replace them.
        assert!(before.symmetric_difference(&entry).count() <= 10);
    }
}

/// Guards against a service that is unavailable because all targets of the share are, and against
/// a share that stays widened after recovery.
#[test]
fn widens_while_no_target_is_usable_and_narrows_after_recovery() {
    let mut now = Instant::now();
    let mut shares = shares(0, 100, 100);
    let regular: BTreeSet<TargetName> = shares.recompute().added.into_iter().collect();
    assert!(regular.len() < 20);
    let mut size = regular.len();
    for _ in 0..20 {
        now += Duration::from_secs(1);
        shares.update_usable(now, "mesa", &BTreeSet::new(), false);
        size += shares.recompute().added.len();
    }
    assert_eq!(size, 100);
    for _ in 0..=60 {
        assert_eq!(shares.recompute().removed.len(), 0);
        now += Duration::from_secs(1);
        shares.update_usable(now, "mesa", &regular, false);
    }
    assert_eq!(shares.recompute().removed.len(), 100 - regular.len());
    assert!(regular.iter().all(|name| shares.contains(name)));
}

/// Guards against role decisions based on a part of the targets, and against withdrawn targets that
/// fill the share.
#[test]
fn planner_uses_all_targets_and_withdrawn_ones_rank_last() {
    let mut shares = shares(0, 100, 100);
    let regular = shares.recompute().added.len();
    shares.update_usable(Instant::now(), "mesa", &BTreeSet::new(), true);
    assert_eq!(shares.recompute().added.len(), 100 - regular);
    shares.update_usable(Instant::now(), "mesa", &BTreeSet::new(), false);
    assert_eq!(shares.recompute().removed.len(), 100 - regular);
    for index in 0..92 {
        shares.set(&target(index, TargetState::Withdrawn));
    }
    shares.recompute();
    assert!((92..100).all(|index| shares.contains(&format!("engine-{index}"))));
}
