//! Guards against role changes that reduce capacity: needless and simultaneous ones, and those
//! made on stale load or that take the last target of a class.

use std::time::Duration;
use std::time::Instant;

use planner::AttemptOutcome;
use planner::Decision;
use planner::Planner;
use planner::Reason;
use planner::RequestWork;
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

/// Planner and targets of one service, simulated in steps of one second.
struct SimulatedService {
    planner: Planner,
    now: Instant,
    views: Vec<TargetView>,
    attempts: u128,
    weight: f64,
}

fn request_work(prefill_tokens: f64, decode_tokens: f64, wait_limit_ms: Duration) -> RequestWork {
    RequestWork {
        prefill_tokens,
        decode_tokens,
        wait_limit_ms,
    }
}

impl SimulatedService {
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

    /// Simulates one second of demand. `prefill` and `decode` are the engine time of requests with
    /// only a prompt and with only an output, as shares of all engines.
    fn step(&mut self, prefill: f64, decode: f64) -> Decision {
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
            let request_work = request_work(prompt, output, Duration::from_mins(10));
            self.planner.dispatched(self.now, attempt, &request_work);
        }
        let decision = self.planner.consider(self.now, &self.views, self.weight);
        if let Verdict::Change { target, to, .. } = &decision.verdict {
            let view = self.views.iter_mut().find(|view| view.name == *target);
            view.unwrap().role = *to;
        }
        decision
    }

    fn count_changes(&mut self, seconds: u32, prefill: f64, decode: f64) -> usize {
        (0..seconds)
            .filter(|_| is_change(&self.step(prefill, decode)))
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
    fn changes_no_role_under_steady_demand(roles: Vec<u8>, prefill: u8, decode: u8) -> TestResult {
        if roles.len() < 2 || roles.len() > 16 {
            return TestResult::discard();
        }
        let mut service = SimulatedService::new(&roles);
        service.count_changes(1_200, share(prefill), share(decode));
        TestResult::from_bool(service.count_changes(300, share(prefill), share(decode)) == 0)
    }

    fn never_changes_the_last_target_of_a_class(roles: Vec<u8>, mixes: Vec<(u8, u8)>) -> TestResult {
        let mut service = SimulatedService::new(&roles);
        let served = ROLES.map(|class| serves(&service.views, class));
        if roles.len() > 12 {
            return TestResult::discard();
        }
        for (prefill, decode) in mixes.iter().take(8) {
            service.count_changes(120, share(*prefill), share(*decode));
            for (class, served) in [Role::Prefill, Role::Decode].into_iter().zip([served[0], served[2]]) {
                if served && !serves(&service.views, class) {
                    return TestResult::failed();
                }
            }
        }
        TestResult::passed()
    }

    /// Guards against a class without an open target while its only target changes between two
    /// roles that both serve the class.
    fn class_has_another_target_during_a_change(roles: Vec<u8>, mixes: Vec<(u8, u8)>) -> TestResult {
        if roles.len() > 12 {
            return TestResult::discard();
        }
        let mut service = SimulatedService::new(&roles);
        service.weight = 0.1;
        for (prefill, decode) in mixes.iter().take(8) {
            for _ in 0..120 {
                let verdict = service.step(share(*prefill), share(*decode)).verdict;
                let Verdict::Change { target, from, .. } = verdict else {
                    continue;
                };
                let mut others = service.views.clone();
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

    fn changes_no_role_while_a_target_is_unavailable(which: u8, standing: u8) -> bool {
        let mut service = SimulatedService::new(&[0, 1, 1, 2, 2, 2]);
        service.count_changes(30, 0.3, 0.4);
        let standing = [Standing::Away, Standing::Leaving, Standing::HostLeaving, Standing::Silent];
        let at = usize::from(which) % service.views.len();
        service.views[at].standing = standing[usize::from(which ^ 3) % standing.len()];
        (0..50).all(|_| !is_change(&service.step(0.8, 0.1)))
    }

    fn changes_no_role_with_stale_load(which: u8) -> bool {
        let mut service = SimulatedService::new(&[0, 1, 1, 2, 2, 2]);
        let at = usize::from(which) % service.views.len();
        service.views[at].report_age_ms = Some(Duration::from_secs(10));
        service.count_changes(300, 0.8, 0.1) == 0
    }

    fn same_events_give_the_same_decisions(roles: Vec<u8>, mixes: Vec<(u8, u8)>) -> bool {
        let run = || {
            let mut service = SimulatedService::new(&roles);
            let decisions = mixes.iter().take(4).flat_map(|(prefill, decode)| {
                (0..60).map(|_| service.step(share(*prefill), share(*decode))).collect::<Vec<_>>()
            });
            decisions.collect::<Vec<_>>()
        };
        run() == run()
    }
}

#[test]
fn changes_roles_after_a_lasting_shift() {
    let mut service = SimulatedService::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
    assert_eq!(service.count_changes(60, 0.1, 0.4), 0);
    let changes = service.count_changes(600, 1.0, 0.1);
    assert!(changes > 0);
    let prefill = service
        .views
        .iter()
        .filter(|view| view.role == Role::Prefill);
    assert!(prefill.count() > 1);
}

#[test]
fn higher_weight_does_not_increase_the_number_of_changes() {
    let count = |weight| {
        let mut service = SimulatedService::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
        service.weight = weight;
        service.count_changes(60, 0.1, 0.4);
        service.count_changes(90, 0.6, 0.2) + service.count_changes(90, 0.1, 0.4)
    };
    assert!(count(10.0) <= count(1.0));
    assert_eq!(count(1e6), 0);
}

#[test]
fn makes_no_change_while_another_is_in_progress() {
    let mut service = SimulatedService::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
    service.count_changes(60, 0.1, 0.4);
    let first = (0..600).find_map(|_| match service.step(1.0, 0.1).verdict {
        Verdict::Change { target, .. } => Some(target),
        Verdict::Keep(_) => None,
    });
    let target = first.expect("a role change within 600 s");
    let view = service.views.iter_mut().find(|view| view.name == target);
    view.unwrap().standing = Standing::Away;
    for _ in 0..30 {
        let decision = service.step(1.0, 0.1);
        let in_progress = Reason::InProgress {
            target: target.clone(),
        };
        assert_eq!(decision.verdict, Verdict::Keep(in_progress));
    }
}

#[test]
fn reports_each_reason_for_keeping_roles_once() {
    let mut service = SimulatedService::new(&[0, 1, 2]);
    let reported = (0..19).filter(|_| service.step(0.2, 0.2).is_news).count();
    assert_eq!(reported, 1);
}

#[test]
fn refused_requests_count_as_demand() {
    let capacity = |refused: bool| {
        let mut service = SimulatedService::new(&[0, 1, 1, 1, 2, 2, 2, 2, 2]);
        service.weight = 1e6;
        for _ in 0..60 {
            if refused {
                let request_work = request_work(60_000.0, 0.0, Duration::from_mins(10));
                service.planner.refused(service.now, &request_work);
            }
            service.step(0.3, 0.3);
        }
        service.step(0.3, 0.3).figures.capacity
    };
    assert!(capacity(true) < capacity(false));
}

/// Guards against decode engines being taken from short requests whose callers disconnect before a
/// fully loaded prefill engine has answered.
#[test]
fn urgent_requests_are_not_counted_in_the_prefill_class() {
    let demand = |wait_limit_ms: Duration| {
        let mut service = SimulatedService::new(&[0, 1, 2]);
        service.weight = 1e6;
        let request = request_work(600.0, 80.0, wait_limit_ms);
        // The planner gives no figures in the first 20 s.
        for _ in 0..30 {
            service.planner.refused(service.now, &request);
            service.step(0.0, 0.0);
        }
        service.step(0.0, 0.0).figures.fast
    };
    assert!(demand(Duration::from_secs(5)).prefill_class.prefill > 0.0);
    let urgent = demand(Duration::from_millis(1_600));
    assert!(urgent.prefill_class.prefill <= 0.0);
    assert!(urgent.decode_class.prefill > 0.0);
}

/// Guards against demand for long prompts taking decode engines from urgent requests, which are
/// then answered after their callers have disconnected.
#[test]
fn prefill_demand_takes_no_decode_engine_from_urgent_requests() {
    let changes = |wait_limit_ms: Duration| {
        let mut service = SimulatedService::new(&[0, 0, 2, 2]);
        let request = request_work(0.0, 9_000.0, wait_limit_ms);
        let steps = (0..200).filter(|_| {
            service.planner.refused(service.now, &request);
            let verdict = service.step(2.0, 0.0).verdict;
            matches!(
                verdict,
                Verdict::Change {
                    from: Role::Decode,
                    to: Role::Prefill,
                    ..
                }
            )
        });
        steps.count()
    };
    assert!(changes(Duration::from_hours(1)) > 0);
    assert_eq!(changes(Duration::from_secs(1)), 0);
}

/// Guards against a service that appears to have no demand, and so never changes a role, because
/// its engines report no usage.
#[test]
fn demand_is_kept_when_answers_report_no_usage() {
    let service = SimulatedService::new(&[0, 2, 2, 2]);
    let mut figures = Vec::new();
    for has_answers in [false, true] {
        let mut planner = Planner::new(Settings::new(&routing::Settings::new("lago-puelo")));
        for request in 0..60 {
            let attempt = AttemptId { request, number: 1 };
            let request_work = request_work(4_000.0, 100.0, Duration::from_mins(1));
            let now = service.now + Duration::from_secs(1) * u32::try_from(request).unwrap();
            planner.dispatched(now, attempt, &request_work);
            if has_answers {
                planner.settled(now, attempt, AttemptOutcome::Answered(Usage::default()));
            }
        }
        let end = service.now + Duration::from_mins(1);
        let decision = planner.consider(end, &service.views, service.weight);
        figures.push(decision.figures.fast);
    }
    assert_eq!(figures[0], figures[1]);
}
