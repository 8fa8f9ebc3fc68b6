//! State of the quarantine: which parts are refused, suspect or on trial.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::PartId;
use crate::ProcessKey;
use crate::SenderName;
use crate::causes::Causes;
use crate::causes::Crashes;
use crate::causes::QUARANTINE_WEIGHT;
use crate::causes::weight;
use crate::evidence::CrashReport;
use crate::evidence::Evidence;
use crate::evidence::PARTS_LIMIT;
use crate::exchange::NOTICE_AGE_MS;

/// Duration of a quarantine by the weight of the crashes, of which each counts twice if an answer
/// had begun or the request was on trial. Few crashes may coincide for another reason, so the first quarantines are short.
const QUARANTINE_MS: [(usize, Duration); 4] = [
    (8, LONGEST_QUARANTINE_MS),
    (5, Duration::from_mins(10)),
    (4, Duration::from_secs(10)),
    (QUARANTINE_WEIGHT, Duration::from_secs(2)),
];
pub(crate) const LONGEST_QUARANTINE_MS: Duration = Duration::from_hours(1);
/// Number of crashes of a part that are kept; they are enough for the longest quarantine.
pub(crate) const CRASHES_LIMIT: usize = 8;
/// Time after the end of a quarantine for which a part without requests stays on trial.
const RETENTION_MS: Duration = Duration::from_mins(10);
/// Longest additional time for which a process refuses a part. It differs between processes, so that
/// they do not all send a request at the end of a quarantine, before they hear of each other's.
const SPREAD_MS: Duration = Duration::from_secs(2);
/// Maximum number of quarantined parts; the one that ends first is dropped.
const ENTRIES_LIMIT: usize = 64;
/// `Retry-After` of a request with a suspect part, while another one is on trial. Within that time
/// most engines send the first event.
const TRIAL_RETRY_AFTER_MS: Duration = Duration::from_secs(1);
/// Time without a notice after which the trials of another process are taken as ended.
const PEER_TRIALS_LIFETIME_MS: Duration = Duration::from_millis(1_500);
/// Time after a crash in which calls of the process are lost because it is down. Later, a process
/// that was reported as crashed has only lost answers, or was started again.
const DOWN_MS: Duration = Duration::from_secs(3);
/// Whether a request may be sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// No part is suspect.
    Free,
    /// These parts are suspect, and no other request with them is on trial.
    Trial(SmallVec<[PartId; 4]>),
    /// A part is quarantined, or another request with it is on trial.
    Refused {
        /// When it may be sent.
        retry_after_ms: Duration,
        /// A part is quarantined.
        is_quarantined: bool,
    },
}

/// State of a part, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartState {
    /// Requests are sent one at a time.
    Suspect,
    /// Requests are refused.
    Quarantined,
    /// Requests are sent as usual.
    Released,
}

/// Change of a part's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    /// Id of the part.
    pub part: PartId,
    /// New state.
    pub state: PartState,
    /// Crashes of which the part is the likeliest cause.
    pub crashes: usize,
    /// Time for which requests are refused.
    pub remaining_ms: Duration,
    /// The change follows from what this process has seen itself.
    pub is_own: bool,
}

/// A quarantined part, also after the time for which it is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) crashes: Crashes,
    pub(crate) until: Instant,
}

impl Entry {
    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Extends the quarantine to the time that follows from its crashes.
    pub(crate) fn extend_by_crashes(&mut self) {
        if let Some(last_crash) = self.last_crash() {
            let until = last_crash + duration(weight(&self.crashes));
            self.until = self.until.max(until);
        }
    }
}

/// A sound part that others are told of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SoundPart {
    pub(crate) part: PartId,
    /// When an answer on it began.
    pub(crate) at: Instant,
    /// Since when others are told.
    pub(crate) told_since: Instant,
}

/// Suspect and quarantined prompt parts, as this process knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Differs between processes.
    seed: u64,
    pub(crate) evidence: Evidence,
    pub(crate) entries: BTreeMap<PartId, Entry>,
    /// Quarantined parts as last reported in `changes`, with the end of their quarantine.
    reported: BTreeMap<PartId, Instant>,
    suspects: BTreeSet<PartId>,
    /// Parts of crash reports that no later answer contradicts.
    candidates: BTreeSet<PartId>,
    pub(crate) own_trials: BTreeSet<PartId>,
    pub(crate) peer_trials: BTreeMap<SenderName, (Instant, Vec<PartId>)>,
    /// Sound parts and live processes to tell others of.
    pub(crate) recent_sound: Vec<SoundPart>,
    pub(crate) recent_live: Vec<(ProcessKey, Instant)>,
    pub(crate) changed: Option<Instant>,
    pub(crate) is_change_unsent: bool,
    pub(crate) sent: Option<Instant>,
    changes: Vec<PartChange>,
}

