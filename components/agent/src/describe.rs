//! The target's part of the load report: whether it takes work, and what it has loaded.

use std::time::Instant;

use types::OrderNumber;

use crate::change::Change;
use crate::load::LoadBook;
use crate::orders::Orders;
use crate::registration::recorded;

impl Orders {
    /// Number of the order that was read last.
    #[must_use]
    pub fn read_number(&self) -> OrderNumber {
        self.latest.as_ref().map_or(0, |latest| latest.number)
    }

    /// Whether an order of unknown outcome may still take effect, and would cut work off. An
    /// earlier run has left one only if its order is not recorded as executed.
    fn awaits_quiet(&self, now: Instant) -> bool {
        let applied = self.row.held.as_ref().map_or(0, |held| held.applied);
        let is_outstanding = self.latest.as_ref().is_some_and(|at| at.number > applied);
        self.quiet_until.is_some_and(|until| now < until)
            && (self.in_doubt || is_outstanding || !self.has_polled)
    }

    /// Sets the target's part of the load report.
    pub fn describe(&self, now: Instant, load: &mut LoadBook) {
        let change = self.change.as_ref();
        let state = self.engine.state();
        let held = self.row.held.as_ref();
        load.leaving = self.has_ended()
            || held.is_some_and(|held| !held.state.accepts_work())
            || change.is_some_and(|change| change.order.kind.ends_service());
        load.applied = held.map_or(0, |held| held.applied);
        let is_lost = held.is_some_and(|held| {
            held.applied > 0
                && change.is_none()
                && state.is_some_and(|state| recorded(held).repair(state).is_some())
        });
        load.away = held.is_none()
            || (self.is_model()
                && (state.is_none_or(|state| state.away)
                    || is_lost
                    || self.awaits_quiet(now)
                    || change.is_some_and(Change::stops_work)));
        if let Some(state) = state {
            load.loaded.clone_from(&state.loaded);
            load.role = state.role;
        }
    }
}
