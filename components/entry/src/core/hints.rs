//! Order hints: they make an agent read the table soon after an order, so that it can poll rarely.
//!
//! A hint is lost only if its connection is dead. The connection is therefore monitored for a
//! while after a hint, and a connection that replaces it gets the hint again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use types::OrderNumber;
use types::TargetName;
use wire::ToAgent;

use crate::core::Action;
use crate::core::EntryCore;

/// Time that a connection is monitored after a hint. A silent one is replaced after 2 s, and
/// opening the next one takes up to 2 s.
const MONITOR_MS: Duration = Duration::from_secs(5);

/// Targets to which a hint was sent within `MONITOR_MS`.
#[derive(Debug, Default)]
pub struct OrderHints {
    monitored_until: BTreeMap<TargetName, Instant>,
}

impl OrderHints {
    /// Whether a hint was sent to the target recently, so that its connection has to be monitored.
    #[must_use]
    pub fn is_recent(&self, target: &TargetName) -> bool {
        self.monitored_until.contains_key(target)
    }

    /// Removes targets whose latest hint is older than `MONITOR_MS`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.monitored_until.retain(|_, until| *until > now);
    }
}

impl EntryCore {
    /// Sends a hint for an order if its target is connected; otherwise it is sent after `Welcome`.
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
        self.links.message_sent(now, link);
        let until = now + MONITOR_MS;
        self.order_hints
            .monitored_until
            .insert(target.clone(), until);
        let message = ToAgent::OrderHint { number };
        actions.push(Action::Send { link, message });
    }

    /// Sends a hint for the latest order on a new connection, unless the agent has executed it.
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