impl Quarantine {
    /// Starts without knowledge. `seed` must differ between processes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Time for which this process refuses a part beyond its quarantine.
    fn spread(&self, part: PartId) -> Duration {
        let mixed = (self.seed ^ part).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let steps = u32::try_from(mixed >> 48).unwrap_or_default();
        SPREAD_MS.mul_f64(f64::from(steps) / f64::from(u16::MAX))
    }

    /// Whether a request may be sent whose prompt has these parts, apart from its last one, and
    /// which is identified by the last of them as a whole. `own_trial` has the parts that the request itself is a trial of.
    #[must_use]
    pub fn admission(&self, now: Instant, parts: &[PartId], own_trial: &[PartId]) -> Admission {
        let mut suspects = SmallVec::new();
        let mut refused: Option<(Duration, bool)> = None;
        for part in parts {
            let until = self.entries.get(part).map(|entry| entry.until);
            let until = until.map(|until| until + self.spread(*part));
            if let Some(until) = until.filter(|until| *until > now) {
                let wait = until - now;
                refused = refused.max(Some((wait, true)));
            } else if self.is_suspect(*part) && !own_trial.contains(part) {
                if self.is_on_trial(now, *part) {
                    refused = refused.max(Some((TRIAL_RETRY_AFTER_MS, false)));
                }
                suspects.push(*part);
            }
        }
        match refused {
            Some((retry_after_ms, is_quarantined)) => Admission::Refused {
                retry_after_ms,
                is_quarantined,
            },
            None if suspects.is_empty() => Admission::Free,
            None => Admission::Trial(suspects),
        }
    }

    /// Whether a part of a lost request may have crashed engines, so that it must not be retried.
    #[must_use]
    pub fn has_suspect(&self, parts: &[PartId]) -> bool {
        parts.iter().any(|part| self.is_suspect(*part))
    }

    /// Whether a process was reported as crashed and not heard since. A trial there would show
    /// nothing new.
    #[must_use]
    pub fn has_crashed(&self, process: ProcessKey) -> bool {
        let mut reports = self.evidence.reports().iter();
        reports.any(|report| report.process == process)
    }

    /// Whether a process had been reported as crashed shortly before a call of it began, so that
    /// the loss of the call is no evidence.
    #[must_use]
    pub fn had_crashed(&self, process: ProcessKey, called_at: Instant) -> bool {
        let reports = self.evidence.reports().iter();
        let mut times = reports.filter(|report| report.process == process);
        times.any(|report| report.at <= called_at && called_at < report.at + DOWN_MS)
    }

    fn is_suspect(&self, part: PartId) -> bool {
        self.suspects.contains(&part) || self.entries.contains_key(&part)
    }

