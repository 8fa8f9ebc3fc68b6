//! Fixtures shared by the tests of the core.

use std::net::SocketAddr;
use std::time::Duration;

use control::FollowerOptions;
use entry::core::CoreOptions;
use entry::core::links::LinkTimings;
use types::Incarnation;
use types::LoadReport;
use types::LoadedModel;
use types::Method;
use types::Role;
use types::ServiceKind;
use types::Target;
use types::TargetState;
use types::Work;

/// Short completion request to the service `mesa`.
pub fn work() -> Work {
    Work {
        service: "mesa".to_owned(),
        method: Method::Post,
        path: "/v1/completions".to_owned(),
        content_type: "application/json".to_owned(),
        headers: types::Headers::default(),
        body: b"{}".to_vec(),
        stream: false,
        model: String::new(),
        prompt_tokens: 20,
        max_output_tokens: 10,
        prefixes: Vec::new(),
    }
}

/// Load report of an idle target.
pub fn load(incarnation: Incarnation) -> LoadReport {
    LoadReport {
        incarnation,
        sequence: 1,
        age_ms: 0,
        running: 0,
        queued: 0,
        prefill_backlog_tokens: 0,
        decode_backlog_tokens: 0,
        received: 0,
        cache_used_permille: 0,
        role: Role::Mixed,
        loaded: LoadedModel::default(),
        applied: 0,
        next_start_ms: 0,
        leaving: false,
        away: false,
    }
}

/// Active target of the service `mesa`.
pub fn target(index: u16, agent: SocketAddr, incarnation: Incarnation) -> Target {
    Target {
        name: format!("engine-{index}"),
        service: "mesa".to_owned(),
        kind: ServiceKind::Model,
        data_centre: "lago-puelo".to_owned(),
        host: format!("host-{index}"),
        agent,
        incarnation,
        honours_fencing: true,
        state: TargetState::Active,
        role: Role::Mixed,
        loaded: LoadedModel::default(),
        applied: 0,
    }
}

/// Options of an entry in the data centre `lago-puelo`, without peers.
pub fn core_options() -> CoreOptions {
    CoreOptions {
        name: "entry-1".to_owned(),
        routing: routing::Settings::new("lago-puelo"),
        follower: FollowerOptions::default(),
        links: LinkTimings::default(),
        share_targets: 64,
        probe_ms: Duration::from_millis(500),
        hosts_poll_ms: Duration::from_secs(2),
        lease_ms: Duration::from_secs(6),
        address: ([127, 0, 0, 1], 900).into(),
        peers: Vec::new(),
    }
}
