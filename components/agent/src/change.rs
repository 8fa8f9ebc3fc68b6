//! An order under way, from its start until it is recorded.

use std::time::Instant;

use types::Order;
use types::OrderKind;

use crate::engine_view::Wanted;

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Needs a slot of the weight store, while work goes on.
    Slot,
    /// Asked for a slot.
    SlotAsked,
    /// Accepts no work and finishes what is in service.
    Finish,
    /// The order row must be read again.
    Confirm,
    /// Passed to the engine; no answer yet.
    Passing,
    /// The engine's state must show the order, in a read that began after this time.
    Verify(Instant),
    /// The result must be written to the target row.
    Record,
}

/// An order under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Order as it stands in the table.
    pub order: Order,
    /// What to pass to the engine next: the order itself, or a step to the state it asks for.
    pub step: OrderKind,
    /// State to reach; `None` if the order does not concern the engine.
    pub wanted: Option<Wanted>,
    /// The order was executed before, and the engine has lost its state.
    pub is_repair: bool,
    /// How far it has come.
    pub stage: Stage,
    /// When the stage was entered.
    pub since: Instant,
    /// No step before this.
    pub not_before: Instant,
    /// A step was passed to the engine before; it may still take effect.
    was_passed: bool,
}

impl Change {
    /// Starts an order from the state recorded before it.
    #[must_use]
    pub fn start(now: Instant, order: Order, base: &Wanted) -> Self {
        let wanted = order
            .kind
            .concerns_engine()
            .then(|| base.after(&order.kind));
        let step = order.kind.clone();
        let stage = first_stage(&step);
        Self {
            order,
            step,
            wanted,
            is_repair: false,
            stage,
            since: now,
            not_before: now,
            was_passed: false,
        }
    }

    /// Leads the engine back to the recorded state, under the number of the order in force.
    #[must_use]
    pub fn repair(now: Instant, order: Order, wanted: Wanted, step: OrderKind) -> Self {
        let stage = first_stage(&step);
        Self {
            order,
            step,
            wanted: Some(wanted),
            is_repair: true,
            stage,
            since: now,
            not_before: now,
            was_passed: false,
        }
    }

    /// Enters a stage.
    pub fn enter(&mut self, now: Instant, stage: Stage) {
        self.stage = stage;
        self.since = now;
        self.was_passed |= stage == Stage::Passing;
    }

    /// Goes on with another step towards the wanted state, not before a time.
    pub fn repeat(&mut self, now: Instant, step: OrderKind, not_before: Instant) {
        let stage = first_stage(&step);
        self.step = step;
        self.not_before = not_before;
        self.enter(now, stage);
    }

    /// Whether new work is refused because of a change at the engine.
    #[must_use]
    pub fn stops_work(&self) -> bool {
        self.wanted.is_some()
            && (self.is_repair
                || self.was_passed
                || !matches!(self.stage, Stage::Slot | Stage::SlotAsked))
    }

    /// Order to pass on now.
    #[must_use]
    pub fn to_pass(&self) -> Order {
        Order {
            kind: self.step.clone(),
            ..self.order.clone()
        }
    }
}

/// The slot is asked for while work goes on, so that a busy weight store costs no service.
fn first_stage(step: &OrderKind) -> Stage {
    match step {
        OrderKind::LoadModel { .. } | OrderKind::LoadAdapter { .. } => Stage::Slot,
        OrderKind::Resume => Stage::Record,
        _ => Stage::Finish,
    }
}
