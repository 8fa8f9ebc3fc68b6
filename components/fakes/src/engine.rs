//! Model of an inference engine in virtual time: continuous batching, prefix cache, roles, and
//! load reports and cache events that are published late.
//!
//! The engine works in steps. In each step every request in the decode phase gets one token, and
//! a chunk of prompt tokens is processed, by priority (0 first) and within a priority in the order
//! of submission. Requests wait in the same order for a slot and for cache memory. The rules and
//! constants are stated in `docs/policy.md`.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::RoleRates;
use smallvec::SmallVec;
use smallvec::smallvec;
use types::AttemptId;
use types::CacheEvent;
use types::Role;

use crate::engine_cache::Allocation;
use crate::engine_cache::PieceCache;
use crate::engine_job::EngineSettings;
use crate::engine_job::Job;
use crate::engine_job::Progress;
use crate::engine_report::CacheEventQueue;
use crate::engine_report::LoadSnapshot;

#[derive(Debug)]
struct Running {
    job: Job,
    allocation: Allocation,
    submission: u64,
    prefill_left: u32,
    output_left: u32,
    chunk_tokens: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    /// Finishes the submitted jobs, then changes to this role.
    Draining(Role),
    /// Takes no jobs until this time, then serves in this role.
    Away(Duration, Role),
}

/// Fake inference engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    rng: SmallRng,
    role: Role,
    state: State,
    cache: PieceCache,
    event_queue: CacheEventQueue,
    waiting: Vec<(u64, Job)>,
    running: Vec<Running>,
    submissions: u64,
    step_end: Option<Duration>,
    load_snapshot: LoadSnapshot,
    received: SmallVec<[u64; 4]>,
    busy_ms: f64,
}

