//! Simulated engine that executes every order it receives and asserts that orders are safe.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use agent::EngineState;
use agent::Event;
use agent::OrderOutcome;
use agent::RunId;
use agent::TargetEvent;
use types::LoadedModel;
use types::Order;
use types::OrderKind;

use crate::world::World;

/// Engine that executes every order it receives.
pub struct Engine {
    pub state: EngineState,
    pub change: Option<(Instant, Order)>,
    pub down_until: Option<Instant>,
    pub crash_in_change: bool,
    /// Orders that will arrive later, although their reply is lost already.
    pub in_flight: Vec<(Instant, Order)>,
    pub executed: Vec<Order>,
    pub runs: BTreeSet<RunId>,
}

pub fn initial_state() -> EngineState {
    EngineState {
        loaded: LoadedModel {
            model: "base".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        },
        ..EngineState::default()
    }
}

impl World {
    pub fn receive_order(&mut self, order: Order) -> OrderOutcome {
        let fault = std::mem::take(&mut self.order_fault);
        if self.engine.down_until.is_some() {
            return OrderOutcome::NotSent("refused".to_owned());
        }
        match fault % 5 {
            1 => OrderOutcome::Refused("not now".to_owned()),
            2 => {
                self.execute(order);
                OrderOutcome::Unanswered("lost".to_owned())
            }
            3 => OrderOutcome::Unanswered("lost".to_owned()),
            4 => {
                let delay = u64::from(fault) * 10;
                let due = self.now + Duration::from_millis(delay);
                self.engine.in_flight.push((due, order));
                OrderOutcome::Unanswered("lost".to_owned())
            }
            _ => {
                self.execute(order);
                OrderOutcome::Accepted
            }
        }
    }

    pub fn execute(&mut self, order: Order) {
        if self.engine.down_until.is_some() {
            return;
        }
        assert!(self.engine.change.is_none(), "orders overlap");
        assert!(self.engine.runs.is_empty(), "an order interrupted work");
        if let Some(last) = self.engine.executed.last() {
            assert!(order.number >= last.number, "order numbers decreased");
            assert!(order.fencing >= last.fencing, "fencing numbers decreased");
        }
        self.engine.executed.push(order.clone());
        self.engine.state.away = true;
        let takes = Duration::from_millis(u64::from(self.random(800)));
        self.engine.change = Some((self.now + takes, order));
    }

    pub fn crash(&mut self, down_ms: u64) {
        self.engine.state = initial_state();
        self.engine.change = None;
        self.engine.down_until = Some(self.now + Duration::from_millis(down_ms));
        for run in std::mem::take(&mut self.engine.runs) {
            let event = TargetEvent::Failed {
                sent: true,
                detail: "crashed".to_owned(),
            };
            self.event(Event::Target { run, event });
        }
    }

    pub fn advance_engine(&mut self) {
        let now = self.now;
        self.engine.down_until.take_if(|until| now >= *until);
        if let Some((_, order)) = self.engine.change.take_if(|(until, _)| now >= *until) {
            if std::mem::take(&mut self.engine.crash_in_change) {
                self.crash(700);
                return;
            }
            self.complete_change(&order);
        }
        let (due, later) = std::mem::take(&mut self.engine.in_flight)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.engine.in_flight = later;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            self.execute(order);
        }
    }

    pub fn complete_change(&mut self, order: &Order) {
        let state = &mut self.engine.state;
        match &order.kind {
            OrderKind::LoadModel { model, version } => {
                state.loaded = LoadedModel {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                };
            }
            OrderKind::LoadAdapter { adapter } => state.loaded.adapters.push(adapter.clone()),
            OrderKind::UnloadAdapter { adapter } => {
                state.loaded.adapters.retain(|at| at != adapter);
            }
            OrderKind::ChangeRole { role } => state.role = *role,
            other => panic!("{other:?} reached the engine"),
        }
        state.loaded.adapters.sort();
        state.loaded.adapters.dedup();
        state.number = order.number;
        state.away = false;
    }
}
