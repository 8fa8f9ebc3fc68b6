//! Timers of processes, and what they find when a pause ends.

use types::Incarnation;

use crate::world::Happening;
use crate::world::Input;
use crate::world::Node;
use crate::world::World;

impl World {
    pub fn wake(&mut self, node: Node, incarnation: Incarnation) {
        let input = match node {
            Node::Entry(at) => {
                let now = self.now();
                let host = &mut self.entries[at];
                // A wake that an earlier one has replaced would arm another one for good.
                if !host.is_run(incarnation) || host.armed != Some(now) {
                    return;
                }
                host.armed = None;
                Input::Entry(entry::core::Event::Tick)
            }
            Node::Agent(at) => {
                if self.agents[at].is_run(incarnation) {
                    self.after(agent::TICK_MS, Happening::Wake(node, incarnation));
                }
                Input::Agent(agent::Event::Tick)
            }
        };
        self.deliver(node, incarnation, input);
    }

    /// A pause has ended; everything that arrived in the meantime is read now.
    pub fn resume(&mut self, node: Node, incarnation: Incarnation) {
        let now = self.now();
        let inbox = match node {
            Node::Entry(at) => {
                let host = &mut self.entries[at];
                if !host.is_run(incarnation) || host.is_paused(now) {
                    return;
                }
                std::mem::take(&mut host.inbox)
            }
            Node::Agent(at) => {
                let host = &mut self.agents[at];
                if !host.is_run(incarnation) || host.is_paused(now) {
                    return;
                }
                std::mem::take(&mut host.inbox)
            }
        };
        self.note(&format!("{node:?} goes on with {} events", inbox.len()));
        for input in inbox {
            self.deliver(node, incarnation, input);
        }
    }
}
