//! One attempt in the agent's hands, and the entries that read its answer.

use std::time::Instant;

use types::AttemptId;
use types::Headers;
use types::Loaded;
use types::RunState;
use types::Usage;
use types::Work;
use wire::Dispatch;
use wire::ToEntry;

use crate::answer::Answer;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::RunId;
use crate::limits::CHUNK_LIMIT_BYTES;
use crate::load::LoadBook;
use crate::usage::Tail;

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Its body is not whole yet.
    Receiving,
    /// Waits for a place at the target.
    Queued,
    /// Handed to the target.
    Running,
    /// The answer is whole.
    Done(Usage),
    /// It ran, and the answer is lost.
    Failed(String),
}

/// How an answer is read from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// The head has not arrived on the present connection.
    Unopened,
    /// More may be asked for.
    Idle,
    /// A `Read` is outstanding.
    Outstanding,
}

/// An entry's position in the answer.
#[derive(Debug, Clone)]
pub struct Reader {
    /// Connection to send on.
    pub connection: ConnectionId,
    sent: u64,
    acknowledged: u64,
    allowed: u64,
    head_sent: bool,
    /// `End` or `Failed` was sent.
    pub end_sent: bool,
}

impl Reader {
    /// Starts at `offset`, with credit for `credit_bytes` more.
    #[must_use]
    pub fn new(connection: ConnectionId, offset: u64, credit_bytes: u32) -> Self {
        Self {
            connection,
            sent: offset,
            acknowledged: offset,
            allowed: offset.saturating_add(u64::from(credit_bytes)),
            head_sent: false,
            end_sent: false,
        }
    }

    /// Takes an acknowledgement and more credit.
    pub fn credit(&mut self, received: u64, bytes: u32) {
        self.acknowledged = self.acknowledged.max(received.min(self.sent));
        self.allowed = self.allowed.saturating_add(u64::from(bytes));
    }

    /// Whether the entry has acknowledged an answer of this length.
    #[must_use]
    pub fn has_all(&self, length: u64) -> bool {
        self.end_sent && self.acknowledged >= length
    }
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other fields that the caller gets.
    pub headers: Headers,
}

/// One attempt.
pub struct Attempt {
    /// Id.
    pub id: AttemptId,
    /// Another attempt may follow this one.
    pub idempotent: bool,
    /// 0 is served first.
    pub priority: u8,
    /// Key in the queue, while queued.
    pub rank: Instant,
    /// No start after this.
    pub deadline: Instant,
    /// What the target must have loaded.
    pub needs: Loaded,
    /// Work, until it is handed to the target.
    pub work: Option<Box<Work>>,
    /// Length of the whole request body.
    pub body_bytes: u64,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    /// How far it has come.
    pub phase: Phase,
    /// Run at the target, once started.
    pub run: RunId,
    /// Head of the answer.
    pub head: Option<Head>,
    /// Bytes of the answer.
    pub answer: Answer,
    /// The answer is kept from its first byte.
    pub keeps_all: bool,
    /// The rest of the answer was asked for on a new connection.
    pub is_resumed: bool,
    /// Times that it was asked for since the last new byte.
    pub resumes: u32,
    /// How the answer is read from the target.
    pub reading: Reading,
    /// Entries that read the answer; more than one only after a resend through another entry.
    pub readers: Vec<Reader>,
    /// Since when no entry reads it.
    pub orphaned: Option<Instant>,
    /// End of the answer, for its usage.
    pub tail: Tail,
    /// Bytes counted against the limit for kept answers.
    pub counted_bytes: usize,
}

impl Attempt {
    /// Takes a dispatch that arrived on `connection`.
    #[must_use]
    pub fn new(now: Instant, connection: ConnectionId, dispatch: Dispatch) -> Self {
        Self {
            id: dispatch.attempt,
            idempotent: dispatch.idempotent,
            priority: dispatch.priority,
            rank: now,
            deadline: now + dispatch.deadline_ms,
            needs: dispatch.needs,
            body_bytes: dispatch.body_bytes,
            prompt_tokens: dispatch.work.prompt_tokens,
            work: Some(Box::new(dispatch.work)),
            phase: Phase::Receiving,
            run: 0,
            head: None,
            answer: Answer::default(),
            keeps_all: !dispatch.idempotent,
            is_resumed: false,
            resumes: 0,
            reading: Reading::Unopened,
            readers: vec![Reader::new(connection, 0, dispatch.credit_bytes)],
            orphaned: None,
            tail: Tail::default(),
            counted_bytes: 0,
        }
    }

