//! The decision itself, and the account of what was sent.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use request::Choice;
use request::Need;
use request::Router;
use request::Settlement;
use types::AttemptId;
use types::ServiceKind;
use types::TargetName;

use crate::estimate::Estimate;
use crate::estimate::Job;
use crate::fleet::Fleet;
use crate::fleet::Sent;
use crate::load::Size;
use crate::member::PRIORITIES;
use crate::member::Standing;

/// Shortest time until a request that no target can finish in time is worth a resend.
const INFEASIBLE_RETRY_MS: f64 = 1_000.0;

/// One candidate that could take the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ranked {
    pub member: usize,
    pub estimate: Estimate,
    pub cached_tokens: f64,
    /// Lower is better.
    pub rank_ms: f64,
}

impl Router for Fleet {
    fn choose(&mut self, now: Instant, need: &Need, exclude: &[TargetName]) -> Choice {
        let Some(pool) = self.services.get(&need.service).copied() else {
            return Choice::Never;
        };
        let mut best = self.best(now, need, pool, exclude);
        if best.is_none() && !exclude.is_empty() {
            best = self.best(now, need, pool, &[]);
        }
        let Some(best) = best else {
            return self.without_candidate(now, need, pool);
        };
        let finish_ms = best.estimate.total_ms() * self.correction(pool, need.priority);
        let left_ms = need.deadline.saturating_duration_since(now).as_secs_f64() * 1e3;
        if self.settings.mechanisms.feasibility && finish_ms > left_ms {
            let retry_ms = (finish_ms - left_ms).max(INFEASIBLE_RETRY_MS);
            return Choice::Infeasible {
                retry_ms: millis(retry_ms),
            };
        }
        let target = &self.members[best.member].target;
        Choice::Target {
            target: target.name.clone(),
            incarnation: target.incarnation,
            finish_ms: millis(finish_ms),
        }
    }

    fn dispatched(&mut self, now: Instant, target: &TargetName, attempt: AttemptId, need: &Need) {
        let Some(at) = self.names.get(target).copied() else {
            return;
        };
        let cached = self.cached_tokens(at, need);
        let estimate_ms = self.ranked(now, need, at).estimate.total_ms();
        let member = &mut self.members[at];
        let size = Size {
            prefill_tokens: (f64::from(need.prompt_tokens) - cached).max(0.0),
            decode_tokens: self.pools[member.pool].output_share * f64::from(need.max_output_tokens),
        };
        let priority = usize::from(need.priority).min(PRIORITIES - 1);
        member.outstanding += 1;
        member.prefill_by_priority[priority] += size.prefill_tokens;
        member.load.dispatched(now, attempt, size);
        for prefix in &need.prefixes {
            self.index.stored(*prefix, member.holder);
        }
        let sent = Sent {
            member: at,
            incarnation: member.target.incarnation,
            priority,
            size,
            cached_tokens: cached,
            dispatched: now,
            estimate_ms,
            prefixes: need.prefixes.clone(),
            max_output_tokens: need.max_output_tokens,
        };
        self.sent.insert(attempt, sent);
    }

    fn settled(
        &mut self,
        now: Instant,
        _target: &TargetName,
        attempt: AttemptId,
        settlement: Settlement,
    ) {
        let Some(sent) = self.sent.remove(&attempt) else {
            return;
        };
        let member = &mut self.members[sent.member];
        if member.target.incarnation != sent.incarnation {
            return;
        }
        member.outstanding = member.outstanding.saturating_sub(1);
        let prefill = &mut member.prefill_by_priority[sent.priority];
        *prefill = (*prefill - sent.size.prefill_tokens).max(0.0);
        member.load.settled(attempt);
        let pool = member.pool;
        self.correct(now, pool, &sent, settlement);
        match settlement {
            Settlement::Answered(usage) => self.answered(&sent, usage),
            Settlement::Failed => self.failed(now, sent.member),
            Settlement::Rejected => self.forget_prefixes(&sent),
            Settlement::Cancelled => {}
        }
    }
}

impl Fleet {
    /// Best of a random sample and the best cache match.
    ///
    /// More candidates are drawn, up to a limit, while none of those drawn can take the request
    /// in time. Only when none of them even has the needed model is the whole service searched.
    fn best(
        &mut self,
        now: Instant,
        need: &Need,
        pool: usize,
        exclude: &[TargetName],
    ) -> Option<Ranked> {
        let left_ms = need.deadline.saturating_duration_since(now).as_secs_f64() * 1e3
            / self.correction(pool, need.priority);
        let mut best = self.best_match(now, need, pool, exclude);
        let mut fitting = best.is_some();
        let mut drawn = 0;
        // Draws without replacement by moving what was drawn to the front of the list.
        while drawn < self.settings.sample_limit {
            let in_time = best.is_some_and(|best| best.estimate.total_ms() <= left_ms);
            if drawn >= self.settings.sample_count && in_time {
                break;
            }
            let open = self.pools[pool].open.len();
            if drawn >= open {
                break;
            }
            let position = self.rng.random_range(drawn..open);
            let at = self.pools[pool].open[position];
            if self.members[at].standing(now, &self.settings) != Standing::Open {
                self.close(at);
                continue;
            }
            self.swap_open(pool, drawn, position);
            drawn += 1;
            fitting |= self.members[at].fits(&need.needs);
            let candidate = self.candidate(now, need, at, exclude);
            best = better(best, candidate);
        }
        if fitting || drawn < self.settings.sample_limit {
            return best;
        }
        (0..self.pools[pool].open.len())
            .filter_map(|position| {
                let at = self.pools[pool].open[position];
                self.candidate(now, need, at, exclude)
            })
            .fold(best, |best, candidate| better(best, Some(candidate)))
    }

