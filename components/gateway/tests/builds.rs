//! Decisions of the core while engines of several builds serve in one service.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use builds::Notice;
use builds::Origin;
use builds::stream_key;
use common::MODEL_SERVICE;
use common::SETTLED_MS;
use common::call;
use common::configuration;
use common::ending;
use common::prompt;
use common::settings;
use common::target;
use gateway::core::CallOutcome;
use gateway::core::Core;
use gateway::core::Decision;
use gateway::core::Ending;
use gateway::core::RefusalCause;
use gateway::core::RequestNumber;
use gateway::deployment::ConfigurationSource;
use gateway::deployment::DeploymentUpdate;
use gateway::deployment::TargetEntry;
use gateway::protocol::CallerRequest;
use gateway::protocol::PrefillResult;
use gateway::protocol::Step;
use types::Role;

/// Time between two steps of a test.
const STEP_MS: Duration = Duration::from_millis(100);

fn engine(name: &str, role: Role, build: Option<&str>) -> TargetEntry {
    let mut entry = target(name, MODEL_SERVICE, role);
    entry.build = build.map(str::to_owned);
    entry
}

/// A core that has never seen other engines than these.
fn core_with(now: Instant, engines: &[TargetEntry]) -> Core {
    let mut core = Core::new(now.checked_sub(SETTLED_MS).unwrap(), settings(), 7);
    let configuration =
        DeploymentUpdate::Configuration(Rc::new(configuration(5)), ConfigurationSource::Snapshot);
    core.apply_update(now, configuration);
    core.apply_update(now, DeploymentUpdate::TargetSnapshot(engines.to_vec()));
    core
}

fn broken_after_events() -> CallOutcome {
    CallOutcome::Broken {
        last_event: Some("3".to_owned()),
        detail: "reset".to_owned(),
        is_closed_by_target: true,
    }
}

/// Breaks the stream of the current call after its first event.
fn begin_and_break(core: &mut Core, now: Instant, number: RequestNumber) -> Decision {
    core.first_byte(now, number);
    core.call_ended(now, number, broken_after_events())
}

// The build was looked up at the first event, when the entry was gone; then any build would do.
#[test]
fn stream_whose_engine_has_left_before_the_first_event_stays_at_its_build() {
    for has_second_of_build in [false, true] {
        let now = Instant::now();
        let mut engines = vec![engine("old-1", Role::Mixed, Some("7.1"))];
        let mut core = core_with(now, &engines);
        let (number, first) = core.start(now, prompt("/tag/1", 1, 200, 100));
        assert_eq!(call(first).call.target, "old-1");
        engines = vec![engine("new-1", Role::Mixed, Some("7.2"))];
        if has_second_of_build {
            engines.push(engine("old-2", Role::Mixed, Some("7.1")));
        }
        let now = now + STEP_MS;
        core.apply_update(now, DeploymentUpdate::TargetSnapshot(engines));
        let next = begin_and_break(&mut core, now, number);
        if has_second_of_build {
            assert_eq!(call(next).call.target, "old-2");
        } else {
            assert_eq!(ending(next), Ending::Cut);
        }
    }
}

// An engine that comes back under its name has another build than the one that began the stream.
#[test]
fn stream_of_an_engine_that_came_back_with_another_build_does_not_go_on_there() {
    let now = Instant::now();
    let mut core = core_with(now, &[engine("a", Role::Mixed, Some("7.1"))]);
    let (number, first) = core.start(now, prompt("/tag/1", 1, 200, 100));
    call(first);
    for (name, build) in [("a", "7.2"), ("b", "7.2")] {
        let mut entry = engine(name, Role::Mixed, Some(build));
        entry.started_at_ms = 2;
        core.apply_update(now, DeploymentUpdate::TargetWritten(entry));
    }
    let next = begin_and_break(&mut core, now, number);
    assert_eq!(ending(next), Ending::Cut);
}

// An unknown build was taken as leave to go on at any.
#[test]
fn stream_begun_at_an_unknown_build_goes_on_nowhere() {
    let now = Instant::now();
    for other in [None, Some("7.1")] {
        let engines = [
            engine("a", Role::Mixed, None),
            engine("b", Role::Decode, other),
        ];
        let mut core = core_with(now, &engines[..1]);
        let (number, first) = core.start(now, prompt("/tag/1", 1, 200, 100));
        assert_eq!(call(first).call.target, "a");
        core.apply_update(now, DeploymentUpdate::TargetSnapshot(engines.to_vec()));
        let next = begin_and_break(&mut core, now, number);
        assert_eq!(ending(next), Ending::Cut);
    }
}