    /// Not handed to the target yet.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Receiving | Phase::Queued)
    }

    /// Neither waiting nor running.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Done(_) | Phase::Failed(_))
    }

    /// Attaches a reader, in place of an earlier one on the same connection.
    pub fn attach(&mut self, reader: Reader) {
        self.detach(reader.connection);
        self.readers.push(reader);
        self.orphaned = None;
    }

    /// Removes the reader on a connection; returns whether there was one.
    pub fn detach(&mut self, connection: ConnectionId) -> bool {
        let before = self.readers.len();
        self.readers
            .retain(|reader| reader.connection != connection);
        self.readers.len() < before
    }

    /// Whether an attached entry still waits for the end.
    #[must_use]
    pub fn is_undelivered(&self) -> bool {
        self.readers.iter().any(|reader| !reader.end_sent)
    }

    /// Lowest position that an attached entry has acknowledged.
    #[must_use]
    pub fn acknowledged(&self) -> Option<u64> {
        self.readers.iter().map(|reader| reader.acknowledged).min()
    }

    /// Whether more of the answer may be read from the target.
    #[must_use]
    pub fn has_room(&self, limit_bytes: usize) -> bool {
        if self.idempotent {
            return self.answer.held_bytes() < limit_bytes;
        }
        // Without a reader a non-idempotent run goes on to its end.
        let pending = self
            .acknowledged()
            .map_or(0, |acknowledged| self.answer.length() - acknowledged);
        usize::try_from(pending).is_ok_and(|pending| pending < limit_bytes)
    }

    /// Drops bytes that nobody can ask for any more.
    pub fn release(&mut self) {
        if self.keeps_all {
            return;
        }
        match self.acknowledged() {
            Some(acknowledged) => self.answer.release(acknowledged),
            None if !self.idempotent => self.answer.release(self.answer.length()),
            None => {}
        }
    }

    /// Sends every reader what its credit allows.
    pub fn relay(&mut self, now: Instant, load: &mut LoadBook, out: &mut Vec<Action>) {
        for reader in &mut self.readers {
            if reader.end_sent {
                continue;
            }
            if let Phase::Failed(detail) = &self.phase {
                reader.end_sent = true;
                out.push(Action::Send {
                    connection: reader.connection,
                    message: failed(self.id, detail.clone()),
                });
                continue;
            }
            let Some(head) = &self.head else {
                continue;
            };
            if !reader.head_sent {
                reader.head_sent = true;
                out.push(Action::Send {
                    connection: reader.connection,
                    message: ToEntry::Head {
                        attempt: self.id,
                        status: head.status,
                        content_type: head.content_type.clone(),
                        headers: head.headers.clone(),
                    },
                });
            }
            send_chunks(self.id, &self.answer, reader, out);
            if let Phase::Done(usage) = self.phase
                && reader.sent == self.answer.length()
            {
                reader.end_sent = true;
                out.push(Action::Send {
                    connection: reader.connection,
                    message: ToEntry::End {
                        attempt: self.id,
                        length: self.answer.length(),
                        digest: self.answer.digest(),
                        usage,
                        load: load.report(now),
                    },
                });
            }
        }
    }
}

/// The attempt ran, and its answer cannot be had.
#[must_use]
pub fn failed(attempt: AttemptId, detail: String) -> ToEntry {
    ToEntry::Failed {
        attempt,
        run: RunState::Unknown,
        detail,
    }
}

fn send_chunks(id: AttemptId, answer: &Answer, reader: &mut Reader, out: &mut Vec<Action>) {
    let end = answer.length().min(reader.allowed);
    while reader.sent < end {
        let bytes = answer.copy(reader.sent, CHUNK_LIMIT_BYTES.min(end - reader.sent));
        let offset = reader.sent;
        reader.sent += bytes.len() as u64;
        out.push(Action::Send {
            connection: reader.connection,
            message: ToEntry::Chunk {
                attempt: id,
                offset,
                bytes,
            },
        });
    }
}
