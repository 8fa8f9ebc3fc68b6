//! What planning has to know of single targets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use routing::Standing;
use routing::TargetView;
use types::Role;
use types::TargetName;

/// Since when targets have been unavailable.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    since: BTreeMap<TargetName, Instant>,
}

impl Availability {
    /// Follows the targets of the service.
    pub fn note(&mut self, now: Instant, targets: &[TargetView]) {
        self.since
            .retain(|name, _| targets.iter().any(|view| view.name == *name));
        for view in targets {
            if is_open(view) {
                self.since.remove(&view.name);
            } else if !self.since.contains_key(&view.name) {
                self.since.insert(view.name.clone(), now);
            }
        }
    }

    /// A target whose absence is recent and may end soon. One that was taken out of service by
    /// configuration is not waited for.
    pub fn unsettled(
        &self,
        now: Instant,
        targets: &[TargetView],
        gone_ms: Duration,
    ) -> Option<TargetName> {
        let is_recent = |view: &&TargetView| {
            let since = self.since.get(&view.name);
            view.standing != Standing::NotActive
                && since.is_some_and(|since| now.saturating_duration_since(*since) < gone_ms)
        };
        targets.iter().find(is_recent).map(|view| view.name.clone())
    }
}

/// Whether a target takes new work.
pub(crate) fn is_open(view: &TargetView) -> bool {
    view.standing == Standing::Open
}

/// Whether a class has no other target that is tuned for it. A change to another role for the same
/// class counts too, because the target is away until it is done.
pub(crate) fn is_last_of_class(open: &[&TargetView], target: &TargetView) -> bool {
    let serves = |role: Role, class: Role| role == class || role == Role::Mixed;
    [Role::Prefill, Role::Decode].into_iter().any(|class| {
        let others = open.iter().filter(|view| view.name != target.name);
        let left = others.filter(|view| serves(view.role, class)).count();
        serves(target.role, class) && left == 0
    })
}
