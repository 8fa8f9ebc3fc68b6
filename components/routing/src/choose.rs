//! Implementation of [`Router`]: target selection and tracking of attempts in flight.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use request::AttemptResult;
use request::Choice;
use request::Requirements;
use request::Router;
use types::AttemptId;
use types::ServiceKind;
use types::TargetName;

use crate::estimate::Estimate;
use crate::estimate::Job;
use crate::fleet::Fleet;
use crate::fleet::InFlight;
use crate::load::Size;
use crate::member::PRIORITIES;
use crate::member::Standing;

/// Minimum retry delay of a request that no target can complete by its deadline.
const INFEASIBLE_RETRY_MS: f64 = 1_000.0;

/// Candidate for a request, with the estimate it is ranked by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ranked {
    pub member: usize,
    pub estimate: Estimate,
    pub cached_tokens: f64,
    /// Lower is better.
    pub rank_ms: f64,
}

impl Router for Fleet {
    fn choose(
        &mut self,
        now: Instant,
        requirements: &Requirements,
        exclude: &[TargetName],
    ) -> Choice {
        let Some(pool) = self.pools_by_service.get(&requirements.service).copied() else {
            return Choice::Never;
        };
        let mut best = self.best_candidate(now, requirements, pool, exclude);
        if best.is_none() && !exclude.is_empty() {
            best = self.best_candidate(now, requirements, pool, &[]);
        }
        let Some(best) = best else {
            return self.choice_without_candidate(now, requirements, pool);
        };
        let finish_ms = best.estimate.total_ms() * self.correction(pool, requirements.priority);
        let left_ms = requirements
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64()
            * 1e3;
        if self.settings.mechanisms.feasibility && finish_ms > left_ms {
            let retry_ms = (finish_ms - left_ms).max(INFEASIBLE_RETRY_MS);
            return Choice::Infeasible {
                retry_ms: duration_from_ms(retry_ms),
            };
        }
        let target = &self.members[best.member].target;
        Choice::Target {
            target: target.name.clone(),
            incarnation: target.incarnation,
            finish_ms: duration_from_ms(finish_ms),
        }
    }

    fn attempt_dispatched(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        requirements: &Requirements,
    ) {
        let Some(position) = self.positions.get(target).copied() else {
            return;
        };
        let hit_tokens = self.cached_tokens(position, requirements);
        let estimate_ms = self
            .rank_member(now, requirements, position)
            .estimate
            .total_ms();
        let member = &mut self.members[position];
        let size = Size {
            prefill_tokens: (f64::from(requirements.prompt_tokens) - hit_tokens).max(0.0),
            decode_tokens: self.pools[member.pool].output_ratio
                * f64::from(requirements.max_output_tokens),
        };
        let priority = usize::from(requirements.priority).min(PRIORITIES - 1);
        member.outstanding += 1;
        member.prefill_by_priority[priority] += size.prefill_tokens;
        member.load.dispatched(now, attempt, size);
        for prefix in &requirements.prefixes {
            self.index.stored(*prefix, member.holder);
        }
        let in_flight = InFlight {
            member: position,
            incarnation: member.target.incarnation,
            priority,
            size,
            cached_tokens: hit_tokens,
            dispatched_at: now,
            estimate_ms,
            prefixes: requirements.prefixes.clone(),
            max_output_tokens: requirements.max_output_tokens,
        };
        self.in_flight.insert(attempt, in_flight);
    }

    fn attempt_ended(
        &mut self,
        now: Instant,
        _target: &TargetName,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let Some(in_flight) = self.in_flight.remove(&attempt) else {
            return;
        };
        let member = &mut self.members[in_flight.member];
        if member.target.incarnation != in_flight.incarnation {
            return;
        }
        member.outstanding = member.outstanding.saturating_sub(1);
        let prefill = &mut member.prefill_by_priority[in_flight.priority];
        *prefill = (*prefill - in_flight.size.prefill_tokens).max(0.0);
        member.load.settled(attempt);
        let pool = member.pool;
        self.update_correction(now, pool, &in_flight, result);
        match result {
            AttemptResult::Answered(usage) => self.record_success(&in_flight, usage),
            AttemptResult::Failed => self.record_failure(now, in_flight.member),
            AttemptResult::Rejected => self.remove_prefixes(&in_flight),
            AttemptResult::Cancelled => {}
        }
    }
}

