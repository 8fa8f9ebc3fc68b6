//! Builds that a process has seen in each service.
//!
//! If a service has had a single build for longer than any stream lives, each of its streams began
//! there, and nobody has to be asked.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use types::ServiceName;

use crate::Build;
use crate::Origin;

/// Time after its start from which a process knows all builds at which a stream can have begun;
/// longer than callers wait.
const CERTAIN_AFTER_MS: Duration = Duration::from_mins(1);

/// Builds by service since the start of the process.
#[derive(Debug)]
pub struct SeenBuilds {
    started: Instant,
    by_service: HashMap<ServiceName, SmallVec<[Option<Build>; 2]>>,
}

impl SeenBuilds {
    /// Has seen none.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            by_service: HashMap::new(),
        }
    }

    /// Records the build of a target; `None` if it is not known.
    pub fn record(&mut self, service: &ServiceName, build: Option<&Build>) {
        let builds = self.by_service.entry(service.clone()).or_default();
        if builds.len() < 2 && !builds.iter().any(|seen| seen.as_ref() == build) {
            builds.push(build.cloned());
        }
    }

    /// Origin of all streams of a service, if it has had only one build for long enough.
    /// `is_current` tells whether the list of targets is known to be up to date.
    #[must_use]
    pub fn only(&self, now: Instant, service: &ServiceName, is_current: bool) -> Option<Origin> {
        let is_certain =
            is_current && now.saturating_duration_since(self.started) >= CERTAIN_AFTER_MS;
        let builds = self.by_service.get(service).filter(|_| is_certain)?;
        match builds.as_slice() {
            [Some(build)] => Some(Origin {
                service: service.clone(),
                build: build.clone(),
            }),
            _ => None,
        }
    }
}
