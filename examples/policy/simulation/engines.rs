//! Engines and their agents: attempts, load reports, role changes and faults.

use std::time::Duration;

use fakes::engine_job::Job;
use fakes::engine_job::Progress;
use types::AttemptId;
use types::LoadReport;
use types::Role;
use types::TargetState;

use super::Simulation;
use super::call_index;
use super::event::AttemptUpdate;
use super::event::Event;
use crate::script::ScriptedAction;

/// Time from a change of the configuration until all entries have it.
const CONFIGURATION_DELAY_MS: Duration = Duration::from_millis(200);

impl Simulation<'_> {
    pub(super) fn attempt_arrived(&mut self, attempt: AttemptId, engine: usize) {
        let at = call_index(attempt);
        let call = &self.calls[at];
        let entry = call.entry;
        let job = Job {
            attempt,
            entry,
            priority: self.class_of(at).priority,
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            max_output_tokens: call.max_output_tokens,
            prefixes: call.prefixes.clone(),
        };
        let host = &mut self.hosts[engine];
        let is_active = host.target.state == TargetState::Active;
        if !is_active || !host.engine.submit(self.now, job) {
            self.send_report(entry, engine, Some(AttemptUpdate::Rejected(attempt)));
            return;
        }
        self.schedule_engine_step(engine);
    }

    pub(super) fn step_engine(&mut self, engine: usize) {
        let host = &mut self.hosts[engine];
        if host
            .engine
            .next_event_at()
            .is_none_or(|next| next > self.now)
        {
            return;
        }
        let before = (host.engine.is_serving(), host.engine.is_away());
        let progress = host.engine.advance(self.now);
        let after = (host.engine.is_serving(), host.engine.is_away());
        self.send_progress(engine, &progress);
        if before != after {
            self.send_reports(engine);
        }
        self.schedule_engine_step(engine);
    }

    pub(super) fn send_progress(&mut self, engine: usize, progress: &[Progress]) {
        for progress in progress {
            let (attempt, update) = match *progress {
                Progress::FirstToken(attempt) => (attempt, AttemptUpdate::FirstToken(attempt)),
                Progress::Completed(attempt, usage) => {
                    (attempt, AttemptUpdate::Completed(attempt, usage))
                }
                Progress::Failed(attempt) => (attempt, AttemptUpdate::Failed(attempt)),
            };
            self.send_report(self.calls[call_index(attempt)].entry, engine, Some(update));
        }
    }

    pub(super) fn change_role(&mut self, engine: usize, role: Role) {
        self.record.role_changes += 1;
        self.hosts[engine].engine.change_role(self.now, role);
        self.send_reports(engine);
        self.schedule_engine_step(engine);
    }

    pub(super) fn apply_action(&mut self, action: ScriptedAction) {
        match action {
            ScriptedAction::Drain(engine) => {
                self.hosts[engine].target.state = TargetState::Draining;
                self.schedule(CONFIGURATION_DELAY_MS, Event::TargetChanged(engine));
            }
            ScriptedAction::Resume(engine) => {
                self.hosts[engine].target.state = TargetState::Active;
                self.schedule(CONFIGURATION_DELAY_MS, Event::TargetChanged(engine));
            }
            ScriptedAction::Crash(engine) => {
                let failed = self.hosts[engine].engine.crash(self.now);
                self.send_progress(engine, &failed);
                self.send_reports(engine);
                self.schedule_engine_step(engine);
            }
            ScriptedAction::TableDown => self.is_table_available = false,
            ScriptedAction::TableUp => self.is_table_available = true,
        }
    }

    pub(super) fn send_reports(&mut self, engine: usize) {
        for entry in 0..self.entries.len() {
            self.send_report(entry, engine, None);
        }
    }

    /// Sends a load report to an entry, with the progress of an attempt if there is any.
    pub(super) fn send_report(
        &mut self,
        entry: usize,
        engine: usize,
        update: Option<AttemptUpdate>,
    ) {
        let report = self.load_report(entry, engine);
        // The engine publishes each cache event once, so all entries get a copy now.
        let cache = self.hosts[engine].engine.cache_events(self.now);
        for other in 0..self.entries.len() {
            let update = update.filter(|_| other == entry);
            if other != entry && cache.is_empty() {
                continue;
            }
            let event = Event::ReportArrived {
                entry: other,
                engine,
                update,
                report: if other == entry {
                    report.clone()
                } else {
                    self.load_report(other, engine)
                },
                cache: cache.clone(),
            };
            self.schedule(self.one_way_latency(other, engine), event);
        }
    }

    pub(super) fn deliver_report(&mut self, entry: usize, engine: usize) {
        let (now, report) = (self.instant(), self.load_report(entry, engine));
        let target = &self.hosts[engine].target;
        self.entries[entry]
            .routing
            .report_received(now, target, &report, &[]);
    }

    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn load_report(&mut self, entry: usize, engine: usize) -> LoadReport {
        let host = &mut self.hosts[engine];
        host.sequence += 1;
        let away = !host.engine.is_serving();
        let role = host.engine.role();
        let load = host.engine.load_snapshot(self.now);
        LoadReport {
            incarnation: host.target.incarnation,
            sequence: host.sequence,
            age_ms: self.now.saturating_sub(load.taken_at).as_millis() as u32,
            running: load.running,
            queued: load.queued,
            prefill_backlog_tokens: load.prefill_tokens,
            decode_backlog_tokens: load.decode_tokens,
            received: load.received[entry],
            cache_used_permille: load.cache_used_permille,
            role,
            loaded: host.target.loaded.clone(),
            applied: host.target.applied,
            next_start_ms: 0,
            leaving: false,
            away,
        }
    }

    pub(super) fn schedule_engine_step(&mut self, engine: usize) {
        if let Some(next) = self.hosts[engine].engine.next_event_at() {
            self.schedule(next.saturating_sub(self.now), Event::EngineStep(engine));
        }
    }
}