impl Fleet {
    /// Candidate of the lowest rank among the best cache matches and a random sample of the open
    /// members.
    ///
    /// At least `sample_count` members are sampled, and up to `sample_limit` while no candidate is
    /// expected to meet the deadline. If no sampled member has the required model, all open members
    /// are searched.
    fn best_candidate(
        &mut self,
        now: Instant,
        requirements: &Requirements,
        pool: usize,
        exclude: &[TargetName],
    ) -> Option<Ranked> {
        let left_ms = requirements
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64()
            * 1e3
            / self.correction(pool, requirements.priority);
        let mut best = self.best_cache_match(now, requirements, pool, exclude);
        let mut is_any_compatible = best.is_some();
        let mut drawn = 0;
        // Samples without replacement: drawn members are swapped to the front of the list.
        while drawn < self.settings.sample_limit {
            let is_in_time = best.is_some_and(|best| best.estimate.total_ms() <= left_ms);
            if drawn >= self.settings.sample_count && is_in_time {
                break;
            }
            let open_count = self.pools[pool].open.len();
            if drawn >= open_count {
                break;
            }
            let open_position = self.rng.random_range(drawn..open_count);
            let position = self.pools[pool].open[open_position];
            if self.members[position].standing(now, &self.settings) != Standing::Open {
                self.remove_from_open_list(position);
                continue;
            }
            self.swap_open(pool, drawn, open_position);
            drawn += 1;
            is_any_compatible |= self.members[position].is_compatible_with(&requirements.needs);
            let candidate = self.candidate(now, requirements, position, exclude);
            best = lower_rank(best, candidate);
        }
        if is_any_compatible || drawn < self.settings.sample_limit {
            return best;
        }
        (0..self.pools[pool].open.len())
            .filter_map(|open_position| {
                let position = self.pools[pool].open[open_position];
                self.candidate(now, requirements, position, exclude)
            })
            .fold(best, |best, candidate| lower_rank(best, Some(candidate)))
    }

    fn best_cache_match(
        &self,
        now: Instant,
        requirements: &Requirements,
        pool: usize,
        exclude: &[TargetName],
    ) -> Option<Ranked> {
        if !self.settings.mechanisms.cache || requirements.cache_affinity <= 0.0 {
            return None;
        }
        self.index
            .best_holders(&requirements.prefixes)
            .iter()
            .filter(|holder| {
                let member = &self.members[holder.position()];
                member.holder == **holder && member.pool == pool
            })
            .filter_map(|holder| self.candidate(now, requirements, holder.position(), exclude))
            .fold(None, |best, candidate| lower_rank(best, Some(candidate)))
    }

    /// Ranks a member; `None` if it cannot accept the request now.
    pub(crate) fn candidate(
        &self,
        now: Instant,
        requirements: &Requirements,
        position: usize,
        exclude: &[TargetName],
    ) -> Option<Ranked> {
        let member = &self.members[position];
        let is_open = member.standing(now, &self.settings) == Standing::Open;
        if !is_open
            || self.is_full(position, requirements)
            || !member.is_compatible_with(&requirements.needs)
            || exclude.contains(&member.target.name)
        {
            return None;
        }
        Some(self.rank_member(now, requirements, position))
    }

    /// Whether this entry's requests on the target have reached the concurrency limit.
    pub(crate) fn is_full(&self, position: usize, requirements: &Requirements) -> bool {
        self.members[position].outstanding >= requirements.concurrency_limit
    }

