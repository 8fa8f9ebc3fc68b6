//! Letting everything come to rest, and what must hold then.

use std::time::Duration;

use request::Event;
use types::RequestId;
use types::RunState;
use wire::ToAgent;

use super::world::Caller;
use super::world::ENTRIES;
use super::world::Message;
use super::world::TARGETS;
use super::world::Treatment;
use super::world::World;

impl World {
    /// Lets all faults pass and everything run out, then checks what must hold at the end.
    pub fn finish(&mut self) {
        self.apply_late();
        for target in 0..TARGETS {
            self.treat(target, Treatment::Answers);
        }
        for entry in 0..ENTRIES {
            self.connect_all(entry);
        }
        for _ in 0..80 {
            self.settle();
            self.advance(Duration::from_secs(1));
        }
        let violations: Vec<String> = self
            .callers
            .iter()
            .filter_map(|(request, caller)| self.fault(*request, caller))
            .collect();
        self.violations.extend(violations);
        for entry in &self.entries {
            if !entry.requests.is_idle() || entry.requests.next_tick().is_some() {
                self.violations
                    .push("an entry holds state after its last request".to_owned());
            }
            if !entry.router.open.is_empty() {
                self.violations
                    .push("the router still counts an attempt".to_owned());
            }
        }
    }

    /// Delivers messages and ends calls to the table, but not those to the object store. Without
    /// this, few random runs get as far as a stored answer.
    pub fn let_answers_arrive(&mut self) {
        for _ in 0..30 {
            for entry in 0..ENTRIES {
                self.end_call(entry, 0, u8::MAX);
            }
            self.deliver(0);
            if self.messages.is_empty() {
                self.advance(Duration::from_millis(5));
            }
        }
    }

    /// Delivers everything, questions about attempts first.
    pub fn settle_forbids_first(&mut self) {
        for _ in 0..400 {
            for entry in 0..ENTRIES {
                self.end_call(entry, 0, u8::MAX);
                self.end_object_call(entry, 0, u8::MAX);
            }
            let forbid = self.messages.iter().position(|message| {
                matches!(message, Message::ToAgent(_, _, ToAgent::Forbid { .. }))
            });
            self.deliver(forbid.unwrap_or(0));
            if self.messages.is_empty() {
                self.advance(Duration::from_millis(5));
            }
        }
    }

    /// Callers that were refused.
    pub fn refused(&self) -> usize {
        let callers = self.callers.values();
        callers.filter(|caller| caller.refusal.is_some()).count()
    }

    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            let busy = self
                .entries
                .iter()
                .any(|entry| !entry.operations.is_empty() || !entry.object_calls.is_empty());
            if !busy && self.messages.is_empty() {
                self.now += Duration::from_millis(5);
                for entry in 0..ENTRIES {
                    self.event(entry, Event::Tick);
                }
                let busy = self
                    .entries
                    .iter()
                    .any(|entry| !entry.operations.is_empty() || !entry.object_calls.is_empty());
                if !busy && self.messages.is_empty() {
                    return;
                }
            }
            self.deliver(0);
            for entry in 0..ENTRIES {
                self.end_call(entry, 0, u8::MAX);
                self.end_object_call(entry, 0, u8::MAX);
            }
        }
        self.violations.push("messages never end".to_owned());
    }

    fn fault(&self, request: RequestId, caller: &Caller) -> Option<String> {
        if caller.finals != 1 && !caller.excused {
            return Some(format!("{request:x}: {} final replies", caller.finals));
        }
        let answers = self.answers.get(&caller.body);
        let own = answers.is_some_and(|all| all.contains(&caller.received));
        if caller.whole && !own {
            return Some(format!("{request:x}: answered {:?}", caller.received));
        }
        let not_run = matches!(caller.refusal, Some((_, RunState::NotRun)));
        if not_run && self.ran.contains(&request) {
            return Some(format!("{request:x}: refused as not run, and was run"));
        }
        None
    }

    /// Callers whose answer was whole.
    pub fn answered(&self) -> usize {
        self.callers.values().filter(|caller| caller.whole).count()
    }
}
