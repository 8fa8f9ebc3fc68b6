//! Status and explanations for operators, and load reports within messages.

use std::time::Duration;
use std::time::Instant;

use request::AttemptSummary;
use request::Requirements;
use routing::TargetView;
use serde_json::Value;
use serde_json::json;
use types::LoadReport;
use types::LoadedModel;
use types::RequestId;
use wire::ToEntry;

use crate::core::EntryCore;

/// Load report in a message from an agent, if it contains one.
pub fn load_report_of(message: &ToEntry) -> Option<&LoadReport> {
    match message {
        ToEntry::Welcome { load, .. }
        | ToEntry::Rejected { load, .. }
        | ToEntry::End { load, .. }
        | ToEntry::Pong { load, .. }
        | ToEntry::Load(load) => Some(load),
        ToEntry::Accepted { .. }
        | ToEntry::Head { .. }
        | ToEntry::Chunk { .. }
        | ToEntry::Failed { .. }
        | ToEntry::Forbidden { .. }
        | ToEntry::Cache(_) => None,
    }
}

/// Size of the example request for which candidates are explained: a short question.
const EXAMPLE_PROMPT_TOKENS: u32 = 200;
const EXAMPLE_OUTPUT_TOKENS: u32 = 100;

impl EntryCore {
    /// Status of the entry and of the targets as known to it.
    #[must_use]
    pub fn status(&self, now: Instant) -> Value {
        let lag = self.follower.lag(now).map(|lag| {
            json!({
                "known": lag.known,
                "for_ms": as_ms(lag.for_ms),
            })
        });
        let services: Vec<Value> = self
            .service_configs
            .iter()
            .map(|(name, service_config)| {
                let targets: Vec<Value> = self
                    .router
                    .fleet
                    .views(now, name)
                    .iter()
                    .map(describe_target)
                    .collect();
                json!({
                    "service": name,
                    "profile": service_config.profile.name,
                    "planned_here": self.is_planner_of(now, name),
                    "targets": targets,
                })
            })
            .collect();
        json!({
            "entry": self.options.name,
            "incarnation": format!("{:016x}", self.incarnation),
            "revision": self.follower.applied(),
            "behind": lag,
            "stopping": self.is_stopping(),
            "requests_in_flight": self.requests.in_flight(),
            "services": services,
        })
    }

    /// Explains a request by its id in hexadecimal, or a target by its name; `None` if unknown.
    #[must_use]
    pub fn explain(&self, now: Instant, subject: &str) -> Option<Value> {
        if let Ok(request) = RequestId::from_str_radix(subject, 16)
            && let Some(summary) = self.history.find(request)
        {
            return Some(json!({
                "request": subject,
                "service": summary.service,
                "outcome": format!("{:?}", summary.outcome),
                "attempts": summary.attempts.iter().map(describe_attempt).collect::<Vec<Value>>(),
                "first_byte_ms": summary.first_byte_ms.map(as_ms),
                "total_ms": as_ms(summary.total_ms),
                "prompt_tokens": summary.usage.prompt_tokens,
                "cached_tokens": summary.usage.cached_tokens,
                "output_tokens": summary.usage.output_tokens,
            }));
        }
        self.explain_target(now, subject)
    }

    fn explain_target(&self, now: Instant, name: &str) -> Option<Value> {
        let snapshot = self.follower.snapshot()?;
        let target = snapshot.target(name)?;
        let service = &target.value.service;
        let views = self.router.fleet.views(now, service);
        let view = views.iter().find(|view| view.name == name);
        let order = snapshot.order(name);
        Some(json!({
            "target": target.value,
            "revision": target.revision,
            "order": order.map(|order| serde_json::json!(**order)),
            "seen": view.map(describe_target),
            "connected": self.links.link(&target.value.name).is_some(),
            "candidates": self.candidates(now, service),
            "plan": self.plans.get(service).map(|plan| plan.decision.to_string()),
        }))
    }

    fn candidates(&self, now: Instant, service: &str) -> Option<Vec<Value>> {
        let service_config = self.service_configs.get(service)?;
        let requirements = Requirements {
            service: service.to_owned(),
            kind: service_config.kind,
            needs: LoadedModel::default(),
            priority: service_config.profile.priority,
            prompt_tokens: EXAMPLE_PROMPT_TOKENS,
            max_output_tokens: EXAMPLE_OUTPUT_TOKENS,
            prefixes: Vec::new(),
            deadline: now + service_config.profile.deadline_ms,
            expected_hang_up: None,
            concurrency_limit: service_config.profile.concurrency_limit,
            cache_affinity: service_config.profile.cache_affinity,
        };
        let candidates = self.router.fleet.explain(now, &requirements);
        let describe_candidate = |candidate: &routing::Candidate| {
            json!({
                "target": candidate.target,
                "standing": format!("{:?}", candidate.standing),
                "full": candidate.is_full,
                "first_token_ms": candidate.estimate.first_token_ms(),
                "total_ms": candidate.estimate.total_ms(),
                "rank_ms": candidate.rank_ms,
            })
        };
        Some(candidates.iter().map(describe_candidate).collect())
    }
}

fn describe_target(view: &TargetView) -> Value {
    json!({
        "target": view.name,
        "role": view.role,
        "standing": format!("{:?}", view.standing),
        "report_age_ms": view.report_age_ms.map(as_ms),
        "requests": view.requests,
        "prefill_tokens": view.prefill_tokens,
        "decode_tokens": view.decode_tokens,
        "applied": view.applied,
    })
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn describe_attempt(attempt: &AttemptSummary) -> Value {
    let (end_ms, end) = match attempt.end {
        Some((end_ms, end)) => (Some(as_ms(end_ms)), format!("{end:?}")),
        None => (None, "Running".to_owned()),
    };
    json!({
        "target": attempt.target,
        "start_ms": as_ms(attempt.start_ms),
        "end_ms": end_ms,
        "end": end,
    })
}
