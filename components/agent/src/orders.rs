//! Registration and orders of one target.

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
use crate::engine_view::EngineView;
use crate::event::Action;
use crate::event::EngineState;
use crate::event::OrderOutcome;
use crate::limits::Limits;
use crate::limits::RETRY_MS;
use crate::registration::recorded;
use crate::report::Note;
use crate::row::RowEvent;
use crate::row::TargetRow;

/// Orders, and the row that records them.
pub struct Orders {
    pub(crate) limits: Rc<Limits>,
    /// Hold on the target row.
    pub row: TargetRow,
    /// View of the engine.
    pub engine: EngineView,
    pub(crate) change: Option<Change>,
    /// Order row as last read.
    pub(crate) latest: Option<Order>,
    /// Highest order that was started, in this run or according to the row.
    pub(crate) started: OrderNumber,
    /// An earlier run may have left orders on their way.
    pub(crate) follows_a_run: bool,
    /// An order sent before this time may still reach the engine.
    pub(crate) quiet_until: Option<Instant>,
    /// When the last answer to an order came; a state read before says nothing of the order.
    passed_at: Option<Instant>,
    /// The answer to an order of this run was lost.
    pub(crate) in_doubt: bool,
    /// The order row was read.
    pub(crate) has_polled: bool,
    pub(crate) hold: Hold,
}

/// Whether this run holds the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// It does, or will.
    Kept,
    /// The process stops; no new order is started.
    Ending,
    /// The row is to be given back.
    Releasing,
    /// The row is given back.
    Released,
    /// Another run holds the target.
    Superseded,
    /// The target was withdrawn and cannot be held.
    Refused,
}

