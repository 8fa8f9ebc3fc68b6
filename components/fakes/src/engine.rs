//! Engine in virtual time: continuous batching, prefix cache, roles, late reports.
//!
//! The engine works in steps. In each step every stream that decodes gets one token, and a chunk
//! of prompt is processed, the first priority first and within a priority in the order of
//! admission. Requests wait by priority for a slot and for memory. The rules and constants are
//! stated in `docs/policy.md`.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::RoleRates;
use smallvec::SmallVec;
use smallvec::smallvec;
use types::AttemptId;
use types::CacheEvent;
use types::Role;

use crate::engine_cache::Held;
use crate::engine_cache::PieceCache;
use crate::engine_job::Constants;
use crate::engine_job::Job;
use crate::engine_job::Progress;
use crate::engine_report::CacheFeed;
use crate::engine_report::Figures;

#[derive(Debug)]
struct Running {
    job: Job,
    held: Held,
    order: u64,
    prefill_left: u32,
    output_left: u32,
    chunk: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    /// Finishes what it has, then takes the role.
    Draining(Role),
    /// Away until then, with the role to take.
    Away(Duration, Role),
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    constants: Constants,
    rng: SmallRng,
    role: Role,
    state: State,
    cache: PieceCache,
    feed: CacheFeed,
    waiting: Vec<(u64, Job)>,
    running: Vec<Running>,
    admitted: u64,
    step_end: Option<Duration>,
    figures: Figures,
    received: SmallVec<[u64; 4]>,
    busy_ms: f64,
}

