//! Guards against new work for targets that should get none, and against unequal runs of equal
//! inputs.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::World;
use common::need;
use request::Choice;
use request::Router;
use request::Settlement;
use routing::Standing;
use seeded::quickcheck;
use types::TargetState;

fn chosen(choice: &Choice) -> Option<String> {
    match choice {
        Choice::Target { target, .. } => Some(target.clone()),
        _ => None,
    }
}

/// Applies one sign that ends new work at a target.
fn end_work(world: &mut World, at: usize, sign: u8) {
    let now = world.now;
    let name = world.targets[at].name.clone();
    match sign % 5 {
        0 => world.report(at, |report| report.leaving = true),
        1 => world.report(at, |report| report.away = true),
        2 => world
            .fleet
            .host_leaving(now, &world.targets[at].host.clone()),
        3 => {
            world.targets[at].state = TargetState::Draining;
            let target = world.targets[at].clone();
            world.fleet.target_set(now, &target);
        }
        _ => world.fleet.unreachable(now, &name),
    }
}

quickcheck! {
    fn never_chooses_a_target_after_any_sign_of_leaving(signs: Vec<(u8, u8)>, seed: u64) -> bool {
        let mut world = World::new(8, seed);
        let mut gone = [false; 8];
        for (at, sign) in signs {
            let at = usize::from(at) % 8;
            end_work(&mut world, at, sign);
            gone[at] = true;
            for _ in 0..4 {
                let choice = world.fleet.choose(world.now, &need(world.now, 4_000), &[]);
                match chosen(&choice) {
                    Some(name) if gone[World::index(&name)] => return false,
                    None if gone.contains(&false) => return false,
                    _ => {}
                }
            }
        }
        true
    }

    fn chooses_no_target_whose_probes_are_unanswered_for_two_seconds(silent: u8) -> bool {
        let mut world = World::new(6, 7);
        let silent = usize::from(silent) % 6;
        for _ in 0..5 {
            world.now += Duration::from_millis(500);
            for at in (0..6).filter(|at| *at != silent) {
                world.probe(at);
            }
        }
        (0..50).all(|_| {
            let choice = world.fleet.choose(world.now, &need(world.now, 4_000), &[]);
            chosen(&choice).is_some_and(|name| World::index(&name) != silent)
        })
    }

    fn ejects_at_most_half_of_a_service(failures: Vec<u8>, seed: u64) -> bool {
        let mut world = World::new(7, seed);
        for at in failures.iter().chain([0, 1, 2, 3, 4, 5, 6].iter().cycle().take(70)) {
            let name = world.targets[usize::from(*at) % 7].name.clone();
            world.run(&name, 1_000, Settlement::Failed);
        }
        let views = world.fleet.views(world.now, "drafts");
        let ejected = views.iter().filter(|view| view.standing == Standing::Ejected).count();
        (1..=3).contains(&ejected)
    }

    fn gives_the_same_decisions_for_the_same_seed(sizes: Vec<u16>, seed: u64) -> bool {
        let run = || {
            let mut world = World::new(12, seed);
            sizes.iter().map(|size| {
                let prompt = u32::from(*size);
                let choice = world.fleet.choose(world.now, &need(world.now, prompt), &[]);
                let name = chosen(&choice);
                if let Some(name) = &name {
                    world.dispatch(name, prompt);
                }
                name
            }).collect::<Vec<_>>()
        };
        run() == run()
    }
}

#[test]
fn takes_an_ejected_target_back_after_its_time() {
    let mut world = World::new(4, 3);
    let name = world.targets[0].name.clone();
    for _ in 0..5 {
        world.run(&name, 100, Settlement::Failed);
    }
    assert_eq!(world.standing(0), Standing::Ejected);
    world.now += routing::ejection::FIRST_MS + Duration::from_millis(1);
    (0..4).for_each(|at| world.probe(at));
    assert_eq!(world.standing(0), Standing::Open);
}

#[test]
fn ignores_an_earlier_run_of_a_target() {
    let mut world = World::new(1, 3);
    let old = world.targets[0].incarnation;
    world.targets[0].incarnation = old + 1;
    let target = world.targets[0].clone();
    world.fleet.target_set(world.now, &target);
    world.fleet.probe_answered(world.now, &target.name, old);
    assert_eq!(world.standing(0), Standing::Silent);
}

#[test]
fn says_never_without_targets_and_wait_while_all_are_away() {
    let mut world = World::new(2, 3);
    let mut other = need(world.now, 100);
    other.service = "unknown".into();
    assert_eq!(world.fleet.choose(world.now, &other, &[]), Choice::Never);
    (0..2).for_each(|at| world.report(at, |report| report.away = true));
    let choice = world.fleet.choose(world.now, &need(world.now, 100), &[]);
    assert!(matches!(choice, Choice::Wait { .. }));
    let mut wrong = need(world.now, 100);
    wrong.needs.model = "another".into();
    assert_eq!(world.fleet.choose(world.now, &wrong, &[]), Choice::Never);
}

#[test]
fn uses_an_excluded_target_only_when_nothing_else_is_left() {
    let mut world = World::new(2, 3);
    let exclude = [world.targets[0].name.clone()];
    for _ in 0..20 {
        let choice = world
            .fleet
            .choose(world.now, &need(world.now, 100), &exclude);
        assert_eq!(chosen(&choice), Some(world.targets[1].name.clone()));
    }
    end_work(&mut world, 1, 0);
    let choice = world
        .fleet
        .choose(world.now, &need(world.now, 100), &exclude);
    assert_eq!(chosen(&choice), Some(world.targets[0].name.clone()));
}

#[test]
fn says_infeasible_when_no_target_can_meet_the_deadline() {
    let mut world = World::new(3, 3);
    (0..3).for_each(|at| world.report(at, |report| report.prefill_backlog_tokens = 10_000_000));
    let choice = world.fleet.choose(world.now, &need(world.now, 100), &[]);
    assert!(matches!(choice, Choice::Infeasible { .. }));
    let _: Instant = world.now;
}
