//! Test harness: a fleet whose targets have answered a probe and reported no load.

#![allow(dead_code)]

use std::time::Duration;
use std::time::Instant;

use request::AttemptResult;
use request::Requirements;
use request::Router;
use routing::Fleet;
use routing::Settings;
use routing::Standing;
use types::AttemptId;
use types::LoadReport;
use types::LoadedModel;
use types::Role;
use types::ServiceKind;
use types::Target;
use types::TargetState;

pub struct Setup {
    pub fleet: Fleet,
    pub now: Instant,
    pub targets: Vec<Target>,
    pub sequences: Vec<u64>,
    attempts: u128,
}

impl Setup {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut setup = Self {
            fleet: Fleet::new(Settings::new("sapporo-a"), seed),
            now: Instant::now(),
            targets: (0..count).map(target).collect(),
            sequences: vec![0; count],
            attempts: 0,
        };
        for index in 0..count {
            let target = setup.targets[index].clone();
            setup.fleet.set_target(setup.now, &target);
            setup.probe(index);
            setup.report(index, |_| {});
        }
        setup
    }

    pub fn index_of(name: &str) -> usize {
        name.trim_start_matches("engine-").parse().unwrap()
    }

    pub fn probe(&mut self, index: usize) {
        let target = &self.targets[index];
        self.fleet
            .probe_answered(self.now, &target.name, target.incarnation);
    }

    pub fn report(&mut self, index: usize, modify: impl FnOnce(&mut LoadReport)) {
        self.sequences[index] += 1;
        let mut report = report(&self.targets[index], self.sequences[index]);
        modify(&mut report);
        let name = self.targets[index].name.clone();
        self.fleet.load_report(self.now, &name, &report);
    }

    pub fn dispatch(&mut self, name: &str, prompt_tokens: u32) -> AttemptId {
        self.attempts += 1;
        let attempt = AttemptId {
            request: self.attempts,
            number: 1,
        };
        let requirements = requirements(self.now, prompt_tokens);
        self.fleet
            .attempt_dispatched(self.now, &name.to_owned(), attempt, &requirements);
        attempt
    }

    pub fn dispatch_and_end(&mut self, name: &str, prompt_tokens: u32, result: AttemptResult) {
        let attempt = self.dispatch(name, prompt_tokens);
        self.fleet
            .attempt_ended(self.now, &name.to_owned(), attempt, result);
    }

    pub fn standing(&self, index: usize) -> Standing {
        self.fleet.views(self.now, "drafts")[index].standing
    }

    pub fn rank(&self, index: usize, requirements: &Requirements) -> f64 {
        let name = &self.targets[index].name;
        let candidates = self.fleet.explain(self.now, requirements);
        candidates
            .iter()
            .find(|candidate| candidate.target == *name)
            .unwrap()
            .rank_ms
    }
}

pub fn target(index: usize) -> Target {
    Target {
        name: format!("engine-{index}"),
        service: "drafts".into(),
        kind: ServiceKind::Model,
        data_centre: "sapporo-a".into(),
        host: format!("host-{index}"),
        agent: "127.0.0.1:1".parse().unwrap(),
        incarnation: 100 + index as u64,
        honours_fencing: true,
        state: TargetState::Active,
        role: Role::Mixed,
        loaded: LoadedModel {
            model: "base".into(),
            version: "1".into(),
            adapters: Vec::new(),
        },
        applied: 0,
    }
}

pub fn report(target: &Target, sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: target.incarnation,
        sequence,
        age_ms: 0,
        running: 0,
        queued: 0,
        prefill_backlog_tokens: 0,
        decode_backlog_tokens: 0,
        received: 0,
        cache_used_permille: 0,
        role: target.role,
        loaded: target.loaded.clone(),
        applied: 0,
        next_start_ms: 0,
        leaving: false,
        away: false,
    }
}

pub fn requirements(now: Instant, prompt_tokens: u32) -> Requirements {
    Requirements {
        service: "drafts".into(),
        kind: ServiceKind::Model,
        needs: LoadedModel::default(),
        priority: 4,
        prompt_tokens,
        max_output_tokens: 200,
        prefixes: Vec::new(),
        deadline: now + Duration::from_mins(1),
        expected_hang_up: None,
        concurrency_limit: 32,
        cache_affinity: 1.0,
    }
}
