//! Fixture: a core with a configuration and targets, and requests for it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gateway::core::Core;
use gateway::core::CoreSettings;
use gateway::core::Decision;
use gateway::core::Ending;
use gateway::core::NextCall;
use gateway::deployment::CallerLimits;
use gateway::deployment::Configuration;
use gateway::deployment::ConfigurationSource;
use gateway::deployment::DeploymentUpdate;
use gateway::deployment::EngineSpec;
use gateway::deployment::RetryPolicy;
use gateway::deployment::Route;
use gateway::deployment::ServiceSpec;
use gateway::deployment::Split;
use gateway::deployment::TargetEntry;
use gateway::protocol::CallerRequest;
use gateway::protocol::ModelWork;
use gateway::protocol::PromptPart;
use gateway::retries::RetryAllowance;
use smallvec::smallvec;
use types::Role;

/// Fingerprint of the next request; requests of tests are different ones.
static NEXT_FINGERPRINT: AtomicU64 = AtomicU64::new(1 << 48);

pub const HOST: &str = "desk.example";
pub const MODEL_SERVICE: &str = "drafts";
pub const PLAIN_SERVICE: &str = "desk";

/// Engine properties that both deployments in use have.
pub const ENGINE: EngineSpec = EngineSpec {
    slots: 64,
    kv_capacity_tokens: 460_000,
    kv_token_bytes: 35_136,
    link_bits_per_s: 740e9,
};

pub fn settings() -> CoreSettings {
    CoreSettings {
        data_centre: "sapporo-a".to_owned(),
        retries: RetryAllowance {
            ratio: 0.2,
            slack: 58.0,
            window_ms: Duration::from_secs(10),
        },
        min_processes: 3,
    }
}

pub fn route(prefix: &str, service: &str, retry_policy: RetryPolicy) -> Rc<Route> {
    Rc::new(Route {
        name: format!("r{}", prefix.trim_matches('/')),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        split: smallvec![Split {
            service: service.to_owned(),
            weight: 1,
        }],
        retry_policy,
        timeout_ms: Duration::from_secs(6),
        latency_objective_ms: Duration::from_millis(800),
        event_timeout_ms: Duration::from_millis(3_200),
        priority: 1,
        attempt_limit: if retry_policy == RetryPolicy::Once {
            1
        } else {
            2
        },
    })
}

pub fn configuration(version: u64) -> Configuration {
    let spec = |engine| ServiceSpec { engine };
    Configuration {
        version,
        routes: vec![
            route("/read/", PLAIN_SERVICE, RetryPolicy::Idempotent),
            route("/order/", PLAIN_SERVICE, RetryPolicy::Once),
            route("/draft/", MODEL_SERVICE, RetryPolicy::Once),
            route("/tag/", MODEL_SERVICE, RetryPolicy::Resumable),
        ],
        services: BTreeMap::from([
            (PLAIN_SERVICE.to_owned(), spec(None)),
            (MODEL_SERVICE.to_owned(), spec(Some(ENGINE))),
        ]),
        limits: CallerLimits::default(),
    }
}

pub fn target(name: &str, service: &str, role: Role) -> TargetEntry {
    let port = 1024
        + name
            .bytes()
            .fold(0_u16, |sum, b| sum.wrapping_mul(31) + u16::from(b))
            % 9999;
    TargetEntry {
        name: name.to_owned(),
        started_at_ms: 1,
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: "sapporo-a".to_owned(),
        slots: 64,
        is_draining: false,
        role,
        build: Some("v1".to_owned()),
    }
}

/// Two targets of the plain service, two prefill engines and three decode engines.
pub fn targets() -> Vec<TargetEntry> {
    vec![
        target("desk-1", PLAIN_SERVICE, Role::Mixed),
        target("desk-2", PLAIN_SERVICE, Role::Mixed),
        target("read-1", MODEL_SERVICE, Role::Prefill),
        target("read-2", MODEL_SERVICE, Role::Prefill),
        target("write-1", MODEL_SERVICE, Role::Decode),
        target("write-2", MODEL_SERVICE, Role::Decode),
        target("write-3", MODEL_SERVICE, Role::Decode),
    ]
}

/// Time since the start of a process after which it has its full retry budget.
pub const SETTLED_MS: Duration = Duration::from_secs(11);

/// A core of a process that started `SETTLED_MS` ago.
pub fn core(now: Instant) -> Core {
    core_started_at(now.checked_sub(SETTLED_MS).unwrap(), now)
}

pub fn core_started_at(started: Instant, now: Instant) -> Core {
    let mut core = Core::new(started, settings(), 7);
    let configured =
        DeploymentUpdate::Configuration(Rc::new(configuration(5)), ConfigurationSource::Snapshot);
    core.apply_update(now, configured);
    core.apply_update(now, DeploymentUpdate::TargetSnapshot(targets()));
    core
}

pub fn plain(path: &str) -> Rc<CallerRequest> {
    Rc::new(CallerRequest {
        id: "a1".to_owned(),
        method: http_types::Method::Post,
        target: path.to_owned(),
        host: HOST.to_owned(),
        fields: Vec::new(),
        body: Vec::new(),
        timeout_ms: Duration::from_secs(4),
        fingerprint: NEXT_FINGERPRINT.fetch_add(1, Ordering::Relaxed),
        work: None,
        resume_after: None,
        resumed_request: None,
    })
}

/// A model request whose prompt starts with a shared part.
pub fn prompt(path: &str, shared: u64, shared_tokens: u32, own_tokens: u32) -> Rc<CallerRequest> {
    let mut request = CallerRequest::clone(&plain(path));
    request.timeout_ms = Duration::from_secs(6);
    request.work = Some(ModelWork {
        prompt_tokens: shared_tokens + own_tokens,
        output_limit_tokens: 100,
        output_hint_tokens: None,
        parts: smallvec![
            PromptPart {
                id: shared,
                tokens: shared_tokens,
            },
            PromptPart {
                id: 1 << 40 | u64::from(own_tokens),
                tokens: own_tokens,
            },
        ],
    });
    Rc::new(request)
}

pub fn call(decision: Decision) -> NextCall {
    match decision {
        Decision::Call(next) => *next,
        Decision::End(ending) => panic!("expected a call, got {ending:?}"),
    }
}

pub fn ending(decision: Decision) -> Ending {
    match decision {
        Decision::End(ending) => ending,
        Decision::Call(next) => panic!(
            "expected the end of the request, got a call to {}",
            next.call.target
        ),
    }
}
