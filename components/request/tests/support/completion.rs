//! Runs the cluster until nothing is in flight, and checks its final state.

use std::time::Duration;

use request::Event;
use types::RequestId;
use types::RunState;
use wire::ToAgent;

use super::cluster::Behaviour;
use super::cluster::Caller;
use super::cluster::Cluster;
use super::cluster::ENTRIES;
use super::cluster::Message;
use super::cluster::TARGETS;

impl Cluster {
    /// Ends all faults, runs every request to its end and checks the final state.
    pub fn finish(&mut self) {
        self.apply_delayed();
        for target in 0..TARGETS {
            self.set_behaviour(target, Behaviour::Answers);
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
            .filter_map(|(request, caller)| self.violation(*request, caller))
            .collect();
        self.violations.extend(violations);
        for entry in &self.entries {
            if !entry.requests.is_idle() || entry.requests.next_tick().is_some() {
                self.violations
                    .push("an entry has state left after its last request".to_owned());
            }
            if !entry.router.in_progress.is_empty() {
                self.violations
                    .push("the router still tracks an attempt".to_owned());
            }
        }
    }

    /// Delivers messages and completes calls to the table, but not to the object store. Without
    /// this step, few random runs reach a stored answer.
    pub fn deliver_answers(&mut self) {
        for _ in 0..30 {
            for entry in 0..ENTRIES {
                self.end_table_call(entry, 0, u8::MAX);
            }
            self.deliver(0);
            if self.messages.is_empty() {
                self.advance(Duration::from_millis(5));
            }
        }
    }

    /// Delivers all messages, `Forbid` before others.
    pub fn settle_forbids_first(&mut self) {
        for _ in 0..400 {
            for entry in 0..ENTRIES {
                self.end_table_call(entry, 0, u8::MAX);
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

    /// Number of callers that were refused.
    pub fn refused(&self) -> usize {
        let callers = self.callers.values();
        callers.filter(|caller| caller.refusal.is_some()).count()
    }

    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            let is_busy = self
                .entries
                .iter()
                .any(|entry| !entry.table_calls.is_empty() || !entry.object_calls.is_empty());
            if !is_busy && self.messages.is_empty() {
                self.now += Duration::from_millis(5);
                for entry in 0..ENTRIES {
                    self.event(entry, Event::Tick);
                }
                let is_busy = self
                    .entries
                    .iter()
                    .any(|entry| !entry.table_calls.is_empty() || !entry.object_calls.is_empty());
                if !is_busy && self.messages.is_empty() {
                    return;
                }
            }
            self.deliver(0);
            for entry in 0..ENTRIES {
                self.end_table_call(entry, 0, u8::MAX);
                self.end_object_call(entry, 0, u8::MAX);
            }
        }
        self.violations.push("messages do not stop".to_owned());
    }

    fn violation(&self, request: RequestId, caller: &Caller) -> Option<String> {
        if caller.final_replies != 1 && !caller.is_disconnected {
            return Some(format!(
                "{request:x}: {} final replies",
                caller.final_replies
            ));
        }
        let answers = self.answers.get(&caller.body);
        let is_expected = answers.is_some_and(|all| all.contains(&caller.received));
        if caller.is_complete && !is_expected {
            return Some(format!("{request:x}: answered {:?}", caller.received));
        }
        let not_run = matches!(caller.refusal, Some((_, RunState::NotRun)));
        if not_run && self.ran.contains(&request) {
            return Some(format!("{request:x}: refused as not run, and was run"));
        }
        None
    }

    /// Number of callers that received a complete answer.
    pub fn answered(&self) -> usize {
        self.callers
            .values()
            .filter(|caller| caller.is_complete)
            .count()
    }
}
