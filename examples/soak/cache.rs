//! Cache events on their way to the entries, and the bound of what entries make of them.

use std::time::Duration;

use types::CacheEvent;
use types::Incarnation;

use crate::setup::INDEX_LIMIT;
use crate::world::Input;
use crate::world::Node;
use crate::world::World;

impl World {
    /// An agent asked for the cache events of its engine.
    pub fn cache_events_read(&mut self, at: usize, run: Incarnation, events: Vec<CacheEvent>) {
        if events.is_empty() {
            return;
        }
        *self.counts.entry("cache events").or_default() += events.len() as u64;
        let input = Input::Agent(agent::Event::CacheEvents(events));
        self.later(Duration::from_millis(2), Node::Agent(at), run, input);
    }

    /// Cache events, true or not, must not let an entry grow.
    pub fn check_hints(&mut self, at: usize) {
        let Some(core) = &self.entries[at].core else {
            return;
        };
        let pairs = core.cache_hints();
        self.check("cache hints bounded");
        if pairs > INDEX_LIMIT {
            self.violation(format!(
                "entry {at} holds {pairs} cache hints, more than {INDEX_LIMIT}"
            ));
        }
    }
}