impl Engine {
    /// An idle engine with an empty cache, which takes jobs from `entries` entries.
    #[must_use]
    pub fn new(settings: EngineSettings, role: Role, entries: usize, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            role,
            state: State::Serving,
            cache: PieceCache::new(settings.capacity_pieces),
            event_queue: CacheEventQueue::new(
                settings.cache_event_delay_ms,
                settings.cache_event_loss_share,
            ),
            waiting: Vec::new(),
            running: Vec::new(),
            submissions: 0,
            step_end: None,
            load_snapshot: LoadSnapshot {
                received: smallvec![0; entries],
                ..LoadSnapshot::default()
            },
            received: smallvec![0; entries],
            busy_ms: 0.0,
            settings,
        }
    }

    /// Current role; a role change in progress does not show yet.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether new jobs are accepted.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the engine is unavailable for a role change or a restart.
    #[must_use]
    pub fn is_away(&self) -> bool {
        matches!(self.state, State::Away(..))
    }

    /// Whether no job is running or queued.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Total time spent in steps.
    #[must_use]
    pub fn busy_ms(&self) -> f64 {
        self.busy_ms
    }

    /// Queues a job; returns whether it was accepted.
    pub fn submit(&mut self, now: Duration, job: Job) -> bool {
        self.received[job.entry] += 1;
        if !self.is_serving() {
            return false;
        }
        self.submissions += 1;
        self.waiting.push((self.submissions, job));
        if self.step_end.is_none() {
            self.start_step(now);
        }
        true
    }

    /// Removes a job and releases its cache memory.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|(_, job)| job.attempt != attempt);
        let position = self
            .running
            .iter()
            .position(|running| running.job.attempt == attempt);
        if let Some(position) = position {
            let cancelled = self.running.remove(position);
            self.cache
                .release(&cancelled.job.prefixes, &cancelled.allocation);
        }
    }

    /// Finishes the submitted jobs, is then unavailable, and serves again in `role`.
    pub fn change_role(&mut self, now: Duration, role: Role) {
        self.state = State::Draining(role);
        self.start_role_change_if_idle(now);
    }

    /// Fails all jobs, empties the cache and restarts. The restart completes a pending role change.
    pub fn crash(&mut self, now: Duration) -> Vec<Progress> {
        let role = match self.state {
            State::Serving => self.role,
            State::Draining(role) | State::Away(_, role) => role,
        };
        let waiting = self.waiting.drain(..).map(|(_, job)| job.attempt);
        let running = self.running.drain(..).map(|running| running.job.attempt);
        let failed = waiting.chain(running).map(Progress::Failed).collect();
        self.state = State::Away(now + self.settings.restart_ms, role);
        self.step_end = None;
        self.clear_cache(now);
        failed
    }

    /// Time of the next call of [`Engine::advance`]; none while the engine is idle.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Duration> {
        match self.state {
            State::Away(until, _) => Some(until),
            State::Serving | State::Draining(_) => self.step_end,
        }
    }

    /// Processes what is due at `now` and returns the progress of the jobs.
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
        self.start_step(now);
        self.start_role_change_if_idle(now);
        progress
    }

    /// Last load snapshot; a busy engine takes one only at an interval.
    #[must_use]
    pub fn load_snapshot(&mut self, now: Duration) -> &LoadSnapshot {
        if self.step_end.is_none() {
            self.take_load_snapshot(now);
        }
        &self.load_snapshot
    }

    /// Cache events published since the last call.
    pub fn cache_events(&mut self, now: Duration) -> Vec<CacheEvent> {
        self.event_queue.take_due(now)
    }

    fn rates(&self) -> RoleRates {
        let at = match self.role {
            Role::Prefill => 0,
            Role::Mixed => 1,
            Role::Decode => 2,
        };
        self.settings.rates[at]
    }

    fn start_step(&mut self, now: Duration) {
        self.admit(now);
        if now >= self.load_snapshot.taken_at + self.settings.load_interval_ms {
            self.take_load_snapshot(now);
        }
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let rates = self.rates();
        let mut chunk_left = rates.chunk_tokens;
        let mut decoding = 0.0;
        for running in &mut self.running {
            running.chunk_tokens = running.prefill_left.min(chunk_left);
            chunk_left -= running.chunk_tokens;
            if running.prefill_left == 0 {
                decoding += 1.0;
            }
        }
        let processed = f64::from(rates.chunk_tokens - chunk_left);
        let step_ms =
            rates.step_ms + rates.stream_ms * decoding + rates.prefill_ms_per_token * processed;
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
            } else if running.chunk_tokens > 0 {
                running.prefill_left -= running.chunk_tokens;
                if running.prefill_left > 0 {
                    continue;
                }
                let prefixes = &running.job.prefixes;
                self.cache
                    .publish(prefixes, &mut running.allocation, &mut stored);
                running.output_left = running.job.output_tokens.saturating_sub(1);
                progress.push(Progress::FirstToken(attempt));
            } else {
                continue;
            }
            if running.output_left == 0 {
                progress.push(Progress::Completed(
                    attempt,
                    self.settings.usage(&running.job, &running.allocation),
                ));
                self.cache
                    .release(&running.job.prefixes, &running.allocation);
            }
        }
        self.running
            .retain(|running| running.prefill_left > 0 || running.output_left > 0);
        for prefix in stored {
            self.event_queue.push(now, prefix, true, &mut self.rng);
        }
        progress
    }

    /// Starts waiting jobs while there are free slots and cache memory.
    fn admit(&mut self, now: Duration) {
        let slots = self.rates().slots as usize;
        if self.waiting.is_empty() || self.running.len() >= slots {
            return;
        }
        self.waiting
            .sort_by_key(|(submission, job)| (job.priority, *submission));
        let mut evicted = Vec::new();
        let mut started = 0;
        while started < self.waiting.len() && self.running.len() < slots {
            let (submission, job) = &self.waiting[started];
            let prompt_pieces = u32::try_from(job.prefixes.len()).unwrap_or(u32::MAX);
            let tail_tokens = job
                .prompt_tokens
                .saturating_sub(prompt_pieces * self.settings.piece_tokens);
            let other_pieces =
                (tail_tokens + job.output_tokens).div_ceil(self.settings.piece_tokens);
            let allocation = self
                .cache
                .admit(&job.prefixes, other_pieces as usize, &mut evicted);
            let Some(allocation) = allocation else {
                break;
            };
            let cached = self.settings.cached_tokens(job, &allocation);
            self.running.push(Running {
                prefill_left: (job.prompt_tokens - cached).max(1),
                output_left: job.output_tokens,
                job: job.clone(),
                allocation,
                submission: *submission,
                chunk_tokens: 0,
            });
            started += 1;
        }
        self.waiting.drain(..started);
        if started > 0 {
            self.running
                .sort_by_key(|running| (running.job.priority, running.submission));
        }
        for prefix in evicted {
            self.event_queue.push(now, prefix, false, &mut self.rng);
        }
    }

    fn start_role_change_if_idle(&mut self, now: Duration) {
        if let State::Draining(role) = self.state
            && self.is_idle()
        {
            self.state = State::Away(now + self.settings.role_change_ms, role);
            self.step_end = None;
            self.clear_cache(now);
        }
    }

    /// Empties the cache without publishing evictions, which leaves a gap in the cache events.
    fn clear_cache(&mut self, now: Duration) {
        self.cache.clear();
        self.take_load_snapshot(now);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn take_load_snapshot(&mut self, now: Duration) {
        let waiting = self.waiting.iter().map(|(_, job)| job);
        let prefill: u64 = self.running.iter().map(|r| u64::from(r.prefill_left)).sum();
        let decode: u64 = self.running.iter().map(Running::expected_output).sum();
        let (prompts, outputs) = waiting.fold((0, 0), |(prompts, outputs), job| {
            (
                prompts + u64::from(job.prompt_tokens),
                outputs + u64::from(job.max_output_tokens / 2),
            )
        });
        self.load_snapshot.taken_at = now;
        self.load_snapshot.received.clone_from(&self.received);
        self.load_snapshot.running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.load_snapshot.queued = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.load_snapshot.prefill_tokens = prefill + prompts;
        self.load_snapshot.decode_tokens = decode + outputs;
        self.load_snapshot.cache_used_permille = (self.cache.pinned_share() * 1e3) as u16;
    }
}

impl Running {
    /// Half of the remaining output limit, since the engine does not know the output length.
    fn expected_output(&self) -> u64 {
        let done = self.job.output_tokens - self.output_left;
        u64::from(self.job.max_output_tokens.saturating_sub(done) / 2)
    }
}
