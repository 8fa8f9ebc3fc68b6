//! Polls the engine's state and load, and derives the steps from one state to another.

use std::time::Instant;

use types::LoadedModel;
use types::OrderKind;
use types::Role;

use crate::event::Action;
use crate::event::EngineState;
use crate::limits::CHANGE_POLL_MS;
use crate::limits::LOAD_POLL_MS;
use crate::limits::STATE_POLL_MS;

/// State that the engine should be in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Model, version and adapters to load.
    pub loaded: LoadedModel,
    pub role: Role,
}

impl DesiredState {
    /// State after execution of an order.
    #[must_use]
    pub fn after(&self, kind: &OrderKind) -> Self {
        let mut next = self.clone();
        match kind {
            OrderKind::LoadModel { model, version } => {
                // Adapters are specific to a model, so a new model starts without any.
                next.loaded = LoadedModel {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                };
            }
            OrderKind::LoadAdapter { adapter } => {
                if let Err(index) = next.loaded.adapters.binary_search(adapter) {
                    next.loaded.adapters.insert(index, adapter.clone());
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

    /// First step from the engine's state to this one; `None` if the states match.
    #[must_use]
    pub fn next_step(&self, state: &EngineState) -> Option<OrderKind> {
        let (desired, actual) = (&self.loaded, &state.loaded);
        if desired.model != actual.model || desired.version != actual.version {
            return Some(OrderKind::LoadModel {
                model: desired.model.clone(),
                version: desired.version.clone(),
            });
        }
        let missing = desired
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
            .find(|adapter| !desired.adapters.contains(adapter));
        if let Some(adapter) = excess {
            return Some(OrderKind::UnloadAdapter {
                adapter: adapter.clone(),
            });
        }
        (self.role != state.role).then_some(OrderKind::ChangeRole { role: self.role })
    }
}

/// Last known state of the engine, and when to poll it again.
#[derive(Default)]
pub struct EngineMonitor {
    state: Option<EngineState>,
    /// When the request that returned `state` was sent.
    state_read_at: Option<Instant>,
    read_started: Option<Instant>,
    state_due: Option<Instant>,
    load_due: Option<Instant>,
    /// Sequence number of the last cache event received.
    pub cache_sequence: u64,
}

impl EngineMonitor {
    /// Last state; `None` while the engine does not answer.
    #[must_use]
    pub fn state(&self) -> Option<&EngineState> {
        self.state.as_ref()
    }

    /// Last state, if it was requested at or after `since` and the engine reports no change in
    /// progress.
    #[must_use]
    pub fn settled_since(&self, since: Instant) -> Option<&EngineState> {
        let is_fresh = self.state_read_at.is_some_and(|began| began >= since);
        self.state.as_ref().filter(|state| is_fresh && !state.away)
    }

    /// Records the result of a state request, `None` for a failed one; returns whether the engine
    /// started or stopped answering.
    pub fn record_state(&mut self, state: Option<EngineState>) -> bool {
        let has_changed = self.state.is_some() != state.is_some();
        if state.is_none() {
            // The engine may have restarted, and then its event numbers start again at 1.
            self.cache_sequence = 0;
        }
        self.state = state;
        self.state_read_at = self.read_started.take();
        has_changed
    }

    /// Requests the state and load when they are due.
    pub fn poll(&mut self, now: Instant, is_changing: bool, out: &mut Vec<Action>) {
        if self.read_started.is_none() && self.state_due.is_none_or(|at| now >= at) {
            let interval = if is_changing {
                CHANGE_POLL_MS
            } else {
                STATE_POLL_MS
            };
            self.state_due = Some(now + interval);
            self.read_started = Some(now);
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

    /// Makes the next `poll` request the state.
    pub fn poll_soon(&mut self) {
        self.state_due = None;
    }
}
