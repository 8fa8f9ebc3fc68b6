//! Handles agent messages about attempts, and relays answers to callers under flow control.

use types::AttemptId;
use types::Incarnation;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::TargetName;
use types::Usage;
use wire::ToAgent;
use wire::ToEntry;

use crate::action::Action;
use crate::action::AttemptEnd;
use crate::answer::Answer;
use crate::answer::AnswerHead;
use crate::answer::Progress;
use crate::dispatch::WINDOW_BYTES;
use crate::requests::Context;
use crate::requests::Requests;
use crate::run::Waiter;

/// Minimum credit per grant, which limits the number of credit frames.
const MIN_CREDIT_BYTES: u64 = WINDOW_BYTES / 4;

impl Requests {
    pub(crate) fn agent_message(
        &mut self,
        cx: &mut Context,
        target: &TargetName,
        incarnation: Incarnation,
        message: ToEntry,
    ) {
        let Some(attempt) = attempt_of(&message) else {
            return;
        };
        if let ToEntry::Forbidden { outcome, .. } = message
            && let Some(&id) = self.agent_queries.get(&attempt)
        {
            self.query_answered(cx, id, incarnation, outcome);
            return;
        }
        let Some(id) = self.run_of(attempt, target, incarnation) else {
            return;
        };
        match message {
            ToEntry::Rejected { reason, .. } => self.attempt_rejected(cx, id, Some(reason)),
            ToEntry::Failed { run, detail, .. } => match run {
                RunState::NotRun => self.attempt_rejected(cx, id, None),
                RunState::Unknown => {
                    self.record_lost_run(cx, id);
                    self.attempt_failed(cx, id, &detail);
                }
            },
            ToEntry::Head {
                status,
                content_type,
                headers,
                ..
            } => {
                let head = AnswerHead {
                    status,
                    content_type,
                    headers,
                };
                let progress = self.answer(id).map(|answer| answer.receive_head(head));
                self.apply_progress(cx, id, progress);
            }
            ToEntry::Chunk { offset, bytes, .. } => {
                self.record_first_bytes(cx, id);
                let progress = self
                    .answer(id)
                    .map(|answer| answer.receive_chunk(offset, bytes));
                self.apply_progress(cx, id, progress);
            }
            ToEntry::End {
                length,
                digest,
                usage,
                ..
            } => {
                let progress = self
                    .answer(id)
                    .map(|answer| answer.receive_end(length, &digest));
                self.answer_ended(cx, id, progress, usage);
            }
            _ => {}
        }
    }

    /// Id of the run whose current attempt is this one, at this incarnation of the target.
    fn run_of(
        &self,
        attempt: AttemptId,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> Option<RequestId> {
        let id = *self.runs_by_attempt.get(&attempt)?;
        let current = self.runs.get(&id)?.attempt.as_ref()?;
        let is_current = current.id == attempt
            && current.target == *target
            && current.incarnation == incarnation;
        is_current.then_some(id)
    }

    fn answer(&mut self, id: RequestId) -> Option<&mut Answer> {
        self.runs.get_mut(&id).map(|run| &mut run.answer)
    }

    fn apply_progress(&mut self, cx: &mut Context, id: RequestId, progress: Option<Progress>) {
        match progress {
            Some(Progress::New(bytes)) => self.relay(cx, id, &bytes),
            Some(Progress::Gap) => self.request_resume(cx, id),
            Some(Progress::Mismatch) => self.answer_mismatched(cx, id),
            Some(Progress::Unchanged) | None => {}
        }
        self.grant_credit(cx, id);
    }

    fn answer_ended(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        progress: Option<Progress>,
        usage: Usage,
    ) {
        match progress {
            Some(Progress::Unchanged) => {
                self.end_attempt_with_usage(cx, id, AttemptEnd::Answered, usage);
                self.answered(cx, id, usage);
            }
            other => self.apply_progress(cx, id, other),
        }
    }

    fn relay(&mut self, cx: &mut Context, id: RequestId, bytes: &[u8]) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        for waiter in &mut run.waiters {
            relay_to(cx, &run.answer, run.tried_targets.last(), waiter, bytes);
        }
    }