impl Engine {
    /// An idle engine with an empty cache.
    #[must_use]
    pub fn new(constants: Constants, role: Role, readers: usize, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            role,
            state: State::Serving,
            cache: PieceCache::new(constants.pieces),
            feed: CacheFeed::new(constants.cache_delay_ms, constants.cache_loss),
            waiting: Vec::new(),
            running: Vec::new(),
            admitted: 0,
            step_end: None,
            figures: Figures {
                received: smallvec![0; readers],
                ..Figures::default()
            },
            received: smallvec![0; readers],
            busy_ms: 0.0,
            constants,
        }
    }

    /// Role in force.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether it is away.
    #[must_use]
    pub fn is_away(&self) -> bool {
        matches!(self.state, State::Away(..))
    }

    /// Whether nothing is in service or queued.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Time spent in steps.
    #[must_use]
    pub fn busy_ms(&self) -> f64 {
        self.busy_ms
    }

    /// Takes a job; returns whether it did.
    pub fn submit(&mut self, now: Duration, job: Job) -> bool {
        self.received[job.reader] += 1;
        if !self.is_serving() {
            return false;
        }
        self.admitted += 1;
        self.waiting.push((self.admitted, job));
        if self.step_end.is_none() {
            self.begin_step(now);
        }
        true
    }

    /// Drops a job.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|(_, job)| job.attempt != attempt);
        let position = self
            .running
            .iter()
            .position(|running| running.job.attempt == attempt);
        if let Some(position) = position {
            let gone = self.running.remove(position);
            self.cache.release(&gone.job.prefixes, &gone.held);
        }
    }

    /// Finishes what it has, then is away and comes back in another role.
    pub fn change_role(&mut self, now: Duration, role: Role) {
        self.state = State::Draining(role);
        self.leave_when_idle(now);
    }

    /// Loses everything and is away for a restart. A role change in progress is completed by it.
    pub fn crash(&mut self, now: Duration) -> Vec<Progress> {
        let role = match self.state {
            State::Serving => self.role,
            State::Draining(role) | State::Away(_, role) => role,
        };
        let waiting = self.waiting.drain(..).map(|(_, job)| job.attempt);
        let running = self.running.drain(..).map(|running| running.job.attempt);
        let failed = waiting.chain(running).map(Progress::Failed).collect();
        self.state = State::Away(now + self.constants.restart_ms, role);
        self.step_end = None;
        self.lose_cache(now);
        failed
    }

    /// When [`Engine::advance`] has something to do.
    #[must_use]
    pub fn next(&self) -> Option<Duration> {
        match self.state {
            State::Away(until, _) => Some(until),
            State::Serving | State::Draining(_) => self.step_end,
        }
    }

    /// Does what is due and tells of it.
    pub fn advance(&mut self, now: Duration) -> Vec<Progress> {
        if let State::Away(until, role) = self.state {
            if until <= now {
                self.role = role;
                self.state = State::Serving;
            }
            return Vec::new();
        }
        if self.step_end.is_none_or(|end| end > now) {
            return Vec::new();
        }
        let progress = self.finish_step(now);
        self.begin_step(now);
        self.leave_when_idle(now);
        progress
    }

    /// Load figures, taken a while ago.
    #[must_use]
    pub fn figures(&mut self, now: Duration) -> &Figures {
        if self.step_end.is_none() {
            self.take_figures(now);
        }
        &self.figures
    }

    /// Cache events that are due.
    pub fn cache_events(&mut self, now: Duration) -> Vec<CacheEvent> {
        self.feed.take(now)
    }

    fn rates(&self) -> RoleRates {
        let at = match self.role {
            Role::Prefill => 0,
            Role::Mixed => 1,
            Role::Decode => 2,
        };
        self.constants.rates[at]
    }

    fn begin_step(&mut self, now: Duration) {
        self.admit(now);
        if now >= self.figures.taken + self.constants.figures_ms {
            self.take_figures(now);
        }
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let rates = self.rates();
        let mut left = rates.chunk_tokens;
        let mut streams = 0.0;
        for running in &mut self.running {
            running.chunk = running.prefill_left.min(left);
            left -= running.chunk;
            if running.prefill_left == 0 {
                streams += 1.0;
            }
        }
        let chunk = f64::from(rates.chunk_tokens - left);
        let step_ms =
            rates.step_ms + rates.stream_ms * streams + rates.prefill_ms_per_token * chunk;
        self.busy_ms += step_ms;
        self.step_end = Some(now + Duration::from_secs_f64(step_ms / 1e3));
    }

    fn finish_step(&mut self, now: Duration) -> Vec<Progress> {
        let mut progress = Vec::new();
        let mut stored = Vec::new();
        for running in &mut self.running {
            let attempt = running.job.attempt;
            if running.prefill_left == 0 {
                running.output_left = running.output_left.saturating_sub(1);
            } else if running.chunk > 0 {
                running.prefill_left -= running.chunk;
                if running.prefill_left > 0 {
                    continue;
                }
                let prefixes = &running.job.prefixes;
                self.cache.publish(prefixes, &mut running.held, &mut stored);
                running.output_left = running.job.output_tokens.saturating_sub(1);
                progress.push(Progress::FirstToken(attempt));
            } else {
                continue;
            }
            if running.output_left == 0 {
                progress.push(Progress::Ended(
                    attempt,
                    self.constants.usage(&running.job, &running.held),
                ));
                self.cache.release(&running.job.prefixes, &running.held);
            }
        }
        self.running
            .retain(|running| running.prefill_left > 0 || running.output_left > 0);
        for prefix in stored {
            self.feed.add(now, prefix, true, &mut self.rng);
        }
        progress
    }

    /// Moves waiting jobs into service while there are slots and memory.
    fn admit(&mut self, now: Duration) {
        let slots = self.rates().slots as usize;
        if self.waiting.is_empty() || self.running.len() >= slots {
            return;
        }
        self.waiting
            .sort_by_key(|(order, job)| (job.priority, *order));
        let mut evicted = Vec::new();
        let mut taken = 0;
        while taken < self.waiting.len() && self.running.len() < slots {
            let (order, job) = &self.waiting[taken];
            let whole = u32::try_from(job.prefixes.len()).unwrap_or(u32::MAX);
            let tail = job
                .prompt_tokens
                .saturating_sub(whole * self.constants.piece_tokens);
            let rest = (tail + job.output_tokens).div_ceil(self.constants.piece_tokens);
            let held = self.cache.admit(&job.prefixes, rest as usize, &mut evicted);
            let Some(held) = held else {
                break;
            };
            let cached = self.constants.cached(job, &held);
            self.running.push(Running {
                prefill_left: (job.prompt_tokens - cached).max(1),
                output_left: job.output_tokens,
                job: job.clone(),
                held,
                order: *order,
                chunk: 0,
            });
            taken += 1;
        }
        self.waiting.drain(..taken);
        if taken > 0 {
            self.running
                .sort_by_key(|running| (running.job.priority, running.order));
        }
        for prefix in evicted {
            self.feed.add(now, prefix, false, &mut self.rng);
        }
    }

    fn leave_when_idle(&mut self, now: Duration) {
        if let State::Draining(role) = self.state
            && self.is_idle()
        {
            self.state = State::Away(now + self.constants.change_ms, role);
            self.step_end = None;
            self.lose_cache(now);
        }
    }

    /// Loses the cache; nothing is published of that, which is one of the gaps.
    fn lose_cache(&mut self, now: Duration) {
        self.cache.clear();
        self.take_figures(now);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn take_figures(&mut self, now: Duration) {
        let waiting = self.waiting.iter().map(|(_, job)| job);
        let prefill: u64 = self.running.iter().map(|r| u64::from(r.prefill_left)).sum();
        let decode: u64 = self.running.iter().map(Running::expected_output).sum();
        let (prompts, outputs) = waiting.fold((0, 0), |(prompts, outputs), job| {
            (
                prompts + u64::from(job.prompt_tokens),
                outputs + u64::from(job.max_output_tokens / 2),
            )
        });
        self.figures.taken = now;
        self.figures.received.clone_from(&self.received);
        self.figures.running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.figures.queued = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.figures.prefill_tokens = prefill + prompts;
        self.figures.decode_tokens = decode + outputs;
        self.figures.used_permille = (self.cache.pinned_share() * 1e3) as u16;
    }
}

impl Running {
    /// Half of what is left of the upper bound, since the end is not known.
    fn expected_output(&self) -> u64 {
        let done = self.job.output_tokens - self.output_left;
        u64::from(self.job.max_output_tokens.saturating_sub(done) / 2)
    }
}
