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
use crate::deployment::TargetEntry;
use crate::log_event::LogEvent;
use crate::protocol::CallerRequest;

impl Core {
    /// Where the stream that a request resumes began; `None` if the request begins one.
    pub(super) fn resumed_origin(
        &self,
        now: Instant,
        route: &Route,
        request: &CallerRequest,
    ) -> Result<Option<Origin>, RefusalCause> {
        if request.resume_after.is_none() || route.retry_policy != RetryPolicy::Resumable {
            return Ok(None);
        }
        let began = request.resumed_request.as_deref().map(stream_key);
        let known = began.and_then(|key| self.origins.get(now, key)).cloned();
        let origin = known.or_else(|| self.only_origin(now, route));
        let origin = origin.ok_or(RefusalCause::UnknownBuild)?;
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

    /// Origin of all streams of a route, if it has one service with one build.
    fn only_origin(&self, now: Instant, route: &Route) -> Option<Origin> {
        let [split] = route.split.as_slice() else {
            return None;
        };
        let is_current = self.fleet.is_list_current();
        self.seen_builds.only(now, &split.service, is_current)
    }

    pub(super) fn record_build(&mut self, entry: &TargetEntry) {
        self.seen_builds
            .record(&entry.service, entry.build.as_ref());
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
