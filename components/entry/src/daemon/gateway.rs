//! The entry as the callers' side sees it.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use callers::CallerLimits;
use callers::Gateway;
use callers::Health;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Submission;

use crate::core::Event;
use crate::daemon::Daemon;

/// When to come back to an entry with too many requests in flight.
const OVERLOAD_RETRY_MS: Duration = Duration::from_secs(1);

/// Hands callers' requests to the daemon.
pub struct EntryGateway {
    daemon: Rc<Daemon>,
}

impl EntryGateway {
    pub fn new(daemon: Rc<Daemon>) -> Self {
        Self { daemon }
    }

    fn is_full(&self) -> bool {
        let in_flight = self.daemon.core.borrow().in_flight();
        in_flight >= self.daemon.settings.limits.requests
    }
}

impl Gateway for EntryGateway {
    fn limits(&self, service: &str) -> Result<CallerLimits, Refusal> {
        let core = self.daemon.core.borrow();
        let terms = core.terms(service).ok_or_else(|| core.no_terms(service))?;
        Ok(CallerLimits {
            kind: terms.kind,
            body_limit_bytes: terms.profile.body_limit_bytes,
            output_limit_tokens: terms.profile.output_limit_tokens,
        })
    }

    fn submit(&self, submission: Submission) -> (RequestId, Receiver<Reply>) {
        let (sender, receiver) = async_channel::unbounded();
        let request = self.daemon.core.borrow_mut().new_request();
        if self.is_full() {
            let _ = sender.try_send(Reply::Refused(Refusal {
                reason: RefusalReason::Overloaded,
                run: RunState::NotRun,
                retry_after_ms: Some(OVERLOAD_RETRY_MS),
                detail: "this entry has too many requests in flight".to_owned(),
            }));
            return (request, receiver);
        }
        self.daemon.replies.borrow_mut().insert(request, sender);
        self.daemon.feed(Event::Submitted {
            request,
            submission,
        });
        (request, receiver)
    }

    fn consumed(&self, request: RequestId, bytes: u64) {
        self.daemon.feed(Event::Consumed { request, bytes });
    }

    fn hang_up(&self, request: RequestId) {
        self.daemon.replies.borrow_mut().remove(&request);
        self.daemon.feed(Event::CallerGone { request });
    }

    fn health(&self) -> Health {
        Health {
            staying: self.daemon.staying.get(),
            ready: self.daemon.core.borrow().snapshot().is_some(),
        }
    }

    fn metrics(&self) -> String {
        self.daemon.meters.render(&self.daemon.core.borrow())
    }
}