    fn is_on_trial(&self, now: Instant, part: PartId) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_TRIALS_LIFETIME_MS;
        let mut peers = self.peer_trials.values();
        self.own_trials.contains(&part)
            || peers.any(|(at, parts)| is_recent(*at) && parts.contains(&part))
    }

    /// Records that a request with these suspect parts is sent.
    pub fn begin_trial(&mut self, now: Instant, parts: &[PartId]) {
        self.own_trials.extend(parts);
        self.set_changed(now);
    }

    /// Records that the request on trial has ended.
    pub fn end_trial(&mut self, now: Instant, parts: &[PartId]) {
        for part in parts {
            self.own_trials.remove(part);
        }
        self.set_changed(now);
    }

    /// Records a request that was lost before its first event because its process closed the
    /// connection.
    pub fn record_crash(&mut self, now: Instant, report: CrashReport) {
        if self.evidence.add(report) {
            self.set_changed(now);
            self.find_causes(now, true);
        }
    }

    /// Records the first event of an answer to a request with these parts.
    pub fn record_sound(&mut self, now: Instant, parts: &[PartId]) {
        let mut has_cleared = false;
        for (at, part) in parts.iter().enumerate() {
            if self.is_blamed(*part) {
                has_cleared = true;
                self.tell_sound(now, *part, now);
            } else if at >= PARTS_LIMIT {
                continue;
            }
            self.evidence.record_sound(*part, now);
        }
        if has_cleared {
            self.set_changed(now);
            self.find_causes(now, true);
        }
    }

    /// Records an answer to a request, by the id of the whole request.
    pub fn record_sound_request(&mut self, now: Instant, request: PartId) {
        let is_blamed = self.is_blamed(request);
        self.evidence.record_sound_request(request, now);
        if is_blamed {
            self.tell_sound(now, request, now);
            self.set_changed(now);
            self.find_causes(now, true);
        }
    }

    /// Records an answer of a process to a call that began at `called_at`.
    pub fn record_answer(&mut self, now: Instant, process: ProcessKey, called_at: Instant) {
        if self.evidence.record_answer(now, process, called_at) {
            self.recent_live.push((process, now));
            self.set_changed(now);
            self.find_causes(now, true);
        }
    }

    /// Whether there is evidence against a part that no later answer contradicts.
    fn is_blamed(&self, part: PartId) -> bool {
        self.entries.contains_key(&part) || self.candidates.contains(&part)
    }

    /// Drops what is too old to matter.
    pub fn tick(&mut self, now: Instant) {
        if self.evidence.expire(now) {
            self.find_causes(now, true);
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < NOTICE_AGE_MS;
        self.recent_sound
            .retain(|sound| is_recent(sound.told_since));
        self.recent_live.retain(|(_, at)| is_recent(*at));
        self.peer_trials
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < PEER_TRIALS_LIFETIME_MS);
        let is_kept = |entry: &Entry| now.saturating_duration_since(entry.until) < RETENTION_MS;
        let expired: Vec<PartId> = self
            .entries
            .iter()
            .filter(|(_, entry)| !is_kept(entry))
            .map(|(part, _)| *part)
            .collect();
        for part in &expired {
            self.entries.remove(part);
        }
        self.report_changes(now, true);
    }

    /// Quarantined parts, also those that are only refused while another request is on trial.
    pub fn quarantined(&self) -> impl Iterator<Item = PartId> {
        self.entries.keys().copied()
    }

    /// Whether a part is quarantined, also if it is only refused while another request is on trial.
    #[must_use]
    pub fn is_quarantined(&self, part: PartId) -> bool {
        self.entries.contains_key(&part)
    }

    /// Number of parts that are suspect and not quarantined.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Takes the changes to log and to store.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Tells others of an answer on a part that began at `at`.
    pub(crate) fn tell_sound(&mut self, now: Instant, part: PartId, at: Instant) {
        self.recent_sound.push(SoundPart {
            part,
            at,
            told_since: now,
        });
        self.set_changed(now);
    }

    pub(crate) fn set_changed(&mut self, now: Instant) {
        self.changed = Some(now);
        self.is_change_unsent = true;
    }

    /// Updates suspects and quarantined parts from the evidence.
    pub(crate) fn find_causes(&mut self, now: Instant, is_own: bool) {
        let causes = Causes::find(&self.evidence, &self.entries);
        self.entries
            .retain(|part, _| causes.quarantined.contains_key(part));
        for (part, crashes) in causes.quarantined {
            self.update_entry(now, part, crashes);
        }
        for part in causes.suspects.difference(&self.suspects) {
            self.changes.push(PartChange {
                part: *part,
                state: PartState::Suspect,
                crashes: 1,
                remaining_ms: Duration::ZERO,
                is_own,
            });
        }
        self.suspects = causes.suspects;
        self.candidates = causes.candidates;
        while self.entries.len() > ENTRIES_LIMIT {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            let Some(part) = first.map(|(part, _)| *part) else {
                break;
            };
            self.entries.remove(&part);
        }
        self.report_changes(now, is_own);
    }

    /// Reports the parts whose quarantine has begun, has been extended or has ended.
    fn report_changes(&mut self, now: Instant, is_own: bool) {
        for (part, entry) in &self.entries {
            if self.reported.insert(*part, entry.until) < Some(entry.until) {
                self.changes.push(PartChange {
                    part: *part,
                    state: PartState::Quarantined,
                    crashes: entry.crashes.len(),
                    remaining_ms: entry.until.saturating_duration_since(now),
                    is_own,
                });
            }
        }
        let entries = &self.entries;
        let released = self
            .reported
            .extract_if(.., |part, _| !entries.contains_key(part));
        self.changes.extend(released.map(|(part, _)| PartChange {
            part,
            state: PartState::Released,
            crashes: 0,
            remaining_ms: Duration::ZERO,
            is_own,
        }));
    }

    fn update_entry(&mut self, now: Instant, part: PartId, mut crashes: Crashes) {
        // The latest ones are kept.
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at));
        crashes.truncate(CRASHES_LIMIT);
        let known = self.entries.get(&part);
        let mut entry = Entry {
            until: known.map_or(now, |known| known.until),
            crashes,
        };
        let is_extended = known.is_none_or(|known| {
            weight(&known.crashes) < weight(&entry.crashes)
                || known.last_crash() < entry.last_crash()
        });
        if is_extended {
            entry.extend_by_crashes();
        }
        self.entries.insert(part, entry);
    }
}

/// Duration of a quarantine after crashes of this weight.
fn duration(weight: usize) -> Duration {
    let mut levels = QUARANTINE_MS.iter();
    let level = levels.find(|(least, _)| weight >= *least);
    level.map_or(Duration::ZERO, |(_, duration)| *duration)
}
