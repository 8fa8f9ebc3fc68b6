//! Registration of the target, and execution of its orders.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use store::StoreError;
use types::Order;
use types::OrderKind;
use types::OrderNumber;
use types::ServiceKind;

use crate::change::Change;
use crate::change::Stage;
use crate::engine_monitor::EngineMonitor;
use crate::event::Action;
use crate::event::EngineState;
use crate::event::OrderOutcome;
use crate::limits::Limits;
use crate::limits::RETRY_PAUSE_MS;
use crate::log_event::LogEvent;
use crate::registration::recorded_state;
use crate::target_row::RowEvent;
use crate::target_row::TargetRow;

/// Orders of the target, and the row that records them.
pub struct Orders {
    pub(crate) limits: Rc<Limits>,
    /// Access to the target row and order row.
    pub row: TargetRow,
    /// State of the engine.
    pub engine: EngineMonitor,
    pub(crate) change: Option<Change>,
    /// Newest order read from the table.
    pub(crate) latest: Option<Order>,
    /// Highest order number started by this process or recorded in the row.
    pub(crate) last_started: OrderNumber,
    /// A previous process may have sent orders that are still in flight.
    pub(crate) has_predecessor: bool,
    /// Orders sent earlier may reach the engine until this time.
    pub(crate) settles_at: Option<Instant>,
    /// When the last reply to an order arrived; earlier engine states do not reflect the order.
    answered_at: Option<Instant>,
    /// The reply to an order of this process was lost.
    pub(crate) has_unanswered_order: bool,
    /// The order row has been read at least once.
    pub(crate) has_read_order: bool,
    pub(crate) registration_state: RegistrationState,
}

/// Registration of this process for the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationState {
    /// Registered, or not registered yet.
    Active,
    /// The process is stopping; no new order is started.
    Stopping,
    /// The row is to be released.
    Releasing,
    /// The row is released.
    Released,
    /// Another process has registered for the target.
    Superseded,
    /// The target was withdrawn and cannot be registered.
    Refused,
}

