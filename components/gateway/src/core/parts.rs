//! Applies the quarantine of prompt parts and of whole requests, and reports to it what calls show.

use std::time::Duration;
use std::time::Instant;

use quarantine::Admission;
use quarantine::CrashReport;
use quarantine::Notice;
use quarantine::PartState;
use quarantine::Record;
use smallvec::SmallVec;
use types::HostName;

use crate::core::Core;
use crate::core::RequestNumber;
use crate::core::active::ActiveRequest;
use crate::core::active::CurrentCall;
use crate::core::decision::CallOutcome;
use crate::core::decision::Ending;
use crate::core::decision::RefusalCause;
use crate::log_event::LogEvent;
use crate::protocol::Fingerprint;
use crate::protocol::ModelWork;
use crate::protocol::PartId;

/// Shortest `Retry-After` of a quarantined request. A retry in between would be refused
/// again.
const MIN_RETRY_AFTER_MS: Duration = Duration::from_secs(1);

/// Change of the stored quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartWrite {
    /// Store a part, or replace what is stored of it.
    Save(Record),
    /// Remove a part.
    Remove(PartId),
}

/// By what a request may crash engines: the parts of its prompt that other requests may share, which
/// are all but the last one, and the request as a whole.
pub(super) fn possible_causes(
    work: Option<&ModelWork>,
    fingerprint: Fingerprint,
) -> SmallVec<[PartId; 4]> {
    let parts = work.map_or(&[][..], |work| work.parts.as_slice());
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared = shared.iter().map(|part| part.id);
    shared.chain([fingerprint]).collect()
}

impl Core {
    /// Takes the requests whose calls are to be given up.
    pub fn take_cancelled(&mut self) -> Vec<RequestNumber> {
        std::mem::take(&mut self.cancelled)
    }

    /// Takes the changes to write to the stored quarantine.
    pub fn take_part_writes(&mut self) -> Vec<PartWrite> {
        std::mem::take(&mut self.part_writes)
    }

    /// Takes the notices about prompt parts that are due to be sent to the peers.
    pub fn take_part_notices(&mut self, now: Instant) -> Vec<Notice> {
        self.quarantine.take_notices(now)
    }

    /// Applies a peer's notice about prompt parts.
    pub fn receive_part_notice(&mut self, now: Instant, host: &HostName, notice: Notice) {
        self.quarantine.receive(now, host, notice);
        self.apply_part_changes(now);
    }

    /// Number of quarantined and of suspect parts.
    #[must_use]
    pub fn part_counts(&self) -> (usize, usize) {
        let quarantined = self.quarantine.quarantined().count();
        (quarantined, self.quarantine.suspect_count())
    }

    /// Applies stored parts. Those that later answers contradict are removed from the store, whose
    /// writer may not know of these. Those that a complete list lacks are stored again, as the store
    /// may have lost them.
    pub(super) fn apply_part_records(
        &mut self,
        now: Instant,
        records: &[Record],
        is_snapshot: bool,
    ) {
        for record in records {
            self.quarantine.receive_record(now, record);
            if !self.quarantine.is_quarantined(record.part) {
                self.part_writes.push(PartWrite::Remove(record.part));
            }
        }
        if is_snapshot {
            let is_stored = |part: &PartId| records.iter().any(|record| record.part == *part);
            let known = self.quarantine.quarantined();
            let lost: Vec<PartId> = known.filter(|part| !is_stored(part)).collect();
            let writes = lost
                .into_iter()
                .filter_map(|part| self.quarantine.record(now, part));
            self.part_writes.extend(writes.map(PartWrite::Save));
        }
        self.apply_part_changes(now);
    }

    /// Refuses a request that is quarantined or has a quarantined part, or makes it a trial of what is
    /// suspect.
    pub(super) fn check_parts(
        &mut self,
        now: Instant,
        active: &mut ActiveRequest,
    ) -> Result<(), Ending> {
        if active.has_begun() {
            return Ok(());
        }
        let admission = self
            .quarantine
            .admission(now, &active.possible_causes, &active.trial);
        match admission {
            Admission::Free => Ok(()),
            Admission::Trial(parts) => {
                self.quarantine.begin_trial(now, &parts);
                active.trial.extend(parts);
                Ok(())
            }
            Admission::Refused {
                retry_after_ms,
                is_quarantined,
            } => Err(Ending::Refuse {
                retry_after_ms: retry_after_ms.max(MIN_RETRY_AFTER_MS),
                cause: if is_quarantined {
                    RefusalCause::Quarantined
                } else {
                    RefusalCause::Suspect
                },
            }),
        }
    }

