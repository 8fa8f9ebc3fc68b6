//! Checks of the replies that callers receive.

use fakes::target::answer_to;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;

use crate::callers::CallerEvent;
use crate::callers::Kind;
use crate::objects::exceeds_kept_answer_limit;
use crate::simulation::Phase;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    pub fn handle_reply(&mut self, request: RequestId, reply: Reply) {
        let Some(sent) = self.sent_requests.get_mut(&request) else {
            return;
        };
        if sent.is_closed {
            return;
        }
        if sent.final_replies > 0 {
            self.record_violation(format!(
                "invariant 4: {request:x} gets another reply after its final one"
            ));
            return;
        }
        match reply {
            Reply::Head {
                status,
                content_type,
                ..
            } => {
                let is_repeated = std::mem::replace(&mut sent.has_head, true);
                if (status, content_type.as_str()) != (200, "text/plain") {
                    let head = format!("{status} {content_type}");
                    self.record_violation(format!("invariant 4: {request:x} gets the head {head}"));
                }
                if is_repeated {
                    self.record_violation(format!("invariant 4: {request:x} gets a second head"));
                }
            }
            Reply::Body(bytes) => {
                let length = bytes.len() as u64;
                sent.received.extend_from_slice(&bytes);
                let delay = if self.chance(20) {
                    self.random_ms(100, 400)
                } else {
                    self.random_ms(1, 6)
                };
                let consume = CallerEvent::Consume(request, length);
                self.schedule_after(delay, SimEvent::Caller(consume));
            }
            Reply::End => {
                sent.final_replies += 1;
                let received = std::mem::take(&mut sent.received);
                let operation = sent.operation;
                self.check_answer(request, operation, &received);
            }
            Reply::Refused(refusal) => {
                sent.final_replies += 1;
                sent.received = Vec::new();
                let (operation, has_head) = (sent.operation, sent.has_head);
                self.check_refusal(request, operation, has_head, &refusal);
            }
        }
    }

    fn check_answer(&mut self, request: RequestId, operation: usize, received: &[u8]) {
        self.count_check("4 whole own answer");
        let now = self.now();
        let body = self.operations[operation].body.clone();
        let is_sampled = body.last().is_some_and(|byte| byte % 2 == 0);
        let (received, usage) = split_usage(received);
        let is_expected = {
            let execution_log = self.execution_log.borrow();
            let runs = execution_log.runs_by_body.get(&body);
            runs.is_some_and(|runs| {
                runs.iter()
                    .any(|run| answer_to(&body, *run, is_sampled) == received)
            })
        };
        let prompt_tokens = self.operations[operation].size.prompt_tokens;
        let is_stated = match self.operations[operation].kind {
            Kind::Read => usage == Some(prompt_tokens),
            Kind::Order | Kind::Keyless => usage.is_none(),
        };
        if !is_expected || !is_stated {
            let start = String::from_utf8_lossy(&received[..received.len().min(60)]).into_owned();
            self.record_violation(format!(
                "invariant 4: {request:x} ({}) is answered with {} bytes: {start}",
                String::from_utf8_lossy(&body),
                received.len()
            ));
        }
        self.count("answers");
        if self.operations[operation].answered_resends > 0 {
            self.count_check("4 large answer of a resend");
        }
        self.operations[operation].answered.get_or_insert(now);
        self.resend_answered(operation);
    }

    fn check_refusal(
        &mut self,
        request: RequestId,
        operation: usize,
        has_head: bool,
        refusal: &Refusal,
    ) {
        let kind = self.operations[operation].kind;
        let body = String::from_utf8_lossy(&self.operations[operation].body).into_owned();
        self.log(&format!(
            "{body} {request:x} refused: {:?} {:?} head {has_head}: {}",
            refusal.reason, refusal.run, refusal.detail
        ));
        self.count(match refusal.reason {
            RefusalReason::StoreUnavailable => "refused: store unavailable",
            RefusalReason::OutcomeUnknown => "refused: outcome unknown",
            RefusalReason::DeadlineExceeded => "refused: deadline exceeded",
            RefusalReason::TargetFailed => "refused: target failed",
            RefusalReason::NoTarget => "refused: no target",
            RefusalReason::Overloaded => "refused: overloaded",
            RefusalReason::Leaving => "refused: leaving",
            RefusalReason::NotReady => "refused: not ready",
            _ => "refused: other",
        });
        if refusal.run == RunState::NotRun {
            self.count_check("5 not run");
            self.refused_not_run.push(request);
            if self
                .execution_log
                .borrow()
                .runs_by_request
                .contains_key(&request)
            {
                self.record_violation(format!("invariant 5: {body} {request:x} was run"));
            }
        }
        if kind == Kind::Read && refusal.reason == RefusalReason::OutcomeUnknown {
            self.record_violation(format!(
                "idempotent {body} {request:x} was refused with outcome unknown"
            ));
        }
        let is_aborted = matches!(
            refusal.reason,
            RefusalReason::TargetFailed
                | RefusalReason::OutcomeUnknown
                | RefusalReason::DeadlineExceeded
                | RefusalReason::StoreUnavailable
        );
        let is_kept = !exceeds_kept_answer_limit(&self.operations[operation].body);
        if self.phase <= Phase::Planned && is_aborted && is_kept {
            self.record_violation(format!(
                "invariant 2: {body} {request:x} was aborted without a fault: {refusal:?}"
            ));
        }
        if self.operations[operation].answered.is_some() {
            self.count("refused: resend of an answered order");
            if refusal.reason == RefusalReason::OutcomeUnknown && is_kept {
                self.count("refused: outcome unknown after an answer that can be kept");
            }
            self.resend_answered(operation);
        }
        if let Some(wait) = refusal.retry_after_ms
            && refusal.reason != RefusalReason::OutcomeUnknown
        {
            self.resend(operation, wait);
        }
    }

    /// Checks invariant 6 when a target starts a run.
    pub fn check_run_count(&mut self, body: &[u8]) {
        if body.starts_with(b"Read") {
            return;
        }
        self.count_check("6 at most once");
        let runs = self
            .execution_log
            .borrow()
            .runs_by_body
            .get(body)
            .map_or(0, Vec::len);
        if runs > 1 {
            self.record_violation(format!(
                "invariant 6: {} was run {runs} times",
                String::from_utf8_lossy(body)
            ));
        }
    }
}

/// Splits an answer from the usage object that engines append; returns its prompt token count.
fn split_usage(received: &[u8]) -> (&[u8], Option<u32>) {
    const MARK: &[u8] = b"{\"usage\":";
    let Some(start) = received.windows(MARK.len()).rposition(|at| at == MARK) else {
        return (received, None);
    };
    let (answer, stated) = received.split_at(start);
    let stated: Option<serde_json::Value> = serde_json::from_slice(stated).ok();
    let tokens = stated.and_then(|stated| stated["usage"]["prompt_tokens"].as_u64());
    (answer, tokens.and_then(|tokens| u32::try_from(tokens).ok()))
}
