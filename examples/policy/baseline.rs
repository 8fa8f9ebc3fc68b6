//! Baseline policies for routing and role changes.

use std::time::Duration;
use std::time::Instant;

use planner::Mix;
use request::AttemptResult;
use request::Choice;
use request::Requirements;
use request::Router;
use routing::Standing;
use routing::TargetView;
use types::AttemptId;
use types::Incarnation;
use types::LoadReport;
use types::Role;
use types::Target;
use types::TargetName;

/// Difference between the prefill shares of work and of engines from which a role is changed.
const ROLE_CHANGE_THRESHOLD: f64 = 0.1;

struct Member {
    target: Target,
    is_usable: bool,
    sequence: u64,
    outstanding: u32,
}

/// Round robin or least outstanding requests, over the targets that report to be available.
pub struct BaselineRouter {
    members: Vec<Member>,
    is_least_outstanding: bool,
    next: usize,
}

impl BaselineRouter {
    pub fn new(is_least_outstanding: bool) -> Self {
        Self {
            members: Vec::new(),
            is_least_outstanding,
            next: 0,
        }
    }

    pub fn set_target(&mut self, target: &Target) {
        let existing = self
            .members
            .iter_mut()
            .find(|m| m.target.name == target.name);
        match existing {
            Some(member) => member.target.state = target.state,
            None => self.members.push(Member {
                target: target.clone(),
                is_usable: true,
                sequence: 0,
                outstanding: 0,
            }),
        }
    }

    pub fn load_report(&mut self, target: &str, report: &LoadReport) {
        let member = self.members.iter_mut().find(|m| m.target.name == target);
        if let Some(member) = member
            && report.sequence > member.sequence
        {
            member.sequence = report.sequence;
            member.is_usable = !report.leaving && !report.away;
        }
    }

    fn member(&mut self, target: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.target.name == target)
    }
}

impl Router for BaselineRouter {
    fn choose(
        &mut self,
        _now: Instant,
        requirements: &Requirements,
        exclude: &[TargetName],
    ) -> Choice {
        let count = self.members.len();
        let is_open = |member: &Member| {
            member.is_usable
                && member.target.state.accepts_work()
                && member.outstanding < requirements.concurrency_limit
                && !exclude.contains(&member.target.name)
        };
        let order = (0..count).map(|step| (self.next + step) % count);
        let mut usable = order.filter(|at| is_open(&self.members[*at]));
        let chosen = if self.is_least_outstanding {
            usable.min_by_key(|at| self.members[*at].outstanding)
        } else {
            usable.next()
        };
        let Some(at) = chosen else {
            return Choice::Wait {
                retry_ms: Duration::from_millis(20),
            };
        };
        self.next = (at + 1) % count;
        let target = &self.members[at].target;
        Choice::Target {
            target: target.name.clone(),
            incarnation: Incarnation::default().max(target.incarnation),
            finish_ms: Duration::ZERO,
        }
    }

    fn attempt_dispatched(
        &mut self,
        _: Instant,
        target: &TargetName,
        _: AttemptId,
        _: &Requirements,
    ) {
        if let Some(member) = self.member(target) {
            member.outstanding += 1;
        }
    }

    fn attempt_ended(&mut self, _: Instant, target: &TargetName, _: AttemptId, _: AttemptResult) {
        if let Some(member) = self.member(target) {
            member.outstanding = member.outstanding.saturating_sub(1);
        }
    }
}

/// Changes a role whenever the prefill share of the work differs enough from that of the engines.
/// Unlike the planner, it does not weigh the cost of a change. One change runs at a time.
pub struct BareThreshold {
    pub mix: Mix,
    pending: Option<(TargetName, Role)>,
}

impl BareThreshold {
    pub fn new(settings: &planner::Settings) -> Self {
        Self {
            mix: Mix::new(settings.rates[1], settings.fast_ms, settings.slow_ms),
            pending: None,
        }
    }

    pub fn consider(
        &mut self,
        now: Instant,
        targets: &[TargetView],
        rates: &routing::RoleRates,
    ) -> Option<(TargetName, Role)> {
        self.mix.advance(now);
        let open_targets = || {
            targets
                .iter()
                .filter(|view| view.standing == Standing::Open)
        };
        if let Some((target, role)) = &self.pending {
            if !open_targets().any(|view| view.name == *target && view.role == *role) {
                return None;
            }
            self.pending = None;
        }
        let (prefill, decode) = self.mix.fast().engine_time(rates);
        let work_share = prefill / (prefill + decode).max(1e-9);
        let prefill_weight = |view: &TargetView| match view.role {
            Role::Prefill => 1.0,
            Role::Mixed => 0.5,
            Role::Decode => 0.0,
        };
        let (sum, count) =
            open_targets().fold((0.0, 0.0), |(s, n), v| (s + prefill_weight(v), n + 1.0));
        let engine_share: f64 = sum / f64::max(count, 1.0);
        let (from, to) = if work_share > engine_share + ROLE_CHANGE_THRESHOLD {
            ([Role::Decode, Role::Mixed], Role::Prefill)
        } else if work_share < engine_share - ROLE_CHANGE_THRESHOLD {
            ([Role::Prefill, Role::Mixed], Role::Decode)
        } else {
            return None;
        };
        let of_role = |role: Role| open_targets().find(|view| view.role == role);
        let target = from.into_iter().find_map(of_role)?.name.clone();
        self.pending = Some((target.clone(), to));
        Some((target, to))
    }
}
