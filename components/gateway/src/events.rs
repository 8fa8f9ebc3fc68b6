//! Splits the body of a server-sent event stream into complete events.

/// Largest event. Events hold a few tokens; a stream without event ends would be buffered forever.
pub const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// An event is larger than `EVENT_LIMIT_BYTES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Bytes of `pending` that hold no end of an event.
    searched_bytes: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes of the body and returns the complete events; `None` if no event is complete yet.
    ///
    /// # Errors
    ///
    /// The event that is not complete yet is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Vec<u8>>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        // An end may begin in the bytes that were there before.
        let from = self.searched_bytes.saturating_sub(LONGEST_END.len() - 1);
        let end = last_event_end(&self.pending[from..]).map(|end| from + end);
        let rest = end.map_or_else(Vec::new, |end| self.pending.split_off(end));
        let complete = end.map(|_| std::mem::replace(&mut self.pending, rest));
        self.searched_bytes = self.pending.len();
        if self.pending.len() > EVENT_LIMIT_BYTES {
            return Err(EventTooLong);
        }
        if let Some(id) = complete.as_deref().and_then(last_id) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Bytes after the last complete event.
    #[must_use]
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Longest end of an event.
const LONGEST_END: &[u8] = b"\r\n\r\n";

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let end_of = |separator: &[u8]| {
        let at = bytes
            .windows(separator.len())
            .rposition(|window| window == separator);
        at.map(|at| at + separator.len())
    };
    end_of(b"\n\n").max(end_of(LONGEST_END))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.map(<[u8]>::trim_ascii).next()?;
    std::str::from_utf8(id).ok().map(str::to_owned)
}