impl Orders {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            row: TargetRow::new(limits.clone()),
            limits,
            engine: EngineView::default(),
            change: None,
            latest: None,
            started: 0,
            follows_a_run: false,
            quiet_until: None,
            passed_at: None,
            in_doubt: false,
            has_polled: false,
            hold: Hold::Kept,
        }
    }

    pub(crate) fn is_model(&self) -> bool {
        self.limits.kind == ServiceKind::Model
    }

    /// Whether this run holds the target.
    #[must_use]
    pub fn hold(&self) -> Hold {
        self.hold
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.hold != Hold::Kept
    }

    /// No new order is started; one that is being passed to the engine gets its answer.
    pub fn end(&mut self, hold: Hold) {
        self.hold = hold;
        self.change.take_if(|change| change.stage != Stage::Passing);
    }

    /// Whether an order may still reach the engine.
    #[must_use]
    pub fn is_quiet(&self, now: Instant) -> bool {
        self.change.is_none() && self.quiet_until.is_none_or(|until| now >= until)
    }

    /// Gives the row back.
    pub fn release(&mut self) {
        if self.hold == Hold::Ending {
            self.hold = Hold::Releasing;
        }
    }

    /// Takes the engine's state, or its silence.
    pub fn engine_state(&mut self, state: Result<EngineState, String>, out: &mut Vec<Action>) {
        let detail = state.as_ref().err().cloned().unwrap_or_default();
        let away = state.is_err();
        if self.engine.answered(state.ok()) {
            out.push(Action::Log(Note::EngineAway { away, detail }));
        }
    }

    /// Takes the answer to a request for a slot.
    pub fn slot(&mut self, now: Instant, result: &Result<Option<Duration>, StoreError>) {
        let Some(change) = &mut self.change else {
            return;
        };
        if change.stage != Stage::SlotAsked {
            return;
        }
        match result {
            Ok(None) => change.enter(now, Stage::Finish),
            Ok(Some(wait)) => {
                change.not_before = now + *wait;
                change.enter(now, Stage::Slot);
            }
            Err(_) => {
                change.not_before = now + RETRY_MS;
                change.enter(now, Stage::Slot);
            }
        }
    }

    /// Takes the outcome of passing an order on.
    pub fn passed(&mut self, now: Instant, outcome: OrderOutcome, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else {
            return;
        };
        if change.stage != Stage::Passing {
            return;
        }
        let number = change.order.number;
        self.passed_at = Some(now);
        self.engine.hurry();
        let detail = match outcome {
            OrderOutcome::Taken => {
                change.enter(now, Stage::Verify(now));
                None
            }
            OrderOutcome::Unanswered(detail) => {
                self.quiet_until = Some(now + self.limits.order_settle_ms);
                self.in_doubt = true;
                change.enter(now, Stage::Verify(now));
                Some(detail)
            }
            OrderOutcome::Refused(detail) | OrderOutcome::NotSent(detail) => {
                change.not_before = now + RETRY_MS;
                change.enter(now, Stage::Confirm);
                Some(detail)
            }
            OrderOutcome::Fenced(detail) => {
                // The order's writer has lost its authority. A newer order has to come.
                self.change = None;
                Some(detail)
            }
        };
        if let Some(detail) = detail {
            out.push(Action::Log(Note::OrderFailed { number, detail }));
        }
        if self.has_ended() {
            self.change = None;
        }
    }

    /// Takes the result of a table call.
    pub fn row_event(&mut self, now: Instant, event: RowEvent, out: &mut Vec<Action>) {
        match event {
            RowEvent::None => {}
            RowEvent::Polled(began, order) => self.polled(now, began, order, out),
            RowEvent::Plan(current) => self.plan(now, current.as_deref(), out),
            RowEvent::Written(target) => self.written(now, target.as_deref(), out),
            RowEvent::Refused(detail) => {
                self.end(Hold::Refused);
                out.push(Action::Log(Note::RegistrationRefused { detail }));
            }
            RowEvent::Superseded(by) => {
                self.end(Hold::Superseded);
                out.push(Action::Log(Note::Superseded { by }));
            }
        }
    }

    fn polled(
        &mut self,
        now: Instant,
        began: Instant,
        order: Option<Order>,
        out: &mut Vec<Action>,
    ) {
        self.has_polled = true;
        let seen = self.read_number();
        let read = order.as_ref().map_or(0, |order| order.number);
        if read < seen {
            return;
        }
        self.latest = order;
        self.supersede(out);
        if self.has_ended() || !self.may_pass(now) {
            return;
        }
        let Some(change) = &mut self.change else {
            return;
        };
        // The row as it stood after the target was empty, or the order must wait.
        let is_confirmed = change.stage == Stage::Confirm
            && began >= change.since.max(change.not_before)
            && self.latest.as_ref() == Some(&change.order);
        if !is_confirmed {
            return;
        }
        // An order of an earlier run may have repaired the engine in the meantime. Passing
        // another one would leave it under way, unseen by the next run, if this one is killed.
        let is_repaired = change.is_repair
            && change.wanted.as_ref().is_some_and(|wanted| {
                let state = self.engine.state();
                state.is_some_and(|state| wanted.repair(state).is_none())
            });
        if is_repaired {
            self.change = None;
            return;
        }
        change.enter(now, Stage::Passing);
        let order = change.to_pass();
        out.push(Action::Log(Note::OrderPassed {
            number: order.number,
            kind: format!("{:?}", order.kind),
        }));
        out.push(Action::PassOrder(order));
    }

    /// A newer order takes the place of one under way, unless that is being passed just now.
    fn supersede(&mut self, out: &mut Vec<Action>) {
        let Some(latest) = &self.latest else {
            return;
        };
        let is_replaceable = self.change.as_ref().is_some_and(|change| {
            change.order.number < latest.number && change.stage != Stage::Passing
        });
        if is_replaceable
            && !self.row.is_writing()
            && let Some(change) = self.change.take()
        {
            out.push(Action::Log(Note::OrderSuperseded {
                number: change.order.number,
                by: latest.number,
            }));
            // The engine may still be busy with the older one.
            if matches!(change.stage, Stage::Verify(_)) {
                self.engine.hurry();
            }
        }
    }

    /// Does everything that is due.
    pub fn advance(&mut self, now: Instant, in_service: usize, out: &mut Vec<Action>) {
        if self.is_model() {
            let changing = self.change.as_ref().is_some_and(Change::stops_work);
            self.engine.poll(now, changing, out);
        }
        if !self.has_ended() {
            self.take_next(now, out);
            self.advance_change(now, in_service, out);
        }
        self.advance_row(now, out);
    }

    /// Whether nothing sent earlier can still reach the engine or be in progress there.
    pub(crate) fn may_pass(&self, now: Instant) -> bool {
        self.quiet_until.is_none_or(|until| now >= until)
            && match self.passed_at {
                Some(since) => self.engine.settled_since(since).is_some(),
                None => self.engine.state().is_some_and(|state| !state.away),
            }
    }

    fn take_next(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(held) = &self.row.held else {
            return;
        };
        if self.change.is_some() {
            return;
        }
        let recorded = recorded(held);
        let Some(latest) = &self.latest else {
            return;
        };
        if latest.number > self.started {
            if latest.kind.concerns_engine() && !self.is_model() {
                return;
            }
            self.started = latest.number;
            out.push(Action::Log(Note::OrderStarted {
                number: latest.number,
                kind: format!("{:?}", latest.kind),
            }));
            self.change = Some(Change::start(now, latest.clone(), &recorded));
            return;
        }
        // A state that no order asked for is repaired only under the order in force.
        if latest.number != held.applied || !self.is_model() {
            return;
        }
        let state = self.engine.state().filter(|state| !state.away);
        if let Some(step) = state.and_then(|state| recorded.repair(state)) {
            out.push(Action::Log(Note::StateDiffers {
                number: latest.number,
            }));
            self.change = Some(Change::repair(now, latest.clone(), recorded, step));
        }
    }

    fn advance_change(&mut self, now: Instant, in_service: usize, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else {
            return;
        };
        match change.stage {
            Stage::Slot if now >= change.not_before => {
                if let Some((model, version)) = weights(change) {
                    change.enter(now, Stage::SlotAsked);
                    out.push(Action::ReserveSlot { model, version });
                }
            }
            Stage::Finish if in_service == 0 => {
                let next = if change.wanted.is_some() {
                    Stage::Confirm
                } else {
                    Stage::Record
                };
                change.enter(now, next);
            }
            Stage::Verify(since) => self.verify(now, since, out),
            _ => {}
        }
    }

    fn verify(&mut self, now: Instant, since: Instant, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else {
            return;
        };
        let (Some(state), Some(wanted)) = (self.engine.settled_since(since), &change.wanted) else {
            return;
        };
        match wanted.repair(state) {
            Some(step) => {
                out.push(Action::Log(Note::StateDiffers {
                    number: change.order.number,
                }));
                change.repeat(now, step, now + RETRY_MS);
            }
            // The engine was in this state before, and the order may still be on its way.
            None if state.number != change.order.number
                && self.quiet_until.is_some_and(|until| now < until) => {}
            None if change.is_repair => self.change = None,
            None => change.enter(now, Stage::Record),
        }
    }
}

/// What a step loads from the weight store.
fn weights(change: &Change) -> Option<(String, String)> {
    match &change.step {
        OrderKind::LoadModel { model, version } => Some((model.clone(), version.clone())),
        OrderKind::LoadAdapter { adapter } => {
            let wanted = change.wanted.as_ref()?;
            Some((adapter.clone(), wanted.loaded.version.clone()))
        }
        _ => None,
    }
}
