//! Fixture: a process with its own time.
#![allow(dead_code)]

use std::time::Duration;
use std::time::Instant;

use quarantine::Admission;
use quarantine::CrashReport;
use quarantine::Notice;
use quarantine::Quarantine;

/// Time between two events of a test.
const STEP_MS: Duration = Duration::from_millis(10);

pub struct Process {
    pub now: Instant,
    pub state: Quarantine,
}

impl Process {
    pub fn start() -> Self {
        Self::start_at(Instant::now(), 1)
    }

    pub fn start_at(now: Instant, seed: u64) -> Self {
        Self {
            now,
            state: Quarantine::new(seed),
        }
    }

    pub fn wait(&mut self, time: Duration) {
        self.now += time;
        self.state.tick(self.now);
    }

    /// An engine crashes after the head of its answer.
    pub fn crash(&mut self, engine: u64, parts: &[u64]) {
        self.report(engine, true, parts);
    }

    /// A request waits at an engine that crashes.
    pub fn crash_waiting(&mut self, engine: u64, parts: &[u64]) {
        self.report(engine, false, parts);
    }

    /// Another engine crashes at the same moment, or another connection is reset.
    pub fn crash_at_once(&mut self, engine: u64, parts: &[u64]) {
        self.report_now(engine, true, parts);
    }

    fn report(&mut self, process: u64, is_likely: bool, parts: &[u64]) {
        self.wait(STEP_MS);
        self.report_now(process, is_likely, parts);
    }

    fn report_now(&mut self, process: u64, is_likely: bool, parts: &[u64]) {
        let report = CrashReport {
            process,
            at: self.now,
            is_likely,
            parts: parts.into(),
            request: None,
        };
        self.state.record_crash(self.now, report);
    }

    /// An answer begins.
    pub fn sound(&mut self, parts: &[u64]) {
        self.wait(STEP_MS);
        self.state.record_sound(self.now, parts);
    }

    /// An engine answers a call that began just before.
    pub fn answer(&mut self, engine: u64) {
        let called_at = self.now;
        self.wait(STEP_MS);
        self.state.record_answer(self.now, engine, called_at);
    }

    pub fn admission(&self, parts: &[u64]) -> Admission {
        self.state.admission(self.now, parts, &[])
    }

    pub fn refuses(&self, parts: &[u64]) -> bool {
        matches!(self.admission(parts), Admission::Refused { .. })
    }

    /// Sends what is due through the encoding of datagrams.
    pub fn notices(&mut self) -> Vec<Notice> {
        let notices = self.state.take_notices(self.now).into_iter();
        let encoded = notices.map(|notice| postcard::to_stdvec(&notice).unwrap());
        encoded
            .map(|bytes| postcard::from_bytes(&bytes).unwrap())
            .collect()
    }
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
