//! Evidence for and against prompt parts as the cause of crashes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::PartId;
use crate::ProcessKey;
use crate::recent::RecentTimes;

/// Maximum number of crash reports, and of parts in all of them; the oldest is dropped that no other
/// one confirms.
const REPORTS_LIMIT: usize = 64;
const REPORTED_PARTS_LIMIT: usize = 512;
/// Maximum number of reports of one crash under requests that are no likelier cause than others.
const REPORTS_PER_PROCESS_LIMIT: usize = 8;
/// Maximum number of parts of one prompt that are considered as the cause of a crash, so that a
/// report fits into a datagram, and that are remembered as sound.
pub(crate) const PARTS_LIMIT: usize = 64;
/// Number of parts of one prompt that are considered although they were sound before.
const SOUND_CAUSES_LIMIT: usize = 8;
/// Number of sound parts, of sound requests, and of processes that answered after a report, that are
/// remembered.
const SOUND_PARTS_LIMIT: usize = 16_384;
const SOUND_REQUESTS_LIMIT: usize = 4_096;
const LIVE_PROCESSES_LIMIT: usize = 64;
/// Time after which a crash report is dropped. Requests with the part may be rare.
const REPORT_LIFETIME_MS: Duration = Duration::from_mins(10);
/// Time after a crash in which an answer proves that the process still runs. Later the answer may
/// come from a process that was started again under the same name.
const REFUTATION_LIMIT_MS: Duration = Duration::from_secs(1);

/// A request that was lost before its first event, with the process that ran it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Process that closed the connection.
    pub process: ProcessKey,
    /// When the request was lost.
    pub at: Instant,
    /// Likelier to have crashed the process than others that it had: the head of the answer had
    /// arrived, which requests that wait do not have, or the request was on trial.
    pub is_likely: bool,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: SmallVec<[PartId; 4]>,
    /// Id of the whole request.
    pub request: Option<PartId>,
}

impl CrashReport {
    /// By what the request may have crashed the process.
    pub(crate) fn possible_causes(&self) -> impl Iterator<Item = PartId> {
        self.parts.iter().copied().chain(self.request)
    }
}

/// Processes that crashed beside each part that was never sound, up to two of them.
#[derive(Debug, Default)]
struct Confirmations(BTreeMap<PartId, SmallVec<[ProcessKey; 2]>>);

impl Confirmations {
    /// Whether another crash has a part in common with a report that was never sound.
    fn confirm(&self, report: &CrashReport) -> bool {
        report.possible_causes().any(|part| {
            let mut others = self.0.get(&part).into_iter().flatten();
            others.any(|process| *process != report.process)
        })
    }
}

/// All crash reports, and what contradicts them.
#[derive(Debug)]
pub(crate) struct Evidence {
    reports: Vec<CrashReport>,
    sound_parts: RecentTimes,
    /// Apart from the parts, so that callers who invent requests do not displace these.
    sound_requests: RecentTimes,
    live_processes: RecentTimes,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            reports: Vec::new(),
            sound_parts: RecentTimes::new(SOUND_PARTS_LIMIT),
            sound_requests: RecentTimes::new(SOUND_REQUESTS_LIMIT),
            live_processes: RecentTimes::new(LIVE_PROCESSES_LIMIT),
        }
    }
}

impl Evidence {
    /// Adds a report. Returns whether it is new and not contradicted already.
    pub(crate) fn add(&mut self, mut report: CrashReport) -> bool {
        self.keep_likeliest_parts(&mut report.parts);
        let is_refuted = self.is_refuted(report.process, report.at);
        let is_empty = report.possible_causes().next().is_none();
        if is_empty || is_refuted || self.has(&report) {
            return false;
        }
        let confirmations = self.confirmations();
        let is_confirmed = |report: &CrashReport| confirmations.confirm(report);
        if !report.is_likely && !is_confirmed(&report) {
            let of_process = self.reports.iter().filter(|known| {
                known.process == report.process && !known.is_likely && !is_confirmed(known)
            });
            if of_process.count() >= REPORTS_PER_PROCESS_LIMIT {
                return false;
            }
        }
        let reported = self.reports.iter().map(|known| known.parts.len());
        let mut parts = reported.sum::<usize>() + report.parts.len();
        while self.reports.len() >= REPORTS_LIMIT
            || (parts > REPORTED_PARTS_LIMIT && !self.reports.is_empty())
        {
            let mut reports = self.reports.iter();
            let unconfirmed = reports.position(|known| !is_confirmed(known));
            let dropped = self.reports.remove(unconfirmed.unwrap_or(0));
            parts -= dropped.parts.len();
        }
        self.reports.push(report);
        true
    }

