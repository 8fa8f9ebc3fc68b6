//! Keeps each stream at the build that began it.

use std::time::Instant;

use builds::Notice;
use builds::Origin;
use builds::StreamKey;
use builds::stream_key;
use types::HostName;

use crate::core::Core;
use crate::core::RequestNumber;
use crate::core::decision::RefusalCause;
use crate::deployment::RetryPolicy;
use crate::deployment::Route;
use crate::log_event::LogEvent;
use crate::protocol::CallerRequest;

impl Core {
    /// Where the stream that a request resumes began; `None` if the request begins one. A caller that
    /// names the stream resumes it, also on a route that allowed that only before.
    pub(super) fn resumed_origin(
        &self,
        now: Instant,
        route: &Route,
        request: &CallerRequest,
    ) -> Result<Option<Origin>, RefusalCause> {
        let began = request.resumed_request.as_deref();
        let is_resumable = route.retry_policy == RetryPolicy::Resumable;
        if request.resume_after.is_none() || (!is_resumable && began.is_none()) {
            return Ok(None);
        }
        let origin = began.and_then(|began| self.origins.get(now, stream_key(began)));
        let origin = origin.cloned().ok_or(RefusalCause::UnknownBuild)?;
        let is_served = route
            .split
            .iter()
            .any(|split| split.service == origin.service);
        if is_served {
            Ok(Some(origin))
        } else {
            Err(RefusalCause::NoBuild)
        }
    }

    /// Records that the first event of a stream has come from the target of the current call.
    pub(super) fn record_origin(&mut self, now: Instant, number: RequestNumber) {
        let Some(active) = self.requests.get_mut(&number) else {
            return;
        };
        if active.route.retry_policy != RetryPolicy::Resumable {
            return;
        }
        let Some(call) = &active.current else {
            return;
        };
        let is_resumed = active.origin.is_some();
        if !is_resumed {
            active.origin = call.build.clone().map(|build| Origin {
                service: active.service.clone(),
                build,
            });
        }
        let Some(origin) = active.origin.clone() else {
            return;
        };
        self.log_events.push(LogEvent::StreamBegun {
            service: origin.service.clone(),
            build: origin.build.clone(),
            is_resumed,
        });
        let request = &active.request;
        let began = request
            .resumed_request
            .as_ref()
            .filter(|_| request.resume_after.is_some());
        let notice = Notice {
            key: stream_key(began.unwrap_or(&request.id)),
            origin,
        };
        self.origins.record(now, notice.clone());
        self.origin_notices.push(notice);
    }

    /// Takes the streams that were begun or resumed here since the last call.
    pub fn take_origin_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.origin_notices)
    }

    /// Records what another process tells of a stream.
    pub fn receive_origin(&mut self, now: Instant, notice: Notice) {
        self.origins.record(now, notice);
    }

    /// Where a stream began, if it is known here.
    #[must_use]
    pub fn origin(&self, now: Instant, key: StreamKey) -> Option<&Origin> {
        self.origins.get(now, key)
    }

    /// Entries that a process which has just started should hold.
    #[must_use]
    pub fn origins_held_by(&self, host: &HostName) -> Vec<Notice> {
        let heard: Vec<&HostName> = self.fleet.peers.heard().collect();
        self.origins.notices(|key| {
            let holders = builds::holders(key, heard.iter().copied());
            holders.contains(&host)
        })
    }
}
