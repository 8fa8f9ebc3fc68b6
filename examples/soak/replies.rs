//! What callers make of the replies that reach them.

use fakes::target::answer_to;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;

use crate::callers::CallerEvent;
use crate::callers::Kind;
use crate::stores::is_not_kept;
use crate::world::Happening;
use crate::world::Phase;
use crate::world::World;

impl World {
    pub fn reply(&mut self, request: RequestId, reply: Reply) {
        let Some(sub) = self.subs.get_mut(&request) else {
            return;
        };
        if sub.excused {
            return;
        }
        if sub.finals > 0 {
            self.violation(format!(
                "invariant 4: {request:x} gets more after its final reply"
            ));
            return;
        }
        match reply {
            Reply::Head {
                status,
                content_type,
                ..
            } => {
                let again = std::mem::replace(&mut sub.head, true);
                if (status, content_type.as_str()) != (200, "text/plain") {
                    let head = format!("{status} {content_type}");
                    self.violation(format!("invariant 4: {request:x} gets the head {head}"));
                }
                if again {
                    self.violation(format!("invariant 4: {request:x} gets a second head"));
                }
            }
            Reply::Body(bytes) => {
                let length = bytes.len() as u64;
                sub.received.extend_from_slice(&bytes);
                let delay = if self.chance(20) {
                    self.millis(100, 400)
                } else {
                    self.millis(1, 6)
                };
                let consume = CallerEvent::Consume(request, length);
                self.after(delay, Happening::Caller(consume));
            }
            Reply::End => {
                sub.finals += 1;
                let received = std::mem::take(&mut sub.received);
                let op = sub.op;
                self.whole(request, op, &received);
            }
            Reply::Refused(refusal) => {
                sub.finals += 1;
                sub.received = Vec::new();
                let (op, head) = (sub.op, sub.head);
                self.refused(request, op, head, &refusal);
            }
        }
    }

    fn whole(&mut self, request: RequestId, op: usize, received: &[u8]) {
        self.check("4 whole own answer");
        let now = self.now();
        let body = self.ops[op].body.clone();
        let sampled = body.last().is_some_and(|byte| byte % 2 == 0);
        let (received, usage) = split_usage(received);
        let is_own = {
            let ledger = self.ledger.borrow();
            let runs = ledger.runs.get(&body);
            runs.is_some_and(|runs| {
                runs.iter()
                    .any(|run| answer_to(&body, *run, sampled) == received)
            })
        };
        let prompt_tokens = self.ops[op].size.prompt_tokens;
        let is_stated = match self.ops[op].kind {
            Kind::Read => usage == Some(prompt_tokens),
            Kind::Order | Kind::Keyless => usage.is_none(),
        };
        if !is_own || !is_stated {
            let start = String::from_utf8_lossy(&received[..received.len().min(60)]).into_owned();
            self.violation(format!(
                "invariant 4: {request:x} ({}) is answered with {} bytes: {start}",
                String::from_utf8_lossy(&body),
                received.len()
            ));
        }
        self.count("answers");
        if self.ops[op].again > 0 {
            self.check("4 large answer of a resend");
        }
        self.ops[op].answered.get_or_insert(now);
        self.ask_again(op);
    }

    fn refused(&mut self, request: RequestId, op: usize, head: bool, refusal: &Refusal) {
        let kind = self.ops[op].kind;
        let body = String::from_utf8_lossy(&self.ops[op].body).into_owned();
        self.note(&format!(
            "{body} {request:x} refused: {:?} {:?} head {head}: {}",
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
            self.check("5 not run");
            self.not_run.push(request);
            if self.ledger.borrow().ran.contains_key(&request) {
                self.violation(format!("invariant 5: {body} {request:x} was run"));
            }
        }
        if kind == Kind::Read && refusal.reason == RefusalReason::OutcomeUnknown {
            self.violation(format!("{body} {request:x} is idempotent and unknown"));
        }
        let cut_off = matches!(
            refusal.reason,
            RefusalReason::TargetFailed
                | RefusalReason::OutcomeUnknown
                | RefusalReason::DeadlineExceeded
                | RefusalReason::StoreUnavailable
        );
        let is_kept = !is_not_kept(&self.ops[op].body);
        if self.phase <= Phase::Planned && cut_off && is_kept {
            self.violation(format!(
                "invariant 2: {body} {request:x} was cut off without a fault: {refusal:?}"
            ));
        }
        if self.ops[op].answered.is_some() {
            self.count("refused: resend of an answered order");
            if refusal.reason == RefusalReason::OutcomeUnknown && is_kept {
                self.count("refused: outcome unknown after an answer that can be kept");
            }
            self.ask_again(op);
        }
        if let Some(wait) = refusal.retry_after_ms
            && refusal.reason != RefusalReason::OutcomeUnknown
        {
            self.resend(op, wait);
        }
    }

    /// A target has started a run.
    pub fn ran(&mut self, body: &[u8]) {
        if body.starts_with(b"Read") {
            return;
        }
        self.check("6 at most once");
        let runs = self.ledger.borrow().runs.get(body).map_or(0, Vec::len);
        if runs > 1 {
            self.violation(format!(
                "invariant 6: {} was run {runs} times",
                String::from_utf8_lossy(body)
            ));
        }
    }
}

/// Answer without the usage that engines add to it, and the prompt tokens stated there.
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
