//! Hints at orders, so that agents read the table soon after an order and rarely otherwise.
//!
//! A hint that is written to a connection arrives unless the connection has gone silent. It is
//! therefore watched for a while, and a connection that takes its place gets the hint again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use types::OrderNumber;
use types::TargetName;
use wire::ToAgent;

use crate::core::Action;
use crate::core::EntryCore;

/// Time that a connection is watched after a hint; a silent one is replaced after 2 s, and
/// opening the next one takes up to 2 s.
const WATCHED_MS: Duration = Duration::from_secs(5);

/// Targets that were sent a hint lately.
#[derive(Debug, Default)]
pub struct Hints {
    watched_until: BTreeMap<TargetName, Instant>,
}

impl Hints {
    /// Whether the connection to a target is to be watched.
    #[must_use]
    pub fn is_fresh(&self, target: &TargetName) -> bool {
        self.watched_until.contains_key(target)
    }

    /// Ends the watch of connections that has lasted long enough.
    pub fn forget_old(&mut self, now: Instant) {
        self.watched_until.retain(|_, until| *until > now);
    }
}

impl EntryCore {
    /// Announces an order if its target is connected; otherwise `Welcome` leads to the hint.
    pub(super) fn send_order_hint(
        &mut self,
        now: Instant,
        target: &TargetName,
        number: OrderNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(link) = self.links.link(target) else {
            return;
        };
        self.links.sent(now, link);
        let until = now + WATCHED_MS;
        self.hints.watched_until.insert(target.clone(), until);
        let message = ToAgent::OrderHint { number };
        actions.push(Action::Send { link, message });
    }

    /// Announces an order again on a new connection, unless the agent has executed it.
    pub(super) fn repeat_order_hint(
        &mut self,
        now: Instant,
        target: &TargetName,
        applied: OrderNumber,
        actions: &mut Vec<Action>,
    ) {
        let snapshot = self.applied.as_ref();
        let order = snapshot.and_then(|snapshot| snapshot.order(target));
        if let Some(number) = order.map(|order| order.number)
            && number > applied
        {
            self.send_order_hint(now, target, number, actions);
        }
    }
}
