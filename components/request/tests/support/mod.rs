//! Builders for events, and a router with fixed targets.

#![allow(dead_code)]

pub mod agents;
pub mod cluster;
pub mod completion;
pub mod stores;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use request::AttemptResult;
use request::Choice;
use request::Event;
use request::Requirements;
use request::Router;
use request::ServiceConfig;
use types::AttemptId;
use types::Incarnation;
use types::LoadReport;
use types::LoadedModel;
use types::Method;
use types::Profile;
use types::RequestId;
use types::Role;
use types::ServiceKind;
use types::Submission;
use types::TargetName;
use types::Work;

/// Chooses the first target that is not excluded, or the first one of all.
#[derive(Default)]
pub struct FixedRouter {
    pub targets: Vec<(TargetName, Incarnation)>,
    pub fixed_choice: Option<Choice>,
    pub in_progress: Vec<(TargetName, AttemptId)>,
    pub settled: Vec<(AttemptId, AttemptResult)>,
}

impl FixedRouter {
    pub fn with(targets: &[(&str, Incarnation)]) -> Self {
        Self {
            targets: targets.iter().map(|(t, i)| ((*t).to_owned(), *i)).collect(),
            ..Self::default()
        }
    }
}

impl Router for FixedRouter {
    fn choose(&mut self, _now: Instant, _need: &Requirements, exclude: &[TargetName]) -> Choice {
        if let Some(choice) = &self.fixed_choice {
            return choice.clone();
        }
        let untried = self.targets.iter().find(|(t, _)| !exclude.contains(t));
        let Some((target, incarnation)) = untried.or(self.targets.first()) else {
            return Choice::Never;
        };
        Choice::Target {
            target: target.clone(),
            incarnation: *incarnation,
            finish_ms: Duration::from_millis(10),
        }
    }

    fn attempt_dispatched(
        &mut self,
        _now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        _need: &Requirements,
    ) {
        self.in_progress.push((target.clone(), attempt));
    }

    fn attempt_ended(
        &mut self,
        _now: Instant,
        _target: &TargetName,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        self.in_progress.retain(|(_, open)| *open != attempt);
        self.settled.push((attempt, result));
    }
}

pub fn load(incarnation: Incarnation) -> LoadReport {
    LoadReport {
        incarnation,
        sequence: 0,
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

pub fn profile(idempotent: bool) -> Profile {
    Profile {
        name: "radio-desk".to_owned(),
        idempotent,
        ..Profile::default()
    }
}

pub fn submission(key: Option<&str>, body: &[u8]) -> Submission {
    Submission {
        caller: "refugio-laguna".to_owned(),
        work: Work {
            service: "mesa-refugios".to_owned(),
            method: Method::Post,
            path: "/v1/orders".to_owned(),
            content_type: "application/json".to_owned(),
            headers: types::Headers::default(),
            body: body.to_vec(),
            stream: false,
            model: String::new(),
            prompt_tokens: 10,
            max_output_tokens: 10,
            prefixes: Vec::new(),
        },
        key: key.map(str::to_owned),
        deadline_ms: None,
    }
}

pub fn submitted(request: RequestId, submission: Submission, profile: Profile) -> Event {
    Event::Submitted {
        request,
        submission,
        service_config: ServiceConfig {
            profile: Rc::new(profile),
            revision: 1,
            kind: ServiceKind::Plain,
        },
    }
}
