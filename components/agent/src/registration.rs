//! Writes of the target row: registration, executed orders, the engine's own state, and release.

use std::time::Duration;
use std::time::Instant;

use control::TargetUpdate;
use types::Target;
use types::TargetState;

use crate::change::Stage;
use crate::engine_view::Wanted;
use crate::event::Action;
use crate::orders::Hold;
use crate::orders::Orders;
use crate::report::Note;

impl Orders {
    /// Writes the update that is due, given the row that stands in the table.
    pub(crate) fn plan(&mut self, now: Instant, current: Option<&Target>, out: &mut Vec<Action>) {
        if self.row.held.is_none() {
            // A released row was given back after the last order of that run had ended.
            self.follows_a_run = current.is_some_and(|row| row.incarnation != 0);
        }
        if let Some((update, reason)) = self.next_update(current) {
            let event = self.row.commit(now, &update, &reason, out);
            self.row_event(now, event, out);
        }
    }

    fn next_update(&self, current: Option<&Target>) -> Option<(TargetUpdate, String)> {
        let limits = &self.limits;
        if self.hold == Hold::Releasing {
            let update = TargetUpdate::Release {
                target: limits.target.clone(),
                incarnation: limits.incarnation,
            };
            return Some((update, "agent stopped".to_owned()));
        }
        let Some(held) = &self.row.held else {
            let target = self.registration(current);
            let update = TargetUpdate::Register(Box::new(target));
            return Some((update, "agent started".to_owned()));
        };
        if let Some(change) = &self.change {
            if change.stage != Stage::Record {
                return None;
            }
            let wanted = change.wanted.clone().unwrap_or_else(|| recorded(held));
            let update = TargetUpdate::Executed {
                target: limits.target.clone(),
                incarnation: limits.incarnation,
                number: change.order.number,
                role: wanted.role,
                loaded: wanted.loaded,
            };
            return Some((update, format!("order {} executed", change.order.number)));
        }
        if held.applied > 0 {
            return None;
        }
        let state = self.engine.state().filter(|state| !state.away)?;
        let target = Target {
            loaded: state.loaded.clone(),
            role: state.role,
            ..held.clone()
        };
        let update = TargetUpdate::Register(Box::new(target));
        Some((update, "engine state read".to_owned()))
    }

    /// Row of this run. What orders have reached is taken over from the row of the last one.
    fn registration(&self, current: Option<&Target>) -> Target {
        let limits = &self.limits;
        let engine = self.engine.state().cloned().unwrap_or_default();
        let ordered = current.filter(|current| current.applied > 0);
        Target {
            name: limits.target.clone(),
            service: limits.service.clone(),
            kind: limits.kind,
            place: limits.place.clone(),
            host: limits.host.clone(),
            agent: limits.address,
            incarnation: limits.incarnation,
            honours_fencing: limits.honours_fencing,
            state: TargetState::Active,
            role: ordered.map_or(engine.role, |row| row.role),
            loaded: ordered.map_or(engine.loaded, |row| row.loaded.clone()),
            applied: 0,
        }
    }

    pub(crate) fn written(&mut self, now: Instant, target: Option<&Target>, out: &mut Vec<Action>) {
        if self.hold == Hold::Releasing {
            self.hold = Hold::Released;
            out.push(Action::Log(Note::Released));
            return;
        }
        let Some(target) = target else {
            return;
        };
        if self.quiet_until.is_none() {
            let settle_ms = if self.follows_a_run {
                self.limits.order_settle_ms
            } else {
                Duration::ZERO
            };
            self.quiet_until = Some(now + settle_ms);
            out.push(Action::Log(Note::Registered {
                applied: target.applied,
            }));
        }
        self.started = self.started.max(target.applied);
        let is_recorded = self.change.as_ref().is_some_and(|change| {
            change.stage == Stage::Record && change.order.number <= target.applied
        });
        if is_recorded {
            self.change = None;
            out.push(Action::Log(Note::OrderDone {
                number: target.applied,
            }));
        }
    }

    pub(crate) fn advance_row(&mut self, now: Instant, out: &mut Vec<Action>) {
        if matches!(self.hold, Hold::Superseded | Hold::Released | Hold::Refused)
            || !self.row.is_free(now)
        {
            return;
        }
        let Some(held) = &self.row.held else {
            if !self.has_ended() && (!self.is_model() || self.engine.state().is_some()) {
                self.row.begin_write(now, out);
            }
            return;
        };
        let is_outdated = held.applied == 0
            && self.change.is_none()
            && self.engine.state().is_some_and(|state| {
                !state.away && (state.loaded != held.loaded || state.role != held.role)
            });
        let records = self
            .change
            .as_ref()
            .is_some_and(|change| change.stage == Stage::Record);
        if self.hold == Hold::Releasing || (!self.has_ended() && (records || is_outdated)) {
            self.row.begin_write(now, out);
            return;
        }
        let confirms = self.change.as_ref().is_some_and(|change| {
            change.stage == Stage::Confirm && now >= change.not_before && self.may_pass(now)
        });
        if confirms || self.row.is_poll_due(now) {
            self.row.poll(now, out);
        }
    }
}

/// State that the row records.
pub(crate) fn recorded(held: &Target) -> Wanted {
    Wanted {
        loaded: held.loaded.clone(),
        role: held.role,
    }
}