    /// Estimates the request on a member and computes its rank.
    pub(crate) fn rank_member(
        &self,
        now: Instant,
        requirements: &Requirements,
        position: usize,
    ) -> Ranked {
        let member = &self.members[position];
        let mechanisms = self.settings.mechanisms;
        let load = member.load.load(mechanisms.count_unreported);
        let cached_tokens = self.cached_tokens(position, requirements);
        let saved_tokens = requirements.cache_affinity * cached_tokens;
        let job = Job {
            prefill_tokens: (f64::from(requirements.prompt_tokens) - saved_tokens).max(0.0),
            decode_tokens: self.pools[member.pool].output_ratio
                * f64::from(requirements.max_output_tokens),
            backlog_share: member.backlog_share(requirements.priority),
        };
        let rates = self.settings.rates(member.target.role);
        let mut estimate = match requirements.kind {
            ServiceKind::Model => Estimate::new(rates, &load, &job, member.one_way_ms),
            ServiceKind::Plain => Estimate {
                slot_ms: load.requests,
                network_ms: 2.0 * member.one_way_ms.as_secs_f64() * 1e3,
                ..Estimate::default()
            },
        };
        let report = member.load.last();
        estimate.slot_ms += report.map_or(0.0, |report| f64::from(report.next_start_ms));
        let base_rank = if mechanisms.estimate {
            let weight = if mechanisms.count_displaced_work {
                self.settings.work_weight
            } else {
                0.0
            };
            // An idle target has no other requests to delay; on a full one all of them are delayed.
            let occupancy = (load.requests / f64::from(rates.slots)).min(1.0);
            estimate.total_ms() + weight * occupancy * job.engine_time_ms(rates)
        } else {
            load.requests + 1.0
        };
        Ranked {
            member: position,
            estimate,
            cached_tokens,
            rank_ms: base_rank * member.slow_start(now, &self.settings),
        }
    }

    /// Mean ratio of actual to estimated time of a priority, at least 1.
    fn correction(&self, pool: usize, priority: u8) -> f64 {
        let priority_index = usize::from(priority).min(PRIORITIES - 1);
        if self.settings.mechanisms.correction {
            self.pools[pool].corrections[priority_index].max(1.0)
        } else {
            1.0
        }
    }

    fn choice_without_candidate(
        &self,
        now: Instant,
        requirements: &Requirements,
        pool: usize,
    ) -> Choice {
        let is_eligible = |position: &usize| {
            let member = &self.members[*position];
            let is_withdrawn = member.target.state == types::TargetState::Withdrawn;
            !is_withdrawn && member.is_compatible_with(&requirements.needs)
        };
        if !self.pools[pool].members.iter().any(is_eligible) {
            return Choice::Never;
        }
        let left = requirements.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Choice::Infeasible {
                retry_ms: duration_from_ms(INFEASIBLE_RETRY_MS),
            };
        }
        Choice::Wait {
            retry_ms: self.settings.retry_ms,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn cached_tokens(&self, position: usize, requirements: &Requirements) -> f64 {
        if !self.settings.mechanisms.cache {
            return 0.0;
        }
        let pieces = self
            .index
            .matched_pieces(&requirements.prefixes, self.members[position].holder);
        let tokens = pieces as f64 * f64::from(self.settings.piece_tokens);
        tokens.min(f64::from(requirements.prompt_tokens)) * self.members[position].cache_hit_ratio
    }

    fn swap_open(&mut self, pool: usize, left: usize, right: usize) {
        let open = &mut self.pools[pool].open;
        open.swap(left, right);
        let (first, second) = (open[left], open[right]);
        self.members[first].open_position = Some(left);
        self.members[second].open_position = Some(right);
    }
}

fn lower_rank(best: Option<Ranked>, candidate: Option<Ranked>) -> Option<Ranked> {
    match (best, candidate) {
        (Some(best), Some(candidate)) if candidate.rank_ms < best.rank_ms => Some(candidate),
        (None, candidate) => candidate,
        (best, _) => best,
    }
}

fn duration_from_ms(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1e3).unwrap_or(Duration::MAX)
}