impl Orders {
    /// Starts unregistered and without orders.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            row: TargetRow::new(limits.clone()),
            limits,
            engine: EngineMonitor::default(),
            change: None,
            latest: None,
            last_started: 0,
            has_predecessor: false,
            settles_at: None,
            answered_at: None,
            has_unanswered_order: false,
            has_read_order: false,
            registration_state: RegistrationState::Active,
        }
    }

    pub(crate) fn is_model(&self) -> bool {
        self.limits.kind == ServiceKind::Model
    }

    #[must_use]
    pub fn registration_state(&self) -> RegistrationState {
        self.registration_state
    }

    pub(crate) fn is_inactive(&self) -> bool {
        self.registration_state != RegistrationState::Active
    }

    /// Starts no further orders; one that is being sent to the engine still gets its reply.
    pub fn stop(&mut self, state: RegistrationState) {
        self.registration_state = state;
        self.change.take_if(|change| change.stage != Stage::Sending);
    }

    /// Whether no order can reach the engine any more.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.change.is_none() && self.settles_at.is_none_or(|until| now >= until)
    }

    /// Begins the release of the row.
    pub fn release(&mut self) {
        if self.registration_state == RegistrationState::Stopping {
            self.registration_state = RegistrationState::Releasing;
        }
    }

    /// Handles the engine's state; an error means that the engine does not answer.
    pub fn engine_state(&mut self, state: Result<EngineState, String>, out: &mut Vec<Action>) {
        let detail = state.as_ref().err().cloned().unwrap_or_default();
        let away = state.is_err();
        if self.engine.record_state(state.ok()) {
            out.push(Action::Log(LogEvent::EngineAway { away, detail }));
        }
    }

    /// Handles the reply to a slot reservation.
    pub fn slot_reply(&mut self, now: Instant, result: &Result<Option<Duration>, StoreError>) {
        let Some(change) = &mut self.change else {
            return;
        };
        if change.stage != Stage::AwaitSlot {
            return;
        }
        match result {
            Ok(None) => change.enter(now, Stage::FinishWork),
            Ok(Some(wait)) => {
                change.not_before = now + *wait;
                change.enter(now, Stage::ReserveSlot);
            }
            Err(_) => {
                change.not_before = now + RETRY_PAUSE_MS;
                change.enter(now, Stage::ReserveSlot);
            }
        }
    }

    /// Handles the outcome of sending an order.
    pub fn order_answered(&mut self, now: Instant, outcome: OrderOutcome, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else {
            return;
        };
        if change.stage != Stage::Sending {
            return;
        }
        let number = change.order.number;
        self.answered_at = Some(now);
        self.engine.poll_soon();
        let detail = match outcome {
            OrderOutcome::Accepted => {
                change.enter(now, Stage::VerifyState(now));
                None
            }
            OrderOutcome::Unanswered(detail) => {
                self.settles_at = Some(now + self.limits.order_settle_ms);
                self.has_unanswered_order = true;
                change.enter(now, Stage::VerifyState(now));
                Some(detail)
            }
            OrderOutcome::Refused(detail) | OrderOutcome::NotSent(detail) => {
                change.not_before = now + RETRY_PAUSE_MS;
                change.enter(now, Stage::ConfirmOrder);
                Some(detail)
            }
            OrderOutcome::Fenced(detail) => {
                // The process that wrote the order has lost its lease; only a newer order can
                // succeed.
                self.change = None;
                Some(detail)
            }
        };
        if let Some(detail) = detail {
            out.push(Action::Log(LogEvent::OrderFailed { number, detail }));
        }
        if self.is_inactive() {
            self.change = None;
        }
    }

    /// Handles the result of a table call.
    pub fn row_event(&mut self, now: Instant, event: RowEvent, out: &mut Vec<Action>) {
        match event {
            RowEvent::None => {}
            RowEvent::Polled(began, order) => self.order_polled(now, began, order, out),
            RowEvent::WriteReady(current) => self.commit_update(now, current.as_deref(), out),
            RowEvent::Written(target) => self.row_written(now, target.as_deref(), out),
            RowEvent::Refused(detail) => {
                self.stop(RegistrationState::Refused);
                out.push(Action::Log(LogEvent::RegistrationRefused { detail }));
            }
            RowEvent::Superseded(by) => {
                self.stop(RegistrationState::Superseded);
                out.push(Action::Log(LogEvent::Superseded { by }));
            }
        }
    }

    fn order_polled(
        &mut self,
        now: Instant,
        began: Instant,
        order: Option<Order>,
        out: &mut Vec<Action>,
    ) {
        self.has_read_order = true;
        let seen = self.latest_number();
        let read = order.as_ref().map_or(0, |order| order.number);
        if read < seen {
            return;
        }
        self.latest = order;
        self.supersede(out);
        if self.is_inactive() || !self.can_send(now) {
            return;
        }
        let Some(change) = &mut self.change else {
            return;
        };
        // The order must still be the newest in a read that began after the stage was entered
        // and after the pause.
        let is_confirmed = change.stage == Stage::ConfirmOrder
            && began >= change.entered_at.max(change.not_before)
            && self.latest.as_ref() == Some(&change.order);
        if !is_confirmed {
            return;
        }
        // An order of a previous process may have restored the state in the meantime. If this
        // process sent another one and were killed, its successor would not know that it is in
        // flight.
        let is_reconciled = change.is_reconciliation
            && change.desired.as_ref().is_some_and(|desired| {
                let state = self.engine.state();
                state.is_some_and(|state| desired.next_step(state).is_none())
            });
        if is_reconciled {
            self.change = None;
            return;
        }
        change.enter(now, Stage::Sending);
        let order = change.order_to_send();
        out.push(Action::Log(LogEvent::OrderSent {
            number: order.number,
            kind: format!("{:?}", order.kind),
        }));
        out.push(Action::SendOrder(order));
    }

    /// Replaces an order in progress by a newer one, unless it is being sent.
    fn supersede(&mut self, out: &mut Vec<Action>) {
        let Some(latest) = &self.latest else {
            return;
        };
        let is_replaceable = self.change.as_ref().is_some_and(|change| {
            change.order.number < latest.number && change.stage != Stage::Sending
        });
        if is_replaceable
            && !self.row.is_writing()
            && let Some(change) = self.change.take()
        {
            out.push(Action::Log(LogEvent::OrderSuperseded {
                number: change.order.number,
                by: latest.number,
            }));
            // The engine may still be executing the older order.
            if matches!(change.stage, Stage::VerifyState(_)) {
                self.engine.poll_soon();
            }
        }
    }

    /// Performs all steps that are due.
    pub fn advance(&mut self, now: Instant, in_flight: usize, out: &mut Vec<Action>) {
        if self.is_model() {
            let is_changing = self.change.as_ref().is_some_and(Change::rejects_work);
            self.engine.poll(now, is_changing, out);
        }
        if !self.is_inactive() {
            self.start_next_order(now, out);
            self.advance_change(now, in_flight, out);
        }
        self.advance_row(now, out);
    }

    /// Whether no earlier order can still reach the engine or be in progress there.
    pub(crate) fn can_send(&self, now: Instant) -> bool {
        self.settles_at.is_none_or(|until| now >= until)
            && match self.answered_at {
                Some(since) => self.engine.settled_since(since).is_some(),
                None => self.engine.state().is_some_and(|state| !state.away),
            }
    }

    fn start_next_order(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(registered) = &self.row.registered else {
            return;
        };
        if self.change.is_some() {
            return;
        }
        let recorded_state = recorded_state(registered);
        let Some(latest) = &self.latest else {
            return;
        };
        if latest.number > self.last_started {
            if latest.kind.is_sent_to_engine() && !self.is_model() {
                return;
            }
            self.last_started = latest.number;
            out.push(Action::Log(LogEvent::OrderStarted {
                number: latest.number,
                kind: format!("{:?}", latest.kind),
            }));
            self.change = Some(Change::start(now, latest.clone(), &recorded_state));
            return;
        }
        // A deviating state is restored only under the number of the order in force.
        if latest.number != registered.applied || !self.is_model() {
            return;
        }
        let state = self.engine.state().filter(|state| !state.away);
        if let Some(step) = state.and_then(|state| recorded_state.next_step(state)) {
            out.push(Action::Log(LogEvent::StateDiffers {
                number: latest.number,
            }));
            self.change = Some(Change::reconcile(now, latest.clone(), recorded_state, step));
        }
    }

    fn advance_change(&mut self, now: Instant, in_flight: usize, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else {
            return;
        };
        match change.stage {
            Stage::ReserveSlot if now >= change.not_before => {
                if let Some((model, version)) = weights_to_load(change) {
                    change.enter(now, Stage::AwaitSlot);
                    out.push(Action::ReserveSlot { model, version });
                }
            }
            Stage::FinishWork if in_flight == 0 => {
                let next = if change.desired.is_some() {
                    Stage::ConfirmOrder
                } else {
                    Stage::RecordResult
                };
                change.enter(now, next);
            }
            Stage::VerifyState(since) => self.verify(now, since, out),
            _ => {}
        }
    }

    fn verify(&mut self, now: Instant, since: Instant, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else {
            return;
        };
        let (Some(state), Some(desired)) = (self.engine.settled_since(since), &change.desired)
        else {
            return;
        };
        match desired.next_step(state) {
            Some(step) => {
                out.push(Action::Log(LogEvent::StateDiffers {
                    number: change.order.number,
                }));
                change.retry(now, step, now + RETRY_PAUSE_MS);
            }
            // The engine may have been in this state before, with the order still in flight.
            None if state.number != change.order.number
                && self.settles_at.is_some_and(|until| now < until) => {}
            None if change.is_reconciliation => self.change = None,
            None => change.enter(now, Stage::RecordResult),
        }
    }
}

/// Name and version of the weights that the current step loads, if any.
fn weights_to_load(change: &Change) -> Option<(String, String)> {
    match &change.step {
        OrderKind::LoadModel { model, version } => Some((model.clone(), version.clone())),
        OrderKind::LoadAdapter { adapter } => {
            let desired = change.desired.as_ref()?;
            Some((adapter.clone(), desired.loaded.version.clone()))
        }
        _ => None,
    }
}
