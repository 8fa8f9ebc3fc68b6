//! Engines and their agents: work, reports, orders and faults.

use std::time::Duration;

use fakes::engine_job::Job;
use fakes::engine_job::Progress;
use types::AttemptId;
use types::LoadReport;
use types::Role;
use types::TargetState;

use super::World;
use super::call_of;
use super::event::Event;
use super::event::News;
use crate::script::Act;

/// Time until every entry follows a change of configuration.
const FOLLOW: Duration = Duration::from_millis(200);

impl World<'_> {
    pub(super) fn at_engine(&mut self, attempt: AttemptId, engine: usize) {
        let at = call_of(attempt);
        let call = &self.calls[at];
        let entry = call.entry;
        let job = Job {
            attempt,
            reader: entry,
            priority: self.class(at).priority,
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            max_output_tokens: call.max_output_tokens,
            prefixes: call.prefixes.clone(),
        };
        let host = &mut self.hosts[engine];
        let active = host.target.state == TargetState::Active;
        if !active || !host.engine.submit(self.now, job) {
            self.tell(entry, engine, Some(News::Rejected(attempt)));
            return;
        }
        self.wake_later(engine);
    }

    pub(super) fn wake(&mut self, engine: usize) {
        let host = &mut self.hosts[engine];
        if host.engine.next().is_none_or(|next| next > self.now) {
            return;
        }
        let was = (host.engine.is_serving(), host.engine.is_away());
        let progress = host.engine.advance(self.now);
        let is = (host.engine.is_serving(), host.engine.is_away());
        self.progressed(engine, &progress);
        if was != is {
            self.tell_all(engine);
        }
        self.wake_later(engine);
    }

    pub(super) fn progressed(&mut self, engine: usize, progress: &[Progress]) {
        for progress in progress {
            let (attempt, news) = match *progress {
                Progress::FirstToken(attempt) => (attempt, News::FirstToken(attempt)),
                Progress::Ended(attempt, usage) => (attempt, News::Ended(attempt, usage)),
                Progress::Failed(attempt) => (attempt, News::Failed(attempt)),
            };
            self.tell(self.calls[call_of(attempt)].entry, engine, Some(news));
        }
    }

    pub(super) fn order(&mut self, engine: usize, role: Role) {
        self.record.role_changes += 1;
        self.hosts[engine].engine.change_role(self.now, role);
        self.tell_all(engine);
        self.wake_later(engine);
    }

    pub(super) fn act(&mut self, act: Act) {
        match act {
            Act::Drain(engine) => {
                self.hosts[engine].target.state = TargetState::Draining;
                self.after(FOLLOW, Event::Configured(engine));
            }
            Act::Resume(engine) => {
                self.hosts[engine].target.state = TargetState::Active;
                self.after(FOLLOW, Event::Configured(engine));
            }
            Act::Crash(engine) => {
                let failed = self.hosts[engine].engine.crash(self.now);
                self.progressed(engine, &failed);
                self.tell_all(engine);
                self.wake_later(engine);
            }
            Act::TableDown => self.table_up = false,
            Act::TableUp => self.table_up = true,
        }
    }

    pub(super) fn tell_all(&mut self, engine: usize) {
        for entry in 0..self.entries.len() {
            self.tell(entry, engine, None);
        }
    }

    /// Sends a load report to an entry, with news of an attempt if there are any.
    pub(super) fn tell(&mut self, entry: usize, engine: usize, news: Option<News>) {
        let report = self.report(entry, engine);
        // Cache events are published once; every entry gets a copy.
        let cache = self.hosts[engine].engine.cache_events(self.now);
        for other in 0..self.entries.len() {
            let news = news.filter(|_| other == entry);
            if other != entry && cache.is_empty() {
                continue;
            }
            let event = Event::AtEntry {
                entry: other,
                engine,
                news,
                report: if other == entry {
                    report.clone()
                } else {
                    self.report(other, engine)
                },
                cache: cache.clone(),
            };
            self.after(self.distance(other, engine), event);
        }
    }

    pub(super) fn hear_now(&mut self, entry: usize, engine: usize) {
        let (now, report) = (self.instant(), self.report(entry, engine));
        let target = &self.hosts[engine].target;
        self.entries[entry].routing.heard(now, target, &report, &[]);
    }

    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn report(&mut self, entry: usize, engine: usize) -> LoadReport {
        let host = &mut self.hosts[engine];
        host.sequence += 1;
        let away = !host.engine.is_serving();
        let role = host.engine.role();
        let figures = host.engine.figures(self.now);
        LoadReport {
            incarnation: host.target.incarnation,
            sequence: host.sequence,
            age_ms: self.now.saturating_sub(figures.taken).as_millis() as u32,
            running: figures.running,
            queued: figures.queued,
            prefill_backlog_tokens: figures.prefill_tokens,
            decode_backlog_tokens: figures.decode_tokens,
            received: figures.received[entry],
            cache_used_permille: figures.used_permille,
            role,
            loaded: host.target.loaded.clone(),
            applied: host.target.applied,
            leaving: false,
            away,
        }
    }

    pub(super) fn wake_later(&mut self, engine: usize) {
        if let Some(next) = self.hosts[engine].engine.next() {
            self.after(next.saturating_sub(self.now), Event::Wake(engine));
        }
    }
}
