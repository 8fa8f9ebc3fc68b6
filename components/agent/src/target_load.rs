//! Sets the target's fields of the load report: whether it accepts work, and what is loaded.

use std::time::Instant;

use types::OrderNumber;

use crate::change::Change;
use crate::load::LoadReporter;
use crate::orders::Orders;
use crate::registration::recorded_state;

impl Orders {
    /// Number of the newest order read; 0 if there is none.
    #[must_use]
    pub fn latest_number(&self) -> OrderNumber {
        self.latest.as_ref().map_or(0, |latest| latest.number)
    }

    /// Whether an order with unknown outcome may still take effect and interrupt work. A previous
    /// process can have left such an order only if the newest order is not recorded as executed.
    fn awaits_settling(&self, now: Instant) -> bool {
        let applied = self
            .row
            .registered
            .as_ref()
            .map_or(0, |registered| registered.applied);
        let is_outstanding = self
            .latest
            .as_ref()
            .is_some_and(|order| order.number > applied);
        self.settles_at.is_some_and(|until| now < until)
            && (self.has_unanswered_order || is_outstanding || !self.has_read_order)
    }

    /// Updates the target's fields of the load report.
    pub fn update_load(&self, now: Instant, load: &mut LoadReporter) {
        let change = self.change.as_ref();
        let state = self.engine.state();
        let registered = self.row.registered.as_ref();
        load.leaving = self.is_inactive()
            || registered.is_some_and(|registered| !registered.state.accepts_work())
            || change.is_some_and(|change| change.order.kind.stops_new_work());
        load.applied = registered.map_or(0, |registered| registered.applied);
        let has_lost_state = registered.is_some_and(|registered| {
            registered.applied > 0
                && change.is_none()
                && state.is_some_and(|state| recorded_state(registered).next_step(state).is_some())
        });
        load.away = registered.is_none()
            || (self.is_model()
                && (state.is_none_or(|state| state.away)
                    || has_lost_state
                    || self.awaits_settling(now)
                    || change.is_some_and(Change::rejects_work)));
        if let Some(state) = state {
            load.loaded.clone_from(&state.loaded);
            load.role = state.role;
        }
    }
}
