//! The agent's view of its engine, and the orders that lead from one state to another.

use std::time::Instant;

use types::Loaded;
use types::OrderKind;
use types::Role;

use crate::event::Action;
use crate::event::EngineState;
use crate::limits::CHANGE_POLL_MS;
use crate::limits::LOAD_POLL_MS;
use crate::limits::STATE_POLL_MS;

/// State that an engine should be in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Model, version and adapters.
    pub loaded: Loaded,
    /// Role.
    pub role: Role,
}

impl Wanted {
    /// State after an order has been executed.
    #[must_use]
    pub fn after(&self, kind: &OrderKind) -> Self {
        let mut next = self.clone();
        match kind {
            OrderKind::LoadModel { model, version } => {
                // Adapters belong to the model that they were made for.
                next.loaded = Loaded {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                };
            }
            OrderKind::LoadAdapter { adapter } => {
                if let Err(place) = next.loaded.adapters.binary_search(adapter) {
                    next.loaded.adapters.insert(place, adapter.clone());
                }
            }
            OrderKind::UnloadAdapter { adapter } => {
                next.loaded.adapters.retain(|loaded| loaded != adapter);
            }
            OrderKind::ChangeRole { role } => next.role = *role,
            OrderKind::Drain | OrderKind::Replace | OrderKind::Withdraw | OrderKind::Resume => {}
        }
        next
    }

    /// First step from the engine's state to this one; `None` if it is there.
    #[must_use]
    pub fn repair(&self, state: &EngineState) -> Option<OrderKind> {
        let (wanted, actual) = (&self.loaded, &state.loaded);
        if wanted.model != actual.model || wanted.version != actual.version {
            return Some(OrderKind::LoadModel {
                model: wanted.model.clone(),
                version: wanted.version.clone(),
            });
        }
        let missing = wanted
            .adapters
            .iter()
            .find(|adapter| !actual.adapters.contains(adapter));
        if let Some(adapter) = missing {
            return Some(OrderKind::LoadAdapter {
                adapter: adapter.clone(),
            });
        }
        let excess = actual
            .adapters
            .iter()
            .find(|adapter| !wanted.adapters.contains(adapter));
        if let Some(adapter) = excess {
            return Some(OrderKind::UnloadAdapter {
                adapter: adapter.clone(),
            });
        }
        (self.role != state.role).then_some(OrderKind::ChangeRole { role: self.role })
    }
}

/// Last known state of the engine.
#[derive(Default)]
pub struct EngineView {
    state: Option<EngineState>,
    /// When the read that gave `state` began.
    read_began: Option<Instant>,
    reading: Option<Instant>,
    state_due: Option<Instant>,
    load_due: Option<Instant>,
    /// Last cache event seen.
    pub cache_sequence: u64,
}

impl EngineView {
    /// State, if the engine answers.
    #[must_use]
    pub fn state(&self) -> Option<&EngineState> {
        self.state.as_ref()
    }

    /// State, if it was read after `since` and no change is under way.
    #[must_use]
    pub fn settled_since(&self, since: Instant) -> Option<&EngineState> {
        let is_fresh = self.read_began.is_some_and(|began| began >= since);
        self.state.as_ref().filter(|state| is_fresh && !state.away)
    }

    /// Takes an answer; returns whether the engine began or ceased to answer.
    pub fn answered(&mut self, state: Option<EngineState>) -> bool {
        let changed = self.state.is_some() != state.is_some();
        if state.is_none() {
            // It may have restarted when it answers again, and then numbers its events anew.
            self.cache_sequence = 0;
        }
        self.state = state;
        self.read_began = self.reading.take();
        changed
    }

    /// Asks for the state and load when they are due.
    pub fn poll(&mut self, now: Instant, changing: bool, out: &mut Vec<Action>) {
        if self.reading.is_none() && self.state_due.is_none_or(|at| now >= at) {
            let interval = if changing {
                CHANGE_POLL_MS
            } else {
                STATE_POLL_MS
            };
            self.state_due = Some(now + interval);
            self.reading = Some(now);
            out.push(Action::ReadEngineState);
        }
        if self.load_due.is_none_or(|at| now >= at) {
            self.load_due = Some(now + LOAD_POLL_MS);
            out.push(Action::ReadEngineLoad);
            out.push(Action::ReadCacheEvents {
                after: self.cache_sequence,
            });
        }
    }

    /// The state is read at the next chance.
    pub fn hurry(&mut self) {
        self.state_due = None;
    }
}