    /// Of a long prompt, keeps the parts that were never sound, and some of those that have not been
    /// sound for the longest time. Of too many that were never sound, the later ones are kept, which
    /// fewer requests share.
    fn keep_likeliest_parts(&self, parts: &mut SmallVec<[PartId; 4]>) {
        if parts.len() <= SOUND_CAUSES_LIMIT {
            return;
        }
        let never_sound = parts
            .iter()
            .filter(|part| self.last_sound(**part).is_none());
        let count = never_sound.count().clamp(SOUND_CAUSES_LIMIT, PARTS_LIMIT);
        let mut places: Vec<usize> = (0..parts.len()).rev().collect();
        places.sort_by_key(|place| self.last_sound(parts[*place]));
        places.truncate(count);
        places.sort_unstable();
        *parts = places.into_iter().map(|place| parts[place]).collect();
    }

    /// The processes that crashed beside each part that was never sound.
    fn confirmations(&self) -> Confirmations {
        let mut confirmations = Confirmations::default();
        for report in &self.reports {
            let causes = report.possible_causes();
            for part in causes.filter(|part| self.last_sound(*part).is_none()) {
                let processes = confirmations.0.entry(part).or_default();
                // Two are enough to have another one for each process.
                if processes.len() < 2 && !processes.contains(&report.process) {
                    processes.push(report.process);
                }
            }
        }
        confirmations
    }

    fn has(&self, report: &CrashReport) -> bool {
        let mut known = self.reports.iter();
        known.any(|known| {
            known.process == report.process
                && known.parts == report.parts
                && known.request == report.request
        })
    }

    pub(crate) fn reports(&self) -> &[CrashReport] {
        &self.reports
    }

    /// Drops old reports. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let before = self.reports.len();
        self.reports
            .retain(|report| now.saturating_duration_since(report.at) < REPORT_LIFETIME_MS);
        self.reports.len() < before
    }

    pub(crate) fn record_sound(&mut self, part: PartId, at: Instant) {
        self.sound_parts.record(part, at);
    }

    /// Records that another process tells of an answer on the part, maybe again.
    pub(crate) fn refresh_sound(&mut self, part: PartId, at: Instant) {
        self.sound_parts.refresh(part, at);
    }

    pub(crate) fn record_sound_request(&mut self, request: PartId, at: Instant) {
        self.sound_requests.record(request, at);
    }

    /// When an answer on the part last began, or on the whole request.
    pub(crate) fn last_sound(&self, part: PartId) -> Option<Instant> {
        let times = [self.sound_parts.get(part), self.sound_requests.get(part)];
        times.into_iter().flatten().max()
    }

    /// Number of answers that are known to have begun on the part, or on the whole request.
    pub(crate) fn sound_count(&self, part: PartId) -> u32 {
        let parts = self.sound_parts.count(part);
        parts.saturating_add(self.sound_requests.count(part))
    }

    /// Whether an answer on the part has begun since a crash.
    pub(crate) fn is_cleared(&self, part: PartId, crashed_at: Instant) -> bool {
        self.last_sound(part)
            .is_some_and(|sound_at| sound_at >= crashed_at)
    }

    /// Records an answer of a process to a call that began at `called_at`. Returns whether that
    /// contradicts reports of its crash, which are dropped.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        process: ProcessKey,
        called_at: Instant,
    ) -> bool {
        let is_contradicted = self.reports.iter().any(|report| {
            report.process == process
                && report.at < called_at
                && now.saturating_duration_since(report.at) <= REFUTATION_LIMIT_MS
        });
        if is_contradicted {
            self.refute(process, now);
        }
        is_contradicted
    }

    /// Drops the reports of a process that has not crashed before `at`.
    pub(crate) fn refute(&mut self, process: ProcessKey, at: Instant) {
        self.live_processes.record(process, at);
        self.reports
            .retain(|report| report.process != process || report.at > at);
    }

    /// Whether a process has answered calls since it was reported as crashed.
    pub(crate) fn is_refuted(&self, process: ProcessKey, crashed_at: Instant) -> bool {
        let live = self.live_processes.get(process);
        live.is_some_and(|live| live >= crashed_at)
    }
}
