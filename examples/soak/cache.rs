//! Delivery of cache events to the agents, and the limit of the entries' cache hints.

use std::time::Duration;

use types::CacheEvent;
use types::Incarnation;

use crate::setup::INDEX_LIMIT;
use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::Simulation;

impl Simulation {
    /// Delivers the cache events that an agent has read from its engine.
    pub fn deliver_cache_events(&mut self, at: usize, run: Incarnation, events: Vec<CacheEvent>) {
        if events.is_empty() {
            return;
        }
        *self.counts.entry("cache events").or_default() += events.len() as u64;
        let input = Input::Agent(agent::Event::CacheEvents(events));
        self.deliver_after(Duration::from_millis(2), Node::Agent(at), run, input);
    }

    /// Checks that no cache events, valid or not, grow an entry's index beyond its limit.
    pub fn check_cache_hints(&mut self, at: usize) {
        let Some(core) = &self.entries[at].core else {
            return;
        };
        let pairs = core.prefix_index_len();
        self.count_check("cache hints bounded");
        if pairs > INDEX_LIMIT {
            self.record_violation(format!(
                "entry {at} holds {pairs} cache hints, more than {INDEX_LIMIT}"
            ));
        }
    }
}
