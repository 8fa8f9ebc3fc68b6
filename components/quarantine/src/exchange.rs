//! Exchange of notices between processes, and of records with the store.

use std::time::Duration;
use std::time::Instant;

use crate::PartId;
use crate::causes::AttributedCrash;
use crate::causes::Crashes;
use crate::evidence::CrashReport;
use crate::notice;
use crate::notice::Crash;
use crate::notice::CrashNotice;
use crate::notice::Notice;
use crate::notice::Record;
use crate::notice::SoundNotice;
use crate::state::CRASHES_LIMIT;
use crate::state::Entry;
use crate::state::LONGEST_QUARANTINE_MS;
use crate::state::Quarantine;

/// Interval and duration of the first notices after a change. They are repeated, as some may be
/// lost, and soon, as the next request with the part may reach another process.
const FIRST_INTERVAL_MS: Duration = Duration::from_millis(50);
const FIRST_MS: Duration = Duration::from_millis(150);
/// Interval and duration of the further notices after a change, and interval while a trial runs.
const REPEAT_INTERVAL_MS: Duration = Duration::from_millis(400);
const REPEAT_MS: Duration = Duration::from_millis(1_300);
/// Interval of notices while parts are quarantined, for processes that have just started or were
/// cut off.
const SYNC_INTERVAL_MS: Duration = Duration::from_secs(2);
/// Longest time that a notice is expected to take.
const NOTICE_DELAY_MS: Duration = Duration::from_millis(500);
/// Most crash reports, the newest ones, that are sent at a time.
const NOTICE_CRASHES_LIMIT: usize = 32;
/// Age up to which crashes, sound parts and live processes are part of notices.
pub(crate) const NOTICE_AGE_MS: Duration = Duration::from_secs(5);

impl Quarantine {
    /// The stored form of a quarantined part.
    #[must_use]
    pub fn record(&self, now: Instant, part: PartId) -> Option<Record> {
        let entry = self.entries.get(&part)?;
        Some(Record {
            part,
            crashes: entry
                .crashes
                .iter()
                .map(|crash| Crash {
                    process: crash.process,
                    age_ms: now.saturating_duration_since(crash.at),
                    is_likely: crash.is_likely,
                })
                .collect(),
            remaining_ms: entry.until.saturating_duration_since(now),
        })
    }

    /// Adds a quarantined part that was stored, or that another process knows.
    pub fn receive_record(&mut self, now: Instant, record: &Record) {
        self.add_record(now, record);
        self.find_causes(now, false);
    }

    fn add_record(&mut self, now: Instant, record: &Record) {
        let until = now + record.remaining_ms.min(LONGEST_QUARANTINE_MS);
        let entry = self.entries.entry(record.part).or_insert_with(|| Entry {
            crashes: Crashes::new(),
            until,
        });
        // A notice takes some time, by which each one would extend the quarantine. One that has
        // ended has no time left, whenever it ended.
        if !record.remaining_ms.is_zero() && until > entry.until + NOTICE_DELAY_MS {
            entry.until = until;
        }
        let known_crashes = entry.crashes.len();
        for crash in &record.crashes {
            let mut known = entry.crashes.iter();
            let is_known = known.any(|known| known.process == crash.process);
            if !is_known && entry.crashes.len() < CRASHES_LIMIT {
                entry.crashes.push(AttributedCrash {
                    process: crash.process,
                    at: before(now, crash.age_ms),
                    is_likely: crash.is_likely,
                });
            }
        }
        // Two sides of a cut may have seen different crashes.
        if entry.crashes.len() > known_crashes {
            entry.extend_by_crashes();
        }
    }

    /// Applies a notice of another process.
    pub fn receive(&mut self, now: Instant, sender: &str, notice: Notice) {
        self.peer_trials
            .insert(sender.to_owned(), (now, notice.trials));
        for process in notice.live {
            self.evidence.refute(process, now);
        }
        for sound in &notice.sound {
            self.evidence
                .refresh_sound(sound.part, before(now, sound.age_ms));
        }
        for crash in notice.crashes {
            let report = CrashReport {
                process: crash.process,
                at: before(now, crash.age_ms),
                is_likely: crash.is_likely,
                parts: crash.parts.into(),
                request: crash.request,
            };
            for part in report.possible_causes() {
                self.tell_if_cleared(now, part, report.at);
            }
            self.evidence.add(report);
        }
        for record in &notice.quarantined {
            let last_crash = record.crashes.iter().map(|crash| crash.age_ms).min();
            if let Some(age_ms) = last_crash {
                self.tell_if_cleared(now, record.part, before(now, age_ms));
            }
            self.add_record(now, record);
        }
        self.find_causes(now, false);
    }

