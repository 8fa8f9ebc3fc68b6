//! Connects the callers' port to the core.

use std::rc::Rc;

use async_channel::Receiver;
use callers::CallerLimits;
use callers::Gateway;
use callers::Health;
use types::Refusal;
use types::Reply;
use types::RequestId;
use types::Submission;

use crate::core::Event;
use crate::daemon::Daemon;

/// Passes requests of callers to the core.
pub struct EntryGateway {
    daemon: Rc<Daemon>,
}

impl EntryGateway {
    pub fn new(daemon: Rc<Daemon>) -> Self {
        Self { daemon }
    }
}

impl Gateway for EntryGateway {
    fn limits(&self, service: &str) -> Result<CallerLimits, Refusal> {
        let core = self.daemon.core.borrow();
        let service_config = core
            .service_config(service)
            .ok_or_else(|| core.refusal_without_config(service))?;
        Ok(CallerLimits {
            kind: service_config.kind,
            body_limit_bytes: service_config.profile.body_limit_bytes,
            output_limit_tokens: service_config.profile.output_limit_tokens,
        })
    }

    fn submit(&self, submission: Submission) -> (RequestId, Receiver<Reply>) {
        let (sender, receiver) = async_channel::unbounded();
        let request = self.daemon.core.borrow_mut().new_request();
        self.daemon.replies.borrow_mut().insert(request, sender);
        self.daemon.handle_event(Event::Submitted {
            request,
            submission,
        });
        (request, receiver)
    }

    fn consumed(&self, request: RequestId, bytes: u64) {
        self.daemon.handle_event(Event::Consumed { request, bytes });
    }

    fn hang_up(&self, request: RequestId) {
        self.daemon.replies.borrow_mut().remove(&request);
        self.daemon
            .handle_event(Event::CallerDisconnected { request });
    }

    fn health(&self) -> Health {
        Health {
            is_live: self.daemon.is_in_service.get(),
            is_ready: self.daemon.core.borrow().snapshot().is_some(),
        }
    }

    fn metrics(&self) -> String {
        self.daemon
            .metrics_recorder
            .render(&self.daemon.core.borrow())
    }
}
