//! Updates of the target row: registration, executed orders, the engine's own state, and release.

use std::time::Duration;
use std::time::Instant;

use control::TargetUpdate;
use types::Target;
use types::TargetState;

use crate::change::Stage;
use crate::engine_monitor::DesiredState;
use crate::event::Action;
use crate::log_event::LogEvent;
use crate::orders::Orders;
use crate::orders::RegistrationState;

impl Orders {
    /// Commits the update that is due, based on the current target row.
    pub(crate) fn commit_update(
        &mut self,
        now: Instant,
        current: Option<&Target>,
        out: &mut Vec<Action>,
    ) {
        if self.row.registered.is_none() {
            // Incarnation 0 marks a row that was released after the last order of that process had
            // ended.
            self.has_predecessor = current.is_some_and(|row| row.incarnation != 0);
        }
        if let Some((update, reason)) = self.next_update(current) {
            let event = self.row.commit(now, &update, &reason, out);
            self.row_event(now, event, out);
        }
    }

    fn next_update(&self, current: Option<&Target>) -> Option<(TargetUpdate, String)> {
        let limits = &self.limits;
        if self.registration_state == RegistrationState::Releasing {
            let update = TargetUpdate::Release {
                target: limits.target.clone(),
                incarnation: limits.incarnation,
            };
            return Some((update, "agent stopped".to_owned()));
        }
        let Some(registered) = &self.row.registered else {
            let target = self.registration_row(current);
            let update = TargetUpdate::Register(Box::new(target));
            return Some((update, "agent started".to_owned()));
        };
        if let Some(change) = &self.change {
            if change.stage != Stage::RecordResult {
                return None;
            }
            let desired = change
                .desired
                .clone()
                .unwrap_or_else(|| recorded_state(registered));
            let update = TargetUpdate::Executed {
                target: limits.target.clone(),
                incarnation: limits.incarnation,
                number: change.order.number,
                role: desired.role,
                loaded: desired.loaded,
            };
            return Some((update, format!("order {} executed", change.order.number)));
        }
        if registered.applied > 0 {
            return None;
        }
        let state = self.engine.state().filter(|state| !state.away)?;
        let target = Target {
            loaded: state.loaded.clone(),
            role: state.role,
            ..registered.clone()
        };
        let update = TargetUpdate::Register(Box::new(target));
        Some((update, "engine state read".to_owned()))
    }

    /// Target row for registration. The state reached by orders is copied from the previous row.
    fn registration_row(&self, current: Option<&Target>) -> Target {
        let limits = &self.limits;
        let engine = self.engine.state().cloned().unwrap_or_default();
        let previous = current.filter(|current| current.applied > 0);
        Target {
            name: limits.target.clone(),
            service: limits.service.clone(),
            kind: limits.kind,
            data_centre: limits.data_centre.clone(),
            host: limits.host.clone(),
            agent: limits.address,
            incarnation: limits.incarnation,
            honours_fencing: limits.honours_fencing,
            state: TargetState::Active,
            role: previous.map_or(engine.role, |row| row.role),
            loaded: previous.map_or(engine.loaded, |row| row.loaded.clone()),
            applied: 0,
        }
    }

    pub(crate) fn row_written(
        &mut self,
        now: Instant,
        target: Option<&Target>,
        out: &mut Vec<Action>,
    ) {
        if self.registration_state == RegistrationState::Releasing {
            self.registration_state = RegistrationState::Released;
            out.push(Action::Log(LogEvent::Released));
            return;
        }
        let Some(target) = target else {
            return;
        };
        if self.settles_at.is_none() {
            let settle_ms = if self.has_predecessor {
                self.limits.order_settle_ms
            } else {
                Duration::ZERO
            };
            self.settles_at = Some(now + settle_ms);
            out.push(Action::Log(LogEvent::Registered {
                applied: target.applied,
            }));
        }
        self.last_started = self.last_started.max(target.applied);
        let is_recorded = self.change.as_ref().is_some_and(|change| {
            change.stage == Stage::RecordResult && change.order.number <= target.applied
        });
        if is_recorded {
            self.change = None;
            out.push(Action::Log(LogEvent::OrderExecuted {
                number: target.applied,
            }));
        }
    }

    pub(crate) fn advance_row(&mut self, now: Instant, out: &mut Vec<Action>) {
        if matches!(
            self.registration_state,
            RegistrationState::Superseded
                | RegistrationState::Released
                | RegistrationState::Refused
        ) || !self.row.is_free(now)
        {
            return;
        }
        let Some(registered) = &self.row.registered else {
            if !self.is_inactive() && (!self.is_model() || self.engine.state().is_some()) {
                self.row.begin_write(now, out);
            }
            return;
        };
        let is_outdated = registered.applied == 0
            && self.change.is_none()
            && self.engine.state().is_some_and(|state| {
                !state.away && (state.loaded != registered.loaded || state.role != registered.role)
            });
        let is_recording = self
            .change
            .as_ref()
            .is_some_and(|change| change.stage == Stage::RecordResult);
        if self.registration_state == RegistrationState::Releasing
            || (!self.is_inactive() && (is_recording || is_outdated))
        {
            self.row.begin_write(now, out);
            return;
        }
        let is_confirming = self.change.as_ref().is_some_and(|change| {
            change.stage == Stage::ConfirmOrder && now >= change.not_before && self.can_send(now)
        });
        if is_confirming || self.row.is_poll_due(now) {
            self.row.poll(now, out);
        }
    }
}

/// State recorded in the target row.
pub(crate) fn recorded_state(registered: &Target) -> DesiredState {
    DesiredState {
        loaded: registered.loaded.clone(),
        role: registered.role,
    }
}
