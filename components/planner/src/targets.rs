//! Availability of targets, and the classes that they serve.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use routing::Standing;
use routing::TargetView;
use types::Role;
use types::TargetName;

/// Start of the current unavailability of each target.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    unavailable_since: BTreeMap<TargetName, Instant>,
}

impl Availability {
    /// Records which targets of the service are unavailable at `now`.
    pub fn update(&mut self, now: Instant, targets: &[TargetView]) {
        self.unavailable_since
            .retain(|name, _| targets.iter().any(|view| view.name == *name));
        for view in targets {
            if is_open(view) {
                self.unavailable_since.remove(&view.name);
            } else if !self.unavailable_since.contains_key(&view.name) {
                self.unavailable_since.insert(view.name.clone(), now);
            }
        }
    }

    /// First target that became unavailable less than `limit_ms` ago and may return.
    /// Targets taken out of service by configuration are ignored.
    pub fn unsettled(
        &self,
        now: Instant,
        targets: &[TargetView],
        limit_ms: Duration,
    ) -> Option<TargetName> {
        let is_recent = |view: &&TargetView| {
            let since = self.unavailable_since.get(&view.name);
            view.standing != Standing::NotActive
                && since.is_some_and(|since| now.saturating_duration_since(*since) < limit_ms)
        };
        targets.iter().find(is_recent).map(|view| view.name.clone())
    }
}

/// Whether a target takes new work.
pub(crate) fn is_open(view: &TargetView) -> bool {
    view.standing == Standing::Open
}

/// Whether `target` is the only open target for a class of requests. A change to another role that
/// serves the same class counts too, because the target is away during the change.
pub(crate) fn is_last_of_class(open: &[&TargetView], target: &TargetView) -> bool {
    let serves = |role: Role, class: Role| role == class || role == Role::Mixed;
    [Role::Prefill, Role::Decode].into_iter().any(|class| {
        let others = open.iter().filter(|view| view.name != target.name);
        let left = others.filter(|view| serves(view.role, class)).count();
        serves(target.role, class) && left == 0
    })
}
