//! Retries: guards against requests that are refused, or wait until their deadline, although a
//! target could still answer them.

mod support;

use std::time::Instant;

use request::Action;
use request::Event;
use request::Requests;
use support::FixedRouter;
use support::load;
use support::profile;
use support::submission;
use support::submitted;
use types::AttemptId;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;

struct Entry {
    now: Instant,
    requests: Requests,
    router: FixedRouter,
    dispatched: Vec<AttemptId>,
    refused: Vec<(RefusalReason, RunState)>,
}

impl Entry {
    fn new() -> Self {
        let mut entry = Self {
            now: Instant::now(),
            requests: Requests::new(7, 1),
            router: FixedRouter::with(&[("a", 1)]),
            dispatched: Vec::new(),
            refused: Vec::new(),
        };
        entry.event(Event::ConnectionUp {
            target: "a".to_owned(),
            incarnation: 1,
        });
        entry
    }

    fn event(&mut self, event: Event) {
        for action in self.requests.handle(self.now, event, &mut self.router) {
            match action {
                Action::Send {
                    message: ToAgent::Dispatch(dispatch),
                    ..
                } => self.dispatched.push(dispatch.attempt),
                Action::Reply {
                    reply: Reply::Refused(refusal),
                    ..
                } => self.refused.push((refusal.reason, refusal.run)),
                _ => {}
            }
        }
    }

    fn submit(&mut self, request: RequestId) {
        let work = submission(None, &request.to_le_bytes());
        self.event(submitted(request, work, profile(true)));
    }

    /// Rejects the last attempt of a request.
    fn reject(&mut self, request: RequestId, reason: Rejection) {
        let last = self
            .dispatched
            .iter()
            .rfind(|attempt| attempt.request == request);
        let message = ToEntry::Rejected {
            attempt: *last.expect("the request was dispatched"),
            reason,
            load: load(1),
        };
        self.event(Event::Agent {
            target: "a".to_owned(),
            incarnation: 1,
            message,
        });
    }
}

/// Guards against a request that is refused after three quick rejections, seconds before its
/// deadline, by targets that are changing their model or role.
#[test]
fn rejections_by_busy_targets_use_up_no_attempts() {
    let busy = [
        Rejection::Away,
        Rejection::Leaving,
        Rejection::Overloaded,
        Rejection::WrongModel,
    ];
    let mut entry = Entry::new();
    entry.submit(1);
    for reason in busy {
        entry.reject(1, reason);
    }
    assert_eq!(entry.refused, vec![]);
    assert_eq!(entry.dispatched.len(), busy.len() + 1);
}

/// Guards against retries until the deadline at a target that refuses connections.
#[test]
fn gives_up_after_three_attempts_at_an_unreachable_target() {
    let mut entry = Entry::new();
    entry.submit(1);
    for _ in 0..3 {
        entry.reject(1, Rejection::Unreachable);
    }
    let refusal = (RefusalReason::TargetFailed, RunState::NotRun);
    assert_eq!(entry.refused, vec![refusal]);
    assert_eq!(entry.dispatched.len(), 3);
}

/// Guards against requests that wait for the retry budget until their deadline, because more of
/// their dispatches than the budget covers were lost with a single connection.
#[test]
fn sends_lost_dispatches_again_without_the_retry_budget() {
    const LOST: RequestId = 100;
    let mut entry = Entry::new();
    for request in 1..=LOST {
        entry.submit(request);
    }
    for request in 1..=LOST {
        entry.reject(request, Rejection::Forbidden);
    }
    assert_eq!(entry.refused, vec![]);
    let again = entry
        .dispatched
        .iter()
        .filter(|attempt| attempt.number == 2);
    assert_eq!(again.count() as u128, LOST);
}
