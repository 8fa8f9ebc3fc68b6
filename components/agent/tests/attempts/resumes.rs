//! Connections to the target that break, and an engine that is asked for the rest of answers.

use agent::Event;
use agent::RunId;
use agent::TargetEvent;
use types::Headers;
use wire::AnswerDigest;
use wire::Digest;

use crate::known::answer;
use crate::world::Run;
use crate::world::World;

/// Most tries without a new byte.
const TRIES: u32 = 3;

impl World {
    /// The connection of a run breaks.
    pub fn fail(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick(pick) else {
            return;
        };
        let Some(state) = self.runs.remove(&run) else {
            return;
        };
        let sent = state.head || amount.is_multiple_of(2);
        if !sent && !state.resumed {
            self.known[state.attempt].reached -= 1;
        }
        let event = TargetEvent::Failed {
            sent,
            detail: "broken".to_owned(),
        };
        self.event(Event::Target { run, event });
    }

    pub fn resumes(&mut self, run: RunId, attempt: usize, offset: u64) {
        let known = &mut self.known[attempt];
        assert!(known.reached > 0 && !known.disclaimed, "nothing to resume");
        assert_eq!(offset, known.given as u64, "not what the agent has");
        known.resumes += 1;
        assert!(known.resumes <= TRIES, "tries without end");
        let state = Run {
            attempt,
            head: false,
            asked: false,
            sent: known.given,
            resumed: true,
        };
        self.runs.insert(run, state);
    }

    /// The engine continues.
    pub fn rest(&mut self, run: RunId) {
        let state = &self.runs[&run];
        let mut before = AnswerDigest::default();
        before.push(&answer(state.attempt)[..state.sent]);
        self.continued(run, Some(before.digest()));
    }

    fn continued(&mut self, run: RunId, prefix: Option<Digest>) {
        let event = TargetEvent::Resumed {
            status: 200,
            content_type: "text/plain".to_owned(),
            headers: Headers::default(),
            prefix,
        };
        self.event(Event::Target { run, event });
    }

    /// The engine has forgotten a run that it is asked for, or has another answer.
    pub fn contradict(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick(pick) else {
            return;
        };
        if !self.runs[&run].resumed || self.runs[&run].head {
            return;
        }
        match amount % 3 {
            0 => self.continued(run, None),
            1 => self.continued(run, Some([amount; 32])),
            _ => {
                self.runs.remove(&run);
                let detail = "forgotten".to_owned();
                let event = TargetEvent::Forgotten { detail };
                self.event(Event::Target { run, event });
            }
        }
        assert!(!self.runs.contains_key(&run), "the run goes on");
    }
}
