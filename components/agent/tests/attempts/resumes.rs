//! Broken connections to the target, and the engine's replies to resume requests.

use agent::Event;
use agent::RunId;
use agent::TargetEvent;
use types::Headers;
use wire::AnswerDigest;
use wire::Digest;

use crate::fixtures::answer;
use crate::world::Run;
use crate::world::World;

/// Maximum number of resume requests without a new byte.
const RESUME_LIMIT: u32 = 3;

impl World {
    /// Breaks the connection of a run.
    pub fn break_connection(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick_run(pick) else {
            return;
        };
        let Some(state) = self.runs.remove(&run) else {
            return;
        };
        let sent = state.is_head_sent || amount.is_multiple_of(2);
        if !sent && !state.is_resumed {
            self.observed[state.attempt].started_runs -= 1;
        }
        let event = TargetEvent::Failed {
            sent,
            detail: "broken".to_owned(),
        };
        self.event(Event::Target { run, event });
    }

    pub fn check_resume(&mut self, run: RunId, attempt: usize, offset: u64) {
        let observed = &mut self.observed[attempt];
        assert!(
            observed.started_runs > 0 && !observed.is_reported_not_run,
            "nothing to resume"
        );
        assert_eq!(
            offset, observed.sent_bytes as u64,
            "the offset is not the number of bytes received"
        );
        observed.resume_count += 1;
        assert!(
            observed.resume_count <= RESUME_LIMIT,
            "too many resume requests"
        );
        let state = Run {
            attempt,
            is_head_sent: false,
            is_read_pending: false,
            sent_bytes: observed.sent_bytes,
            is_resumed: true,
        };
        self.runs.insert(run, state);
    }

    /// Resumes a run with a valid prefix digest.
    pub fn resume_run(&mut self, run: RunId) {
        let state = &self.runs[&run];
        let mut before = AnswerDigest::default();
        before.push(&answer(state.attempt)[..state.sent_bytes]);
        self.send_resumed(run, Some(before.digest()));
    }

    fn send_resumed(&mut self, run: RunId, prefix: Option<Digest>) {
        let event = TargetEvent::Resumed {
            status: 200,
            content_type: "text/plain".to_owned(),
            headers: Headers::default(),
            prefix,
        };
        self.event(Event::Target { run, event });
    }

    /// Lets a resume request fail: without a digest, with a wrong one, or with an unknown run.
    pub fn fail_resume(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick_run(pick) else {
            return;
        };
        if !self.runs[&run].is_resumed || self.runs[&run].is_head_sent {
            return;
        }
        match amount % 3 {
            0 => self.send_resumed(run, None),
            1 => self.send_resumed(run, Some([amount; 32])),
            _ => {
                self.runs.remove(&run);
                let detail = "forgotten".to_owned();
                let event = TargetEvent::RunUnknown { detail };
                self.event(Event::Target { run, event });
            }
        }
        assert!(
            !self.runs.contains_key(&run),
            "the run continues after a failed resume"
        );
    }
}
