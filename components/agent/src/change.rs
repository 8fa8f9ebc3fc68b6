//! An order in progress, from its start until it is recorded.

use std::time::Instant;

use types::Order;
use types::OrderKind;

use crate::engine_monitor::DesiredState;

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Must reserve a slot at the weight store; work continues.
    ReserveSlot,
    /// Waits for the reply to the reservation.
    AwaitSlot,
    /// Rejects new work and waits until accepted attempts have finished.
    FinishWork,
    /// The order row must be read again, to check that the order is still the newest.
    ConfirmOrder,
    /// Sent to the engine; waits for the reply.
    Sending,
    /// The ordered state must appear in an engine state requested after this time.
    VerifyState(Instant),
    /// The result must be written to the target row.
    RecordResult,
}

/// An order in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Order as read from the table.
    pub order: Order,
    /// Step to send to the engine next: the order itself, or a step towards the desired state.
    pub step: OrderKind,
    /// State to reach; `None` if the order does not concern the engine.
    pub desired: Option<DesiredState>,
    /// The order was executed before, and the engine has lost that state since.
    pub is_reconciliation: bool,
    pub stage: Stage,
    pub entered_at: Instant,
    /// Earliest time of the next step.
    pub not_before: Instant,
    /// A step was sent to the engine before and may still take effect.
    was_sent: bool,
}

impl Change {
    /// Starts an order; `base` is the state recorded before it.
    #[must_use]
    pub fn start(now: Instant, order: Order, base: &DesiredState) -> Self {
        let desired = order
            .kind
            .is_sent_to_engine()
            .then(|| base.after(&order.kind));
        let step = order.kind.clone();
        let stage = first_stage(&step);
        Self {
            order,
            step,
            desired,
            is_reconciliation: false,
            stage,
            entered_at: now,
            not_before: now,
            was_sent: false,
        }
    }

    /// Starts the return to the recorded state, under the number of the order in force.
    #[must_use]
    pub fn reconcile(now: Instant, order: Order, desired: DesiredState, step: OrderKind) -> Self {
        let stage = first_stage(&step);
        Self {
            order,
            step,
            desired: Some(desired),
            is_reconciliation: true,
            stage,
            entered_at: now,
            not_before: now,
            was_sent: false,
        }
    }

    pub fn enter(&mut self, now: Instant, stage: Stage) {
        self.stage = stage;
        self.entered_at = now;
        self.was_sent |= stage == Stage::Sending;
    }

    /// Continues with another step towards the desired state, not before `not_before`.
    pub fn retry(&mut self, now: Instant, step: OrderKind, not_before: Instant) {
        let stage = first_stage(&step);
        self.step = step;
        self.not_before = not_before;
        self.enter(now, stage);
    }

    /// Whether new work is rejected because of a change to the engine.
    #[must_use]
    pub fn rejects_work(&self) -> bool {
        self.desired.is_some()
            && (self.is_reconciliation
                || self.was_sent
                || !matches!(self.stage, Stage::ReserveSlot | Stage::AwaitSlot))
    }

    /// Order with the current step as its kind.
    #[must_use]
    pub fn order_to_send(&self) -> Order {
        Order {
            kind: self.step.clone(),
            ..self.order.clone()
        }
    }
}

/// Loads reserve their slot before work is rejected, so that a busy weight store causes no
/// downtime.
fn first_stage(step: &OrderKind) -> Stage {
    match step {
        OrderKind::LoadModel { .. } | OrderKind::LoadAdapter { .. } => Stage::ReserveSlot,
        OrderKind::Resume => Stage::RecordResult,
        _ => Stage::FinishWork,
    }
}