    fn best_match(
        &self,
        now: Instant,
        need: &Need,
        pool: usize,
        exclude: &[TargetName],
    ) -> Option<Ranked> {
        if !self.settings.mechanisms.cache || need.cache_affinity <= 0.0 {
            return None;
        }
        self.index
            .best_holders(&need.prefixes)
            .iter()
            .filter(|holder| {
                let member = &self.members[holder.position()];
                member.holder == **holder && member.pool == pool
            })
            .filter_map(|holder| self.candidate(now, need, holder.position(), exclude))
            .fold(None, |best, candidate| better(best, Some(candidate)))
    }

    /// Ranks a member, unless it cannot take the request now.
    pub(crate) fn candidate(
        &self,
        now: Instant,
        need: &Need,
        at: usize,
        exclude: &[TargetName],
    ) -> Option<Ranked> {
        let member = &self.members[at];
        let open = member.standing(now, &self.settings) == Standing::Open;
        if !open
            || self.is_full(at, need)
            || !member.fits(&need.needs)
            || exclude.contains(&member.target.name)
        {
            return None;
        }
        Some(self.ranked(now, need, at))
    }

    /// Whether this entry has as many requests of this kind on the target as it may.
    pub(crate) fn is_full(&self, at: usize, need: &Need) -> bool {
        self.members[at].outstanding >= need.concurrency_limit
    }

    /// Ranks a member.
    pub(crate) fn ranked(&self, now: Instant, need: &Need, at: usize) -> Ranked {
        let member = &self.members[at];
        let mechanisms = self.settings.mechanisms;
        let load = member.load.load(mechanisms.netting);
        let cached_tokens = self.cached_tokens(at, need);
        let saved = need.cache_affinity * cached_tokens;
        let job = Job {
            prefill_tokens: (f64::from(need.prompt_tokens) - saved).max(0.0),
            decode_tokens: self.pools[member.pool].output_share * f64::from(need.max_output_tokens),
            backlog_share: member.backlog_share(need.priority),
        };
        let rates = self.settings.rates(member.target.role);
        let estimate = match need.kind {
            ServiceKind::Model => Estimate::new(rates, &load, &job, member.one_way_ms),
            ServiceKind::Plain => Estimate {
                slot_ms: load.requests,
                distance_ms: 2.0 * member.one_way_ms.as_secs_f64() * 1e3,
                ..Estimate::default()
            },
        };
        let plain = if mechanisms.estimate {
            let weight = if mechanisms.work {
                self.settings.work_weight
            } else {
                0.0
            };
            // On an idle target nobody is delayed, on a full one everybody is.
            let occupied = (load.requests / f64::from(rates.slots)).min(1.0);
            estimate.total_ms() + weight * occupied * job.work_ms(rates)
        } else {
            load.requests + 1.0
        };
        Ranked {
            member: at,
            estimate,
            cached_tokens,
            rank_ms: plain * member.slow_start(now, &self.settings),
        }
    }

    /// Factor by which requests of a priority take longer than estimated.
    fn correction(&self, pool: usize, priority: u8) -> f64 {
        let at = usize::from(priority).min(PRIORITIES - 1);
        if self.settings.mechanisms.correction {
            self.pools[pool].corrections[at].max(1.0)
        } else {
            1.0
        }
    }

    fn without_candidate(&self, now: Instant, need: &Need, pool: usize) -> Choice {
        let could = |at: &usize| {
            let member = &self.members[*at];
            let gone = member.target.state == types::TargetState::Withdrawn;
            !gone && member.fits(&need.needs)
        };
        if !self.pools[pool].members.iter().any(could) {
            return Choice::Never;
        }
        let left = need.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Choice::Infeasible {
                retry_ms: millis(INFEASIBLE_RETRY_MS),
            };
        }
        Choice::Wait {
            retry_ms: self.settings.retry_ms,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn cached_tokens(&self, at: usize, need: &Need) -> f64 {
        if !self.settings.mechanisms.cache {
            return 0.0;
        }
        let pieces = self.index.matched(&need.prefixes, self.members[at].holder);
        let tokens = pieces as f64 * f64::from(self.settings.piece_tokens);
        tokens.min(f64::from(need.prompt_tokens)) * self.members[at].cache_trust
    }

    fn swap_open(&mut self, pool: usize, left: usize, right: usize) {
        let open = &mut self.pools[pool].open;
        open.swap(left, right);
        let (first, second) = (open[left], open[right]);
        self.members[first].open_at = Some(left);
        self.members[second].open_at = Some(right);
    }
}

fn better(best: Option<Ranked>, candidate: Option<Ranked>) -> Option<Ranked> {
    match (best, candidate) {
        (Some(best), Some(candidate)) if candidate.rank_ms < best.rank_ms => Some(candidate),
        (None, candidate) => candidate,
        (best, _) => best,
    }
}

fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1e3).unwrap_or(Duration::MAX)
}
