//! State of one attempt, and the entries that read its answer.

use std::time::Instant;

use types::AttemptId;
use types::Headers;
use types::LoadedModel;
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
use crate::load::LoadReporter;
use crate::usage::AnswerTail;

/// Progress of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The request body is incomplete.
    Receiving,
    /// Waits for a free slot at the target.
    Queued,
    /// Sent to the target.
    Running,
    /// The answer is complete.
    Done(Usage),
    /// The request was sent to the target, and no complete answer is available.
    Failed(String),
}

/// State of the transfer of an answer from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    /// The head has not arrived on the current connection.
    AwaitingHead,
    /// The next `Read` may be sent.
    Idle,
    /// A `Read` was sent and has no reply yet.
    Outstanding,
}

/// Position of one entry in an answer, and its flow-control credit.
#[derive(Debug, Clone)]
pub struct Reader {
    pub connection: ConnectionId,
    sent: u64,
    acknowledged: u64,
    credit_limit: u64,
    is_head_sent: bool,
    /// `End` or `Failed` was sent.
    pub is_end_sent: bool,
}

impl Reader {
    /// Starts at `offset` with `credit_bytes` of credit.
    #[must_use]
    pub fn new(connection: ConnectionId, offset: u64, credit_bytes: u32) -> Self {
        Self {
            connection,
            sent: offset,
            acknowledged: offset,
            credit_limit: offset.saturating_add(u64::from(credit_bytes)),
            is_head_sent: false,
            is_end_sent: false,
        }
    }

    /// Applies an acknowledgement and additional credit.
    pub fn credit(&mut self, received: u64, bytes: u32) {
        self.acknowledged = self.acknowledged.max(received.min(self.sent));
        self.credit_limit = self.credit_limit.saturating_add(u64::from(bytes));
    }

    /// Whether the entry has acknowledged all `length` bytes of the answer.
    #[must_use]
    pub fn has_all(&self, length: u64) -> bool {
        self.is_end_sent && self.acknowledged >= length
    }
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    /// Value of the `content-type` field; empty if absent.
    pub content_type: String,
    /// Other fields to relay to the caller.
    pub headers: Headers,
}

/// An attempt, from its dispatch until its answer is evicted.
pub struct Attempt {
    pub id: AttemptId,
    /// Running the attempt more than once is harmless.
    pub idempotent: bool,
    /// 0 is the highest priority.
    pub priority: u8,
    /// Queue key: time of arrival plus the delay for the priority.
    pub rank: Instant,
    /// The attempt is not started after this.
    pub deadline: Instant,
    /// Model, version and adapters that must be loaded.
    pub needs: LoadedModel,
    /// Request to send; taken when the run starts.
    pub work: Option<Box<Work>>,
    /// Length of the complete request body.
    pub body_bytes: u64,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    pub phase: Phase,
    /// When the last request was sent to the target.
    pub called_at: Instant,
    /// Current run at the target; 0 before the first.
    pub run: RunId,
    pub head: Option<Head>,
    pub answer: Answer,
    /// All bytes of the answer are kept, including acknowledged ones.
    pub is_kept_whole: bool,
    /// The rest of the answer was requested on a new connection at least once.
    pub is_resumed: bool,
    /// Resume requests since the last new byte.
    pub resume_count: u32,
    pub read_state: ReadState,
    /// Entries that read the answer; more than one only after a retry through another entry.
    pub readers: Vec<Reader>,
    /// When the last reader detached.
    pub orphaned_since: Option<Instant>,
    /// Last bytes of the answer, which contain its token usage.
    pub tail: AnswerTail,
    /// Bytes of the finished answer that count against the limit for kept answers.
    pub kept_bytes: usize,
}

impl Attempt {
    /// Creates the attempt of a dispatch received on `connection`.
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
            called_at: now,
            run: 0,
            head: None,
            answer: Answer::default(),
            is_kept_whole: !dispatch.idempotent,
            is_resumed: false,
            resume_count: 0,
            read_state: ReadState::AwaitingHead,
            readers: vec![Reader::new(connection, 0, dispatch.credit_bytes)],
            orphaned_since: None,
            tail: AnswerTail::default(),
            kept_bytes: 0,
        }
    }

    /// Whether the attempt has not been sent to the target.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Receiving | Phase::Queued)
    }

    /// Whether the run has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done(_) | Phase::Failed(_))
    }

    /// Attaches a reader; replaces an earlier one on the same connection.
    pub fn attach(&mut self, reader: Reader) {
        self.detach(reader.connection);
        self.readers.push(reader);
        self.orphaned_since = None;
    }

    /// Detaches the reader of a connection; returns whether there was one.
    pub fn detach(&mut self, connection: ConnectionId) -> bool {
        let before = self.readers.len();
        self.readers
            .retain(|reader| reader.connection != connection);
        self.readers.len() < before
    }

    /// Whether any attached entry has not been sent the end of the answer.
    #[must_use]
    pub fn is_undelivered(&self) -> bool {
        self.readers.iter().any(|reader| !reader.is_end_sent)
    }

    /// Lowest offset acknowledged by all attached entries; `None` without entries.
    #[must_use]
    pub fn acknowledged(&self) -> Option<u64> {
        self.readers.iter().map(|reader| reader.acknowledged).min()
    }

    /// Whether the buffer has space for more bytes from the target.
    #[must_use]
    pub fn has_buffer_space(&self, limit_bytes: usize) -> bool {
        if self.idempotent {
            return self.answer.kept_bytes() < limit_bytes;
        }
        // Without a reader nothing is pending, so a non-idempotent run is read to its end.
        let pending = self
            .acknowledged()
            .map_or(0, |acknowledged| self.answer.length() - acknowledged);
        usize::try_from(pending).is_ok_and(|pending| pending < limit_bytes)
    }

    /// Discards bytes that no entry can request any more.
    pub fn discard_unneeded(&mut self) {
        if self.is_kept_whole {
            return;
        }
        match self.acknowledged() {
            Some(acknowledged) => self.answer.discard(acknowledged),
            None if !self.idempotent => self.answer.discard(self.answer.length()),
            None => {}
        }
    }

    /// Sends each reader the bytes that its credit allows.
    pub fn relay(&mut self, now: Instant, load: &mut LoadReporter, out: &mut Vec<Action>) {
        for reader in &mut self.readers {
            if reader.is_end_sent {
                continue;
            }
            if let Phase::Failed(detail) = &self.phase {
                reader.is_end_sent = true;
                out.push(Action::Send {
                    connection: reader.connection,
                    message: failed(self.id, detail.clone()),
                });
                continue;
            }
            let Some(head) = &self.head else {
                continue;
            };
            if !reader.is_head_sent {
                reader.is_head_sent = true;
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
                reader.is_end_sent = true;
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

/// Message for an attempt that may have run and whose answer is unavailable.
#[must_use]
pub fn failed(attempt: AttemptId, detail: String) -> ToEntry {
    ToEntry::Failed {
        attempt,
        run: RunState::Unknown,
        detail,
    }
}

fn send_chunks(id: AttemptId, answer: &Answer, reader: &mut Reader, out: &mut Vec<Action>) {
    let end = answer.length().min(reader.credit_limit);
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
