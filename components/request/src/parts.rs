//! Applies the quarantine of prompt parts and of whole requests to runs.
//!
//! The parts of a prompt are the hashes of its prefixes, so equal text has the same id only after
//! the same beginning. Agents report that a run failed and may have been executed when their engine
//! has closed the connection and does not resume the answer.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use quarantine::Admission;
use quarantine::CrashReport;
use quarantine::PartId;
use quarantine::ProcessKey;
use quarantine::Quarantine;
use types::Incarnation;
use types::RefusalReason;
use types::RequestId;
use types::ServiceKind;
use types::Submission;
use types::TargetName;

use crate::action::Action;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Phase;
use crate::run::Run;

/// Time in which all failures at an engine come from one crash. Agents try to resume answers first,
/// and engines take some seconds to start.
const CRASH_MS: Duration = Duration::from_secs(3);
/// Interval at which runs that wait for the end of another run's trial check it again.
const TRIAL_POLL_MS: Duration = Duration::from_millis(100);
/// Interval at which old evidence is dropped.
const TICK_MS: Duration = Duration::from_secs(1);

/// Quarantine of an entry, with the crashes of the targets' engines.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    quarantine: Quarantine,
    /// Latest crash of each target's engine: its agent, when it began, and its number.
    crashes: BTreeMap<TargetName, (Incarnation, Instant, u64)>,
    ticked: Option<Instant>,
}

impl Parts {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            quarantine: Quarantine::new(seed),
            ..Self::default()
        }
    }

    /// Id of the engine's process that has crashed.
    fn crashed_process(
        &mut self,
        now: Instant,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> ProcessKey {
        let latest = self.crashes.entry(target.clone());
        let latest = latest.or_insert((incarnation, now, 0));
        let is_same = latest.0 == incarnation && now.saturating_duration_since(latest.1) < CRASH_MS;
        if !is_same {
            *latest = (incarnation, now, latest.2 + 1);
        }
        let mut hasher = DefaultHasher::new();
        (target, incarnation, latest.2).hash(&mut hasher);
        hasher.finish()
    }
}

/// Prefixes of the prompt, and a hash of all that makes a request the same when it comes again.
pub(crate) fn possible_causes(submission: &Submission) -> Vec<PartId> {
    let work = &submission.work;
    let mut hasher = blake3::Hasher::new();
    let texts = [
        submission.caller.as_bytes(),
        work.service.as_bytes(),
        work.method.as_str().as_bytes(),
        work.path.as_bytes(),
        work.content_type.as_bytes(),
        &work.body,
    ];
    for text in texts {
        // The length keeps two values apart from one that is the same text.
        hasher.update(&text.len().to_le_bytes());
        hasher.update(text);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    let request = PartId::from_le_bytes(first);
    work.prefixes.iter().copied().chain([request]).collect()
}

impl Requests {
    /// Whether a run may be dispatched now. A run with a quarantined part is refused, and one with a
    /// part that another run is on trial for waits for its end.
    pub(crate) fn may_dispatch_parts(&mut self, cx: &mut Context, id: RequestId) -> bool {
        let Some(run) = self.runs.get_mut(&id).filter(|run| is_checked(run)) else {
            return true;
        };
        let parts = &run.possible_causes;
        let admission = self
            .parts
            .quarantine
            .admission(cx.now, parts, &run.trial_parts);
        match admission {
            Admission::Free => true,
            Admission::Trial(trial) => {
                self.parts.quarantine.begin_trial(cx.now, &trial);
                run.trial_parts.extend(trial);
                true
            }
            Admission::Refused {
                retry_after_ms,
                is_quarantined: true,
            } => {
                let detail = "the request or a part of its prompt is quarantined, because engines \
                              crashed on it";
                let retry = retry_after_ms.max(RETRY_MS);
                let cause = RefusalCause::new(RefusalReason::TargetFailed, Some(retry), detail);
                self.refuse(cx, id, &cause);
                false
            }
            Admission::Refused { .. } => {
                run.phase = Phase::AwaitingTrial;
                self.set_timer(cx.now + TRIAL_POLL_MS, Timer::PartTrial);
                false
            }
        }
    }

    /// Queues the runs again that wait for the end of a trial.
    pub(crate) fn recheck_trials(&mut self, cx: &mut Context) {
        let waiting = self.runs.values();
        let waiting = waiting.filter(|run| run.phase == Phase::AwaitingTrial);
        let waiting: Vec<RequestId> = waiting.map(|run| run.id).collect();
        for id in waiting {
            self.redispatch(cx, id);
        }
    }

    /// Records the first bytes of a run's answer.
    pub(crate) fn record_first_bytes(&mut self, cx: &mut Context, id: RequestId) {
        if let Some(run) = self.runs.get(&id).filter(|run| is_checked(run)) {
            if let Some((request, parts)) = run.possible_causes.split_last() {
                let quarantine = &mut self.parts.quarantine;
                quarantine.record_sound(cx.now, parts);
                quarantine.record_sound_request(cx.now, *request);
            }
            self.report_part_changes(cx);
        }
    }

    /// Records that an engine has ended without an answer to a run that it may have begun.
    pub(crate) fn record_lost_run(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get(&id).filter(|run| is_checked(run)) else {
            return;
        };
        let Some(attempt) = run.attempt.as_ref() else {
            return;
        };
        let Some((request, parts)) = run.possible_causes.split_last() else {
            return;
        };
        let report = CrashReport {
            process: self
                .parts
                .crashed_process(cx.now, &attempt.target, attempt.incarnation),
            at: cx.now,
            // The agent has tried to resume the answer of an engine, which has certainly ended. A
            // plain service may only have lost the answer.
            is_likely: run.requirements.kind == ServiceKind::Model || !run.trial_parts.is_empty(),
            parts: parts.into(),
            request: Some(*request),
        };
        self.parts.quarantine.record_crash(cx.now, report);
        self.report_part_changes(cx);
    }

    pub(crate) fn end_trial(&mut self, now: Instant, run: &Run) {
        if !run.trial_parts.is_empty() {
            self.parts.quarantine.end_trial(now, &run.trial_parts);
        }
    }

    /// Drops old evidence.
    pub(crate) fn tick_parts(&mut self, cx: &mut Context) {
        let ticked = *self.parts.ticked.get_or_insert(cx.now);
        if cx.now.saturating_duration_since(ticked) >= TICK_MS {
            self.parts.ticked = Some(cx.now);
            self.parts.quarantine.tick(cx.now);
            self.report_part_changes(cx);
        }
    }

    fn report_part_changes(&mut self, cx: &mut Context) {
        let changes = self.parts.quarantine.take_changes().into_iter();
        cx.actions.extend(changes.map(Action::PartChange));
    }
}

/// Whether the quarantine applies: to runs of which no caller has bytes of the answer.
fn is_checked(run: &Run) -> bool {
    run.answer.received() == 0 && run.waiters.iter().all(|waiter| waiter.sent == 0)
}