    /// Tells others of a part that this process knows to be sound since a crash that they blame it
    /// for.
    fn tell_if_cleared(&mut self, now: Instant, part: PartId, crashed_at: Instant) {
        let mut told = self.recent_sound.iter();
        if !self.evidence.is_cleared(part, crashed_at) || told.any(|sound| sound.part == part) {
            return;
        }
        if let Some(at) = self.evidence.last_sound(part) {
            self.tell_sound(now, part, at);
        }
    }

    /// Notices that are due, each small enough for a datagram.
    pub fn take_notices(&mut self, now: Instant) -> Vec<Notice> {
        if !self.is_notice_due(now) {
            return Vec::new();
        }
        self.sent = Some(now);
        self.is_change_unsent = false;
        let age = |at: Instant| now.saturating_duration_since(at);
        let reports = self.evidence.reports().iter().rev();
        let crashes = reports.filter(|report| age(report.at) < NOTICE_AGE_MS);
        let crashes = crashes.take(NOTICE_CRASHES_LIMIT);
        let crashes = crashes.map(|report| CrashNotice {
            process: report.process,
            age_ms: age(report.at),
            is_likely: report.is_likely,
            parts: report.parts.to_vec(),
            request: report.request,
        });
        let records = self.entries.keys();
        let sound = self.recent_sound.iter().map(|sound| SoundNotice {
            part: sound.part,
            age_ms: age(sound.at),
        });
        let (short, long): (Vec<_>, Vec<_>) =
            crashes.partition(|crash| crash.parts.len() <= notice::SHORT_REPORT_PARTS_LIMIT);
        let mut crashes = chunks(short.into_iter(), notice::CRASHES_LIMIT);
        let mut records = chunks(
            records.filter_map(|part| self.record(now, *part)),
            notice::RECORDS_LIMIT,
        );
        let mut sound = chunks(sound, notice::SOUND_LIMIT);
        let live = self.recent_live.iter().map(|(process, _)| *process);
        let mut live = chunks(live, notice::LIVE_LIMIT);
        let count = crashes.len().max(records.len()).max(sound.len());
        let count = count.max(live.len()).max(1);
        let trials = self.own_trials.iter().take(notice::TRIALS_LIMIT);
        let trials: Vec<PartId> = trials.copied().collect();
        let notices = (0..count).map(|_| Notice {
            trials: trials.clone(),
            crashes: crashes.next().unwrap_or_default(),
            quarantined: records.next().unwrap_or_default(),
            sound: sound.next().unwrap_or_default(),
            live: live.next().unwrap_or_default(),
        });
        let long = long.into_iter().map(|crash| Notice {
            trials: trials.clone(),
            crashes: vec![crash],
            ..Notice::default()
        });
        notices.chain(long).collect()
    }

    fn is_notice_due(&self, now: Instant) -> bool {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let since_sent = since(self.sent).unwrap_or(Duration::MAX);
        let since_changed = since(self.changed).unwrap_or(Duration::MAX);
        let interval = if since_changed < FIRST_MS {
            FIRST_INTERVAL_MS
        } else if since_changed < REPEAT_MS || !self.own_trials.is_empty() {
            REPEAT_INTERVAL_MS
        } else if self.entries.is_empty() {
            return self.is_change_unsent;
        } else {
            SYNC_INTERVAL_MS
        };
        self.is_change_unsent || since_sent >= interval
    }
}

fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}

fn chunks<T>(items: impl Iterator<Item = T>, size: usize) -> std::vec::IntoIter<Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    for item in items {
        match chunks.last_mut() {
            Some(chunk) if chunk.len() < size => chunk.push(item),
            _ => chunks.push(vec![item]),
        }
    }
    chunks.into_iter()
}
