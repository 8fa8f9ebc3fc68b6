//! Splits the body of a server-sent event stream into complete events.

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes of the body and returns the complete events; `None` if no event is complete yet.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending)?;
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
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

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let end_of = |separator: &[u8]| {
        let at = bytes
            .windows(separator.len())
            .rposition(|window| window == separator);
        at.map(|at| at + separator.len())
    };
    end_of(b"\n\n").max(end_of(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.map(<[u8]>::trim_ascii).next()?;
    std::str::from_utf8(id).ok().map(str::to_owned)
}