// The build of a KV cache was that of its engine's entry at the time of the transfer, or none.
#[test]
fn kv_cache_is_transferred_only_within_the_known_build_of_its_prefill() {
    let now = Instant::now();
    for (read, write, is_transferred) in [
        (Some("7.1"), Some("7.1"), true),
        (Some("7.1"), Some("7.2"), false),
        (None, None, false),
    ] {
        let engines = [
            engine("read", Role::Prefill, read),
            engine("write", Role::Decode, write),
        ];
        let mut core = core_with(now, &engines);
        let (_, first) = core.start(now, prompt("/draft/1", 1, 3_300, 700));
        let is_prefill = call(first).call.step == Step::Prefill;
        assert_eq!(is_prefill, is_transferred, "{read:?} {write:?}");
    }
}

// The entry of the prefill engine is gone when its answer comes; the address is that of the call.
#[test]
fn kv_cache_of_an_engine_that_has_left_meanwhile_is_found_at_its_address() {
    let now = Instant::now();
    let engines = [
        engine("read", Role::Prefill, Some("7.1")),
        engine("write", Role::Decode, Some("7.1")),
    ];
    let mut core = core_with(now, &engines);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 3_300, 700));
    assert_eq!(call(first).call.step, Step::Prefill);
    let mut back = engine("read", Role::Prefill, Some("7.2"));
    back.started_at_ms = 2;
    back.address.set_port(1);
    core.apply_update(now, DeploymentUpdate::TargetWritten(back));
    let prefilled = CallOutcome::Prefilled(PrefillResult {
        handle: "m1".to_owned(),
    });
    let Step::Run(Some(transfer)) = call(core.call_ended(now, number, prefilled)).call.step else {
        panic!("the KV cache is not used");
    };
    assert_eq!(transfer.address, engines[0].address);
}

/// A request that takes up the stream which the request `began` began.
fn take_up(path: &str, began: Option<&str>) -> Rc<CallerRequest> {
    let mut request = CallerRequest::clone(&prompt(path, 1, 200, 100));
    request.resume_after = Some("3".to_owned());
    request.resumed_request = began.map(str::to_owned);
    Rc::new(request)
}

fn refusal(decision: Decision) -> Option<RefusalCause> {
    match ending(decision) {
        Ending::Refuse { cause, .. } => Some(cause),
        _ => None,
    }
}

// All gateways had been killed; a minute later, the only build that they had seen since was taken
// for the one that began the stream.
#[test]
fn stream_begun_before_all_gateways_were_lost_does_not_go_on_at_the_build_seen_since() {
    let start = Instant::now();
    let mut core = core_with(start, &[engine("new-1", Role::Mixed, Some("7.2"))]);
    for after in [0, 30, 61, 119, 3_600] {
        let now = start + Duration::from_secs(after);
        core.tick(now);
        let (_, decision) = core.start(now, take_up("/tag/1", Some("before")));
        let cause = refusal(decision);
        assert_eq!(cause, Some(RefusalCause::UnknownBuild), "after {after} s");
        let (_, decision) = core.start(now, take_up("/tag/1", None));
        let cause = refusal(decision);
        assert_eq!(cause, Some(RefusalCause::UnknownBuild), "after {after} s");
    }
}

// Two gateways told different builds; the only build seen here was taken instead.
#[test]
fn stream_of_which_two_builds_were_told_does_not_go_on() {
    let start = Instant::now();
    let mut core = core_with(start, &[engine("a", Role::Mixed, Some("7.2"))]);
    let now = start + Duration::from_secs(61);
    for build in ["7.1", "7.2"] {
        let origin = Origin {
            service: MODEL_SERVICE.to_owned(),
            build: build.to_owned(),
        };
        let key = stream_key("told-twice");
        core.receive_origin(now, Notice { key, origin });
    }
    let (_, decision) = core.start(now, take_up("/tag/1", Some("told-twice")));
    assert_eq!(refusal(decision), Some(RefusalCause::UnknownBuild));
}

// A change of the configuration had ended the resumption of a route's streams, and a caller that
// came back was sent to any build.
#[test]
fn stream_of_a_route_that_allows_resumption_no_more_stays_at_its_build() {
    let now = Instant::now();
    let engines = [
        engine("old-1", Role::Mixed, Some("7.1")),
        engine("new-1", Role::Mixed, Some("7.2")),
    ];
    let mut core = core_with(now, &engines);
    let (_, decision) = core.start(now, take_up("/draft/1", Some("unknown")));
    assert_eq!(refusal(decision), Some(RefusalCause::UnknownBuild));
    for (began, build, name) in [("a", "7.1", "old-1"), ("b", "7.2", "new-1")] {
        let origin = Origin {
            service: MODEL_SERVICE.to_owned(),
            build: build.to_owned(),
        };
        let key = stream_key(began);
        core.receive_origin(now, Notice { key, origin });
        let (_, decision) = core.start(now, take_up("/draft/1", Some(began)));
        assert_eq!(call(decision).call.target, name);
    }
}
