//! Guards against role changes that do harm: needless, simultaneous, blind or irreversible ones.

use std::time::Duration;
use std::time::Instant;

use planner::Decision;
use planner::Ended;
use planner::Job;
use planner::Planner;
use planner::Reason;
use planner::Settings;
use planner::Verdict;
use quickcheck::TestResult;
use routing::Standing;
use routing::TargetView;
use seeded::quickcheck;
use types::AttemptId;
use types::Role;
use types::Usage;

const ROLES: [Role; 3] = [Role::Prefill, Role::Mixed, Role::Decode];

/// A service under a steady or changing demand, stepped second by second.
struct World {
    planner: Planner,
    now: Instant,
    views: Vec<TargetView>,
    attempts: u128,
    weight: f64,
}

fn job(prefill_tokens: f64, decode_tokens: f64, within_ms: Duration) -> Job {
    Job {
        prefill_tokens,
        decode_tokens,
        within_ms,
    }
}

impl World {
    fn new(roles: &[u8]) -> Self {
        let settings = Settings::new(&routing::Settings::new("lago-puelo"));
        let views = roles.iter().enumerate().map(|(at, role)| TargetView {
            name: format!("engine-{at}"),
            role: ROLES[usize::from(*role) % 3],
            standing: Standing::Open,
            report_age_ms: Some(Duration::ZERO),
            requests: 4.0,
            prefill_tokens: 0.0,
            decode_tokens: 800.0,
            applied: 0,
        });
        Self {
            planner: Planner::new(settings),
            now: Instant::now(),
            views: views.collect(),
            attempts: 0,
            weight: 1.0,
        }
    }

    /// One second in which engine time is demanded: `prefill` for long prompts, the rest for
    /// long outputs, both as shares of the fleet.
    fn second(&mut self, prefill: f64, decode: f64) -> Decision {
        let engines = f64::from(u32::try_from(self.views.len()).unwrap());
        self.now += Duration::from_secs(1);
        for (prompt, output) in [
            (prefill * engines * 1e3 / 0.1, 0.0),
            (0.0, decode * engines * 1e3 / 0.31),
        ] {
            self.attempts += 1;
            let attempt = AttemptId {
                request: self.attempts,
                number: 1,
            };
            let job = job(prompt, output, Duration::from_mins(10));
            self.planner.dispatched(self.now, attempt, &job);
        }
        let decision = self.planner.consider(self.now, &self.views, self.weight);
        if let Verdict::Change { target, to, .. } = &decision.verdict {
            let view = self.views.iter_mut().find(|view| view.name == *target);
            view.unwrap().role = *to;
        }
        decision
    }

    fn changes(&mut self, seconds: u32, prefill: f64, decode: f64) -> usize {
        (0..seconds)
            .filter(|_| is_change(&self.second(prefill, decode)))
            .count()
    }
}

fn is_change(decision: &Decision) -> bool {
    matches!(decision.verdict, Verdict::Change { .. })
}

fn serves(views: &[TargetView], class: Role) -> bool {
    let serving = |view: &TargetView| view.role == class || view.role == Role::Mixed;
    views.iter().any(serving)
}

fn share(of: u8) -> f64 {
    0.05 + f64::from(of % 100) / 100.0
}

quickcheck! {
    fn comes_to_rest_in_a_steady_mix(roles: Vec<u8>, prefill: u8, decode: u8) -> TestResult {
        if roles.len() < 2 || roles.len() > 16 {
            return TestResult::discard();
        }
        let mut world = World::new(&roles);
        world.changes(1_200, share(prefill), share(decode));
        TestResult::from_bool(world.changes(300, share(prefill), share(decode)) == 0)
    }

    fn never_changes_the_last_target_of_a_class(roles: Vec<u8>, mixes: Vec<(u8, u8)>) -> TestResult {
        let mut world = World::new(&roles);
        let served = ROLES.map(|class| serves(&world.views, class));
        if roles.len() > 12 {
            return TestResult::discard();
        }
        for (prefill, decode) in mixes.iter().take(8) {
            world.changes(120, share(*prefill), share(*decode));
            for (class, served) in [Role::Prefill, Role::Decode].into_iter().zip([served[0], served[2]]) {
                if served && !serves(&world.views, class) {
                    return TestResult::failed();
                }
            }
        }
        TestResult::passed()
    }

    /// Guards against seconds without a target for a class while its only one changes between two
    /// roles that both serve it.
    fn class_has_another_target_during_a_change(roles: Vec<u8>, mixes: Vec<(u8, u8)>) -> TestResult {
        if roles.len() > 12 {
            return TestResult::discard();
        }
        let mut world = World::new(&roles);
        world.weight = 0.1;
        for (prefill, decode) in mixes.iter().take(8) {
            for _ in 0..120 {
                let verdict = world.second(share(*prefill), share(*decode)).verdict;
                let Verdict::Change { target, from, .. } = verdict else {
                    continue;
                };
                let mut others = world.views.clone();
                others.retain(|view| view.name != target);
                let serves_class = |class| from == class || from == Role::Mixed;
                let classes = [Role::Prefill, Role::Decode].into_iter().filter(|class| serves_class(*class));
                if !classes.into_iter().all(|class| serves(&others, class)) {
                    return TestResult::failed();
                }
            }
        }
        TestResult::passed()
    }

    fn changes_nothing_while_a_target_is_unavailable(which: u8, standing: u8) -> bool {
        let mut world = World::new(&[0, 1, 1, 2, 2, 2]);
        world.changes(30, 0.3, 0.4);
        let standing = [Standing::Away, Standing::Leaving, Standing::HostLeaving, Standing::Silent];
        let at = usize::from(which) % world.views.len();
        world.views[at].standing = standing[usize::from(which ^ 3) % standing.len()];
        (0..50).all(|_| !is_change(&world.second(0.8, 0.1)))
    }

    fn changes_nothing_on_stale_load(which: u8) -> bool {
        let mut world = World::new(&[0, 1, 1, 2, 2, 2]);
        let at = usize::from(which) % world.views.len();
        world.views[at].report_age_ms = Some(Duration::from_secs(10));
        world.changes(300, 0.8, 0.1) == 0
    }

    fn gives_the_same_decisions_for_the_same_events(roles: Vec<u8>, mixes: Vec<(u8, u8)>) -> bool {
        let run = || {
            let mut world = World::new(&roles);
            let decisions = mixes.iter().take(4).flat_map(|(prefill, decode)| {
                (0..60).map(|_| world.second(share(*prefill), share(*decode))).collect::<Vec<_>>()
            });
            decisions.collect::<Vec<_>>()
        };
        run() == run()
    }
}

