//! Guards against dispatch to targets that accept no new work, and against decisions that differ
//! for equal seeds and inputs.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Setup;
use common::requirements;
use request::AttemptResult;
use request::Choice;
use request::Router;
use routing::Standing;
use seeded::quickcheck;
use types::TargetState;

fn chosen_target(choice: &Choice) -> Option<String> {
    match choice {
        Choice::Target { target, .. } => Some(target.clone()),
        _ => None,
    }
}

/// Applies an event after which the target must get no new work.
fn stop_new_work(setup: &mut Setup, index: usize, cause: u8) {
    let now = setup.now;
    let name = setup.targets[index].name.clone();
    match cause % 5 {
        0 => setup.report(index, |report| report.leaving = true),
        1 => setup.report(index, |report| report.away = true),
        2 => setup
            .fleet
            .host_leaving(now, &setup.targets[index].host.clone()),
        3 => {
            setup.targets[index].state = TargetState::Draining;
            let target = setup.targets[index].clone();
            setup.fleet.set_target(now, &target);
        }
        _ => setup.fleet.unreachable(now, &name),
    }
}

quickcheck! {
    fn never_chooses_a_target_that_accepts_no_work(causes: Vec<(u8, u8)>, seed: u64) -> bool {
        let mut setup = Setup::new(8, seed);
        let mut is_stopped = [false; 8];
        for (index, cause) in causes {
            let index = usize::from(index) % 8;
            stop_new_work(&mut setup, index, cause);
            is_stopped[index] = true;
            for _ in 0..4 {
                let choice = setup.fleet.choose(setup.now, &requirements(setup.now, 4_000), &[]);
                match chosen_target(&choice) {
                    Some(name) if is_stopped[Setup::index_of(&name)] => return false,
                    None if is_stopped.contains(&false) => return false,
                    _ => {}
                }
            }
        }
        true
    }

    fn chooses_no_target_whose_probes_are_unanswered_for_two_seconds(silent: u8) -> bool {
        let mut setup = Setup::new(6, 7);
        let silent = usize::from(silent) % 6;
        for _ in 0..5 {
            setup.now += Duration::from_millis(500);
            for index in (0..6).filter(|index| *index != silent) {
                setup.probe(index);
            }
        }
        (0..50).all(|_| {
            let choice = setup.fleet.choose(setup.now, &requirements(setup.now, 4_000), &[]);
            chosen_target(&choice).is_some_and(|name| Setup::index_of(&name) != silent)
        })
    }

    fn ejects_at_most_half_of_a_service(failures: Vec<u8>, seed: u64) -> bool {
        let mut setup = Setup::new(7, seed);
        for index in failures.iter().chain([0, 1, 2, 3, 4, 5, 6].iter().cycle().take(70)) {
            let name = setup.targets[usize::from(*index) % 7].name.clone();
            setup.dispatch_and_end(&name, 1_000, AttemptResult::Failed);
        }
        let views = setup.fleet.views(setup.now, "drafts");
        let ejected = views.iter().filter(|view| view.standing == Standing::Ejected).count();
        (1..=3).contains(&ejected)
    }

    fn makes_the_same_decisions_for_the_same_seed(sizes: Vec<u16>, seed: u64) -> bool {
        let decisions = || {
            let mut setup = Setup::new(12, seed);
            sizes.iter().map(|size| {
                let prompt = u32::from(*size);
                let choice = setup.fleet.choose(setup.now, &requirements(setup.now, prompt), &[]);
                let name = chosen_target(&choice);
                if let Some(name) = &name {
                    setup.dispatch(name, prompt);
                }
                name
            }).collect::<Vec<_>>()
        };
        decisions() == decisions()
    }
}

#[test]
fn reopens_an_ejected_target_after_the_ejection_time() {
    let mut setup = Setup::new(4, 3);
    let name = setup.targets[0].name.clone();
    for _ in 0..5 {
        setup.dispatch_and_end(&name, 100, AttemptResult::Failed);
    }
    assert_eq!(setup.standing(0), Standing::Ejected);
    setup.now += routing::ejection::BASE_EJECTION_MS + Duration::from_millis(1);
    (0..4).for_each(|index| setup.probe(index));
    assert_eq!(setup.standing(0), Standing::Open);
}

#[test]
fn ignores_probe_answers_of_an_earlier_incarnation() {
    let mut setup = Setup::new(1, 3);
    let old = setup.targets[0].incarnation;
    setup.targets[0].incarnation = old + 1;
    let target = setup.targets[0].clone();
    setup.fleet.set_target(setup.now, &target);
    setup.fleet.probe_answered(setup.now, &target.name, old);
    assert_eq!(setup.standing(0), Standing::Silent);
}

#[test]
fn returns_never_without_targets_and_wait_while_all_are_away() {
    let mut setup = Setup::new(2, 3);
    let mut other = requirements(setup.now, 100);
    other.service = "unknown".into();
    assert_eq!(setup.fleet.choose(setup.now, &other, &[]), Choice::Never);
    (0..2).for_each(|index| setup.report(index, |report| report.away = true));
    let choice = setup
        .fleet
        .choose(setup.now, &requirements(setup.now, 100), &[]);
    assert!(matches!(choice, Choice::Wait { .. }));
    let mut wrong = requirements(setup.now, 100);
    wrong.needs.model = "another".into();
    assert_eq!(setup.fleet.choose(setup.now, &wrong, &[]), Choice::Never);
}

#[test]
fn chooses_an_excluded_target_only_if_no_other_is_open() {
    let mut setup = Setup::new(2, 3);
    let exclude = [setup.targets[0].name.clone()];
    for _ in 0..20 {
        let choice = setup
            .fleet
            .choose(setup.now, &requirements(setup.now, 100), &exclude);
        assert_eq!(chosen_target(&choice), Some(setup.targets[1].name.clone()));
    }
    stop_new_work(&mut setup, 1, 0);
    let choice = setup
        .fleet
        .choose(setup.now, &requirements(setup.now, 100), &exclude);
    assert_eq!(chosen_target(&choice), Some(setup.targets[0].name.clone()));
}

#[test]
fn returns_infeasible_when_no_target_can_meet_the_deadline() {
    let mut setup = Setup::new(3, 3);
    (0..3)
        .for_each(|index| setup.report(index, |report| report.prefill_backlog_tokens = 10_000_000));
    let choice = setup
        .fleet
        .choose(setup.now, &requirements(setup.now, 100), &[]);
    assert!(matches!(choice, Choice::Infeasible { .. }));
    let _: Instant = setup.now;
}