    pub(super) fn end_trial(&mut self, now: Instant, active: &ActiveRequest) {
        if !active.trial.is_empty() {
            self.quarantine.end_trial(now, &active.trial);
        }
    }

    /// Records that a target has answered a call, which began after an alleged crash or before.
    pub(super) fn record_live_process(&mut self, now: Instant, call: &CurrentCall) {
        self.quarantine.record_answer(now, call.key, call.started);
        self.apply_part_changes(now);
    }

    pub(super) fn record_first_event(&mut self, now: Instant, number: RequestNumber) {
        if let Some(active) = self.requests.remove(&number) {
            if let Some(call) = &active.current {
                self.record_sound(now, &active, call);
            }
            self.requests.insert(number, active);
        }
    }

    /// Records that a target has answered a request, with whatever status.
    pub(super) fn record_sound(
        &mut self,
        now: Instant,
        active: &ActiveRequest,
        call: &CurrentCall,
    ) {
        if let Some((request, parts)) = active.possible_causes.split_last() {
            self.quarantine.record_sound(now, parts);
            self.quarantine.record_sound_request(now, *request);
        }
        self.record_live_process(now, call);
    }

    /// Whether a request that was lost is not to be sent again: its loss was a trial, or a part of
    /// its prompt is suspect. One that is suspect only as a whole may be sent again, as a trial.
    pub(super) fn is_crash_suspect(&self, active: &ActiveRequest) -> bool {
        let parts = active.possible_causes.split_last();
        let parts = parts.map_or(&[][..], |(_, parts)| parts);
        !active.trial.is_empty() || self.quarantine.has_suspect(parts)
    }

    /// Reports a run whose target closed the connection before the first event.
    pub(super) fn record_lost_run(
        &mut self,
        now: Instant,
        active: &ActiveRequest,
        call: &CurrentCall,
        outcome: &CallOutcome,
    ) {
        let is_begun = match outcome {
            CallOutcome::AnswerLost {
                is_closed_by_target: true,
                ..
            } => false,
            CallOutcome::Broken {
                is_closed_by_target: true,
                ..
            } => true,
            _ => return,
        };
        let had_crashed = self.quarantine.had_crashed(call.key, call.started);
        if call.is_prefill || active.has_begun() || had_crashed {
            return;
        }
        let Some((request, parts)) = active.possible_causes.split_last() else {
            return;
        };
        let report = CrashReport {
            process: call.key,
            at: now,
            is_likely: is_begun || !active.trial.is_empty(),
            parts: parts.into(),
            request: Some(*request),
        };
        self.quarantine.record_crash(now, report);
        self.apply_part_changes(now);
    }

    /// Logs and stores the changes of parts, and gives up calls with a part that is quarantined now.
    pub(super) fn apply_part_changes(&mut self, now: Instant) {
        for change in self.quarantine.take_changes() {
            self.log_events.push(LogEvent::PartChange(change));
            if change.state == PartState::Quarantined {
                self.cancel_calls(change.part);
            }
            if !change.is_own {
                continue;
            }
            let write = match change.state {
                PartState::Suspect => None,
                PartState::Quarantined => {
                    let record = self.quarantine.record(now, change.part);
                    record.map(PartWrite::Save)
                }
                PartState::Released => Some(PartWrite::Remove(change.part)),
            };
            self.part_writes.extend(write);
        }
    }

    fn cancel_calls(&mut self, part: PartId) {
        let has_part = |active: &ActiveRequest| {
            active.current.is_some()
                && !active.has_begun()
                && active.possible_causes.contains(&part)
        };
        let cancelled = self.requests.iter().filter(|(_, active)| has_part(active));
        self.cancelled.extend(cancelled.map(|(number, _)| *number));
    }
}