#[test]
fn follows_a_swing_that_lasts() {
    let mut world = World::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
    assert_eq!(world.changes(60, 0.1, 0.4), 0);
    let changes = world.changes(600, 1.0, 0.1);
    assert!(changes > 0);
    let prefill = world.views.iter().filter(|view| view.role == Role::Prefill);
    assert!(prefill.count() > 1);
}

#[test]
fn a_higher_weight_means_no_more_changes() {
    let count = |weight| {
        let mut world = World::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
        world.weight = weight;
        world.changes(60, 0.1, 0.4);
        world.changes(90, 0.6, 0.2) + world.changes(90, 0.1, 0.4)
    };
    assert!(count(10.0) <= count(1.0));
    assert_eq!(count(1e6), 0);
}

#[test]
fn waits_for_a_change_to_complete_before_the_next() {
    let mut world = World::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
    world.changes(60, 0.1, 0.4);
    let first = (0..600).find_map(|_| match world.second(1.0, 0.1).verdict {
        Verdict::Change { target, .. } => Some(target),
        Verdict::Keep(_) => None,
    });
    let target = first.expect("a change");
    let view = world.views.iter_mut().find(|view| view.name == target);
    view.unwrap().standing = Standing::Away;
    for _ in 0..30 {
        let decision = world.second(1.0, 0.1);
        let in_progress = Reason::InProgress {
            target: target.clone(),
        };
        assert_eq!(decision.verdict, Verdict::Keep(in_progress));
    }
}

#[test]
fn explains_a_refusal_once_per_reason() {
    let mut world = World::new(&[0, 1, 2]);
    let news = (0..19).filter(|_| world.second(0.2, 0.2).is_news).count();
    assert_eq!(news, 1);
}

#[test]
fn refused_work_counts_as_demand() {
    let capacity = |refused: bool| {
        let mut world = World::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
        world.weight = 1e6;
        for _ in 0..60 {
            if refused {
                let job = job(60_000.0, 0.0, Duration::from_mins(10));
                world.planner.refused(world.now, &job);
            }
            world.second(0.3, 0.3);
        }
        world.second(0.3, 0.3).figures.capacity
    };
    assert!(capacity(true) < capacity(false));
}

/// Guards against taking decode engines from short questions whose callers hang up before a busy
/// prefill engine has answered.
#[test]
fn impatient_questions_are_not_counted_for_prefill_engines() {
    let demand = |within_ms: Duration| {
        let mut world = World::new(&[0, 1, 2]);
        world.weight = 1e6;
        let question = job(600.0, 80.0, within_ms);
        // Nothing is measured in the first 20 s.
        for _ in 0..30 {
            world.planner.refused(world.now, &question);
            world.second(0.0, 0.0);
        }
        world.second(0.0, 0.0).figures.fast
    };
    assert!(demand(Duration::from_secs(5)).prefill_class.prefill > 0.0);
    let impatient = demand(Duration::from_millis(1_600));
    assert!(impatient.prefill_class.prefill <= 0.0);
    assert!(impatient.decode_class.prefill > 0.0);
}

/// Guards against long reads taking the decode engines that short questions need, which are then
/// answered after their callers have hung up.
#[test]
fn long_reads_take_no_engine_that_urgent_questions_need() {
    let changes = |within_ms: Duration| {
        let mut world = World::new(&[0, 0, 2, 2]);
        let question = job(0.0, 9_000.0, within_ms);
        let seconds = (0..200).filter(|_| {
            world.planner.refused(world.now, &question);
            let verdict = world.second(2.0, 0.0).verdict;
            matches!(
                verdict,
                Verdict::Change {
                    from: Role::Decode,
                    to: Role::Prefill,
                    ..
                }
            )
        });
        seconds.count()
    };
    assert!(changes(Duration::from_hours(1)) > 0);
    assert_eq!(changes(Duration::from_secs(1)), 0);
}

/// Guards against a service whose engines state no usage and which therefore seems to have no
/// demand, so that its roles never change.
#[test]
fn demand_stays_when_answers_state_no_usage() {
    let world = World::new(&[0, 2, 2, 2]);
    let mut figures = Vec::new();
    for settles in [false, true] {
        let mut planner = Planner::new(Settings::new(&routing::Settings::new("lago-puelo")));
        for request in 0..60 {
            let attempt = AttemptId { request, number: 1 };
            let job = job(4_000.0, 100.0, Duration::from_mins(1));
            let now = world.now + Duration::from_secs(1) * u32::try_from(request).unwrap();
            planner.dispatched(now, attempt, &job);
            if settles {
                planner.settled(now, attempt, Ended::Answered(Usage::default()));
            }
        }
        let end = world.now + Duration::from_mins(1);
        let decision = planner.consider(end, &world.views, world.weight);
        figures.push(decision.figures.fast);
    }
    assert_eq!(figures[0], figures[1]);
}
