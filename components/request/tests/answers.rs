//! Guards against answers that are cut, doubled, mixed up or relayed after their attempt.

mod support;

use std::time::Duration;
use std::time::Instant;

use request::Action;
use request::Event;
use request::Requests;
use support::FixedRouter;
use support::load;
use support::profile;
use support::submission;
use support::submitted;
use types::AttemptId;
use types::RefusalReason;
use types::Reply;
use types::RunState;
use types::Usage;
use wire::AnswerDigest;
use wire::ToAgent;
use wire::ToEntry;

struct Desk {
    now: Instant,
    requests: Requests,
    router: FixedRouter,
    replies: Vec<Reply>,
    sent: Vec<(String, ToAgent)>,
    settled: usize,
}

impl Desk {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            requests: Requests::new(7, 1),
            router: FixedRouter::with(&[("a", 1), ("b", 2)]),
            replies: Vec::new(),
            sent: Vec::new(),
            settled: 0,
        }
    }

    fn event(&mut self, event: Event) {
        for action in self.requests.handle(self.now, event, &mut self.router) {
            match action {
                Action::Reply { reply, .. } => self.replies.push(reply),
                Action::Send { target, message } => self.sent.push((target, message)),
                Action::Settled { .. } => self.settled += 1,
                Action::Table { .. } | Action::Object { .. } => {}
            }
        }
    }

    fn from(&mut self, target: &str, incarnation: u64, message: ToEntry) {
        self.event(Event::Agent {
            target: target.to_owned(),
            incarnation,
            message,
        });
    }

    fn head(&mut self, target: &str, incarnation: u64, number: u32) {
        let message = ToEntry::Head {
            attempt: attempt(number),
            status: 200,
            content_type: "text/plain".to_owned(),
            headers: types::Headers::default(),
        };
        self.from(target, incarnation, message);
    }

    fn chunk(&mut self, target: &str, incarnation: u64, number: u32, offset: u64, bytes: &[u8]) {
        let message = ToEntry::Chunk {
            attempt: attempt(number),
            offset,
            bytes: bytes.to_vec(),
        };
        self.from(target, incarnation, message);
    }

    fn end(&mut self, target: &str, incarnation: u64, number: u32, whole: &[u8]) {
        let mut digest = AnswerDigest::default();
        digest.push(whole);
        let message = ToEntry::End {
            attempt: attempt(number),
            length: digest.length(),
            digest: digest.digest(),
            usage: Usage::default(),
            load: load(incarnation),
        };
        self.from(target, incarnation, message);
    }

    fn body(&self) -> Vec<u8> {
        let mut body = Vec::new();
        for reply in &self.replies {
            if let Reply::Body(bytes) = reply {
                body.extend_from_slice(bytes);
            }
        }
        body
    }

    fn refusal(&self) -> Option<(RefusalReason, RunState)> {
        self.replies.iter().find_map(|reply| match reply {
            Reply::Refused(refusal) => Some((refusal.reason, refusal.run)),
            _ => None,
        })
    }
}

fn attempt(number: u32) -> AttemptId {
    AttemptId { request: 1, number }
}

fn open() -> Desk {
    let mut desk = Desk::new();
    desk.event(submitted(1, submission(None, b"?"), profile(true)));
    desk
}

#[test]
fn relays_each_byte_once_despite_repeats_and_gaps() {
    let mut desk = open();
    desk.head("a", 1, 1);
    desk.head("a", 1, 1);
    desk.chunk("a", 1, 1, 0, b"abc");
    desk.chunk("a", 1, 1, 6, b"ghi");
    desk.chunk("a", 1, 1, 1, b"bcdef");
    desk.chunk("a", 1, 1, 6, b"ghi");
    desk.end("a", 1, 1, b"abcdefghi");
    desk.end("a", 1, 1, b"abcdefghi");
    assert_eq!(desk.body(), b"abcdefghi");
    assert_eq!(desk.replies.last(), Some(&Reply::End));
    assert_eq!(desk.settled, 1);
    assert!(desk.requests.is_idle());
    assert!(desk.router.open.is_empty());
    let resumes = desk
        .sent
        .iter()
        .filter(|(_, message)| matches!(message, ToAgent::Resume { offset: 3, .. }));
    assert_eq!(resumes.count(), 1);
}

#[test]
fn gives_no_end_to_an_answer_whose_digest_differs() {
    let mut desk = open();
    desk.head("a", 1, 1);
    desk.chunk("a", 1, 1, 0, b"abX");
    desk.end("a", 1, 1, b"abc");
    assert!(!desk.replies.contains(&Reply::End));
    let refusal = desk.refusal();
    assert_eq!(
        refusal,
        Some((RefusalReason::TargetFailed, RunState::Unknown))
    );
}

#[test]
fn continues_a_lost_stream_only_behind_the_same_prefix() {
    let mut desk = open();
    desk.head("a", 1, 1);
    desk.chunk("a", 1, 1, 0, b"abc");
    let gone = Event::IncarnationGone {
        target: "a".to_owned(),
        incarnation: 1,
    };
    desk.event(gone);
    desk.chunk("a", 1, 1, 3, b"late");
    desk.head("b", 2, 2);
    desk.chunk("b", 2, 2, 0, b"ab");
    desk.chunk("b", 2, 2, 2, b"cde");
    desk.end("b", 2, 2, b"abcde");
    assert_eq!(desk.body(), b"abcde");
    assert_eq!(desk.replies.last(), Some(&Reply::End));
}

#[test]
fn breaks_off_when_another_attempt_begins_differently() {
    let mut desk = open();
    desk.head("a", 1, 1);
    desk.chunk("a", 1, 1, 0, b"abc");
    let message = ToEntry::Failed {
        attempt: attempt(1),
        run: RunState::Unknown,
        detail: String::new(),
    };
    desk.from("a", 1, message);
    desk.head("b", 2, 2);
    desk.chunk("b", 2, 2, 0, b"abXde");
    desk.end("b", 2, 2, b"abXde");
    assert_eq!(desk.body(), b"abc");
    assert!(!desk.replies.contains(&Reply::End));
    assert_eq!(desk.settled, 1);
}

#[test]
fn resumes_on_a_new_connection_at_the_offset_held() {
    let mut desk = open();
    desk.head("a", 1, 1);
    desk.chunk("a", 1, 1, 0, b"abc");
    desk.event(Event::ConnectionDown {
        target: "a".to_owned(),
    });
    desk.now += Duration::from_millis(100);
    desk.event(Event::ConnectionUp {
        target: "a".to_owned(),
        incarnation: 1,
    });
    let last = desk.sent.last().map(|(_, message)| message);
    assert!(matches!(last, Some(ToAgent::Resume { offset: 3, .. })));
}

#[test]
fn refuses_at_the_deadline_and_cancels() {
    let mut desk = open();
    desk.now += profile(true).deadline_ms;
    desk.event(Event::Tick);
    let refusal = desk.refusal();
    assert_eq!(
        refusal,
        Some((RefusalReason::DeadlineExceeded, RunState::Unknown))
    );
    let last = desk.sent.last().map(|(_, message)| message);
    assert!(matches!(last, Some(ToAgent::Cancel { .. })));
    assert!(desk.requests.is_idle());
}