    /// Sends a caller that joined a run the part of the answer that was already received.
    pub(crate) fn replay_to(&mut self, cx: &mut Context, id: RequestId, request: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let bytes = run
            .answer
            .retained()
            .map(<[u8]>::to_vec)
            .unwrap_or_default();
        if let Some(waiter) = run.waiters.iter_mut().find(|w| w.request == request) {
            relay_to(cx, &run.answer, run.tried_targets.last(), waiter, &bytes);
        }
    }

    /// Handles bytes of the answer that were written to a caller's socket.
    pub(crate) fn consumed(&mut self, cx: &mut Context, request: RequestId, bytes: u64) {
        let Some(&id) = self.runs_by_caller.get(&request) else {
            return;
        };
        if let Some(run) = self.runs.get_mut(&id)
            && let Some(waiter) = run.waiters.iter_mut().find(|w| w.request == request)
        {
            waiter.consumed = waiter.sent.min(waiter.consumed + bytes);
        }
        self.grant_credit(cx, id);
    }

    /// Grants the agent credit for the bytes that all callers have consumed.
    pub(crate) fn grant_credit(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let allowed = run.consumed() + WINDOW_BYTES;
        let received = run.answer.received();
        let Some(attempt) = &mut run.attempt else {
            return;
        };
        let more = allowed.saturating_sub(attempt.granted_offset);
        if more < MIN_CREDIT_BYTES {
            return;
        }
        attempt.granted_offset = allowed;
        cx.actions.push(Action::Send {
            target: attempt.target.clone(),
            message: ToAgent::Credit {
                attempt: attempt.id,
                received,
                bytes: u32::try_from(more).unwrap_or(u32::MAX),
            },
        });
    }

    /// Asks the agent to resume after a gap, once for each offset.
    fn request_resume(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let received = run.answer.received();
        match &mut run.attempt {
            Some(attempt) if attempt.resume_offset != Some(received) => {
                attempt.resume_offset = Some(received);
            }
            _ => return,
        }
        self.send_resume(cx, id);
    }

    /// Asks the agent to send the answer from the received offset on, over the current connection.
    pub(crate) fn send_resume(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let offset = run.answer.received();
        let allowed = run.consumed().max(offset.saturating_sub(WINDOW_BYTES)) + WINDOW_BYTES;
        let Some(attempt) = &mut run.attempt else {
            return;
        };
        attempt.granted_offset = allowed;
        cx.actions.push(Action::Send {
            target: attempt.target.clone(),
            message: ToAgent::Resume {
                attempt: attempt.id,
                offset,
                credit_bytes: u32::try_from(allowed - offset).unwrap_or(u32::MAX),
            },
        });
    }
}

fn relay_to(
    cx: &mut Context,
    answer: &Answer,
    served_by: Option<&TargetName>,
    waiter: &mut Waiter,
    bytes: &[u8],
) {
    let request = waiter.request;
    if let Some(head) = answer.head()
        && !waiter.is_head_sent
    {
        waiter.is_head_sent = true;
        let reply = Reply::Head {
            status: head.status,
            content_type: head.content_type.clone(),
            headers: head.headers.clone(),
            served_by: served_by.cloned().unwrap_or_default(),
        };
        cx.actions.push(Action::Reply { request, reply });
    }
    if bytes.is_empty() {
        return;
    }
    let since = cx.now.saturating_duration_since(waiter.accepted);
    waiter.first_byte_ms.get_or_insert(since);
    waiter.sent += bytes.len() as u64;
    let reply = Reply::Body(bytes.to_vec());
    cx.actions.push(Action::Reply { request, reply });
}

/// Attempt that the message belongs to, if any.
fn attempt_of(message: &ToEntry) -> Option<AttemptId> {
    match message {
        ToEntry::Accepted { attempt }
        | ToEntry::Rejected { attempt, .. }
        | ToEntry::Head { attempt, .. }
        | ToEntry::Chunk { attempt, .. }
        | ToEntry::End { attempt, .. }
        | ToEntry::Failed { attempt, .. }
        | ToEntry::Forbidden { attempt, .. } => Some(*attempt),
        ToEntry::Welcome { .. } | ToEntry::Load(_) | ToEntry::Cache(_) | ToEntry::Pong { .. } => {
            None
        }
    }
}
