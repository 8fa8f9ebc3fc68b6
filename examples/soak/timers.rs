//! Process timers, and the delivery of queued inputs when a pause ends.

use types::Incarnation;

use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    pub fn handle_timer(&mut self, node: Node, incarnation: Incarnation) {
        let input = match node {
            Node::Entry(at) => {
                let now = self.now();
                let host = &mut self.entries[at];
                // Superseded timers are ignored; each would start another chain of timers.
                if !host.is_run(incarnation) || host.next_timer != Some(now) {
                    return;
                }
                host.next_timer = None;
                Input::Entry(entry::core::Event::Tick)
            }
            Node::Agent(at) => {
                if self.agents[at].is_run(incarnation) {
                    self.schedule_after(agent::TICK_MS, SimEvent::Timer(node, incarnation));
                }
                Input::Agent(agent::Event::Tick)
            }
        };
        self.deliver(node, incarnation, input);
    }

    /// Ends a pause and delivers the inputs that arrived during it.
    pub fn resume_process(&mut self, node: Node, incarnation: Incarnation) {
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
        self.log(&format!(
            "{node:?} resumes with {} queued events",
            inbox.len()
        ));
        for input in inbox {
            self.deliver(node, incarnation, input);
        }
    }
}
