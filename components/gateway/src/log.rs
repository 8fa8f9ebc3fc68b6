//! Structured log lines on standard output.
//!
//! Lines wait in a buffer of fixed size until standard output takes them, so that a reader that
//! stalls costs no request. A line that does not fit is counted and left out; the next line that
//! fits is preceded by the count.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rustix::fs::OFlags;
use slog::Drain;
use slog::Logger;
use slog::error;
use slog::info;
use slog::o;
use slog::warn;
use smol::Timer;

use crate::note::Note;

/// Bytes of lines that wait for standard output.
const BUFFER_BYTES: usize = 256 << 10;
/// Bytes that only lines about ended requests and lost dependencies may fill.
const RESERVED_BYTES: usize = 64 << 10;
/// Time between two writes to standard output.
const FLUSH_MS: Duration = Duration::from_millis(100);
/// Longest text of one value; ids come from callers.
const VALUE_LIMIT_BYTES: usize = 200;

#[derive(Debug, Default)]
struct Buffer {
    bytes: VecDeque<u8>,
    left_out: u64,
}

/// Lines that wait.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a line of this importance may be added; counts it as left out otherwise.
    fn has_room(&self, is_important: bool) -> bool {
        let mut buffer = self.lock();
        let limit = if is_important {
            BUFFER_BYTES
        } else {
            BUFFER_BYTES - RESERVED_BYTES
        };
        let has_room = buffer.bytes.len() < limit;
        if !has_room {
            buffer.left_out += 1;
        }
        has_room
    }

    fn take_left_out(&self) -> u64 {
        std::mem::take(&mut self.lock().left_out)
    }

    /// Writes what standard output takes without waiting.
    fn flush_to(&self, out: &mut impl Write) {
        let mut buffer = self.lock();
        while !buffer.bytes.is_empty() {
            let (first, _) = buffer.bytes.as_slices();
            match out.write(first) {
                Ok(count) if count > 0 => drop(buffer.bytes.drain(..count)),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // A full or closed pipe; lines that do not fit meanwhile are counted.
                _ => return,
            }
        }
    }
}

struct Lines(LogBuffer);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().bytes.extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Log of one process.
#[derive(Debug, Clone)]
pub struct Log {
    logger: Logger,
    buffer: LogBuffer,
}

impl Log {
    /// A log whose lines name the host.
    #[must_use]
    pub fn new(host: &str) -> Self {
        let buffer = LogBuffer::default();
        let drain = slog_json::Json::new(Lines(buffer.clone()))
            .add_default_keys()
            .build();
        let logger = Logger::root(Mutex::new(drain).fuse(), o!("host" => host.to_owned()));
        Self { logger, buffer }
    }

    /// Writes lines to standard output until the process ends.
    pub async fn run(self) {
        let stdout = io::stdout();
        // Other flags, such as that of a file that is appended to, stay.
        let flags = rustix::fs::fcntl_getfl(&stdout);
        let set = flags.and_then(|f| rustix::fs::fcntl_setfl(&stdout, f | OFlags::NONBLOCK));
        if let Err(cause) = set {
            warn!(self.logger, "standard output may block"; "code" => "CS5009",
                "detail" => cause.to_string());
        }
        loop {
            self.flush();
            Timer::after(FLUSH_MS).await;
        }
    }

    /// Writes what standard output takes now.
    pub fn flush(&self) {
        let mut stdout = rustix::stdio::stdout();
        self.buffer.flush_to(&mut Descriptor(&mut stdout));
    }

    /// Adds one line.
    pub fn write(&self, note: &Note) {
        if !self.buffer.has_room(is_important(note)) {
            return;
        }
        let left_out = self.buffer.take_left_out();
        if left_out > 0 {
            warn!(self.logger, "log lines left out"; "code" => "CS5010", "count" => left_out);
        }
        write(&self.logger, note);
    }
}

struct Descriptor<'a>(&'a mut rustix::fd::BorrowedFd<'static>);

impl Write for Descriptor<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(*self.0, bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn is_important(note: &Note) -> bool {
    !matches!(
        note,
        Note::Accepted { .. } | Note::Sent { .. } | Note::CallEnded { .. }
    )
}

/// A value from outside, cut to a bounded length. The encoder escapes control characters.
fn cut(text: &str) -> &str {
    let mut end = text.len().min(VALUE_LIMIT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

#[allow(clippy::too_many_lines)] // one arm an event
fn write(logger: &Logger, note: &Note) {
    match note {
        Note::Started { incarnation } => info!(logger, "gateway started";
            "code" => "CS5001", "incarnation" => format!("{incarnation:016x}")),
        Note::Stopping { in_flight } => info!(logger, "stop requested";
            "code" => "CS5002", "in_flight" => in_flight),
        Note::Stopped { in_flight } => info!(logger, "gateway stopped";
            "code" => "CS5003", "in_flight" => in_flight),
        Note::SettingsReloaded { error: None } => {
            info!(logger, "settings reloaded"; "code" => "CS5004");
        }
        Note::SettingsReloaded { error: Some(cause) } => error!(logger, "settings not reloaded";
            "code" => "CS5004", "detail" => cause),
        Note::ConfigurationApplied {
            version,
            before,
            routes,
        } => info!(logger, "configuration applied";
            "code" => "CS5101", "version" => version, "before" => before, "routes" => routes),
        Note::ConfigurationIgnored { version, in_force } => {
            warn!(logger, "older configuration ignored";
                "code" => "CS5102", "version" => version, "in_force" => in_force);
        }
        Note::Target { target, belief } => info!(logger, "belief about a target changed";
            "code" => "CS5103", "target" => cut(target),
            "belief" => format!("{belief:?}").to_lowercase()),
        Note::Unreadable { row, detail } => warn!(logger, "row of the store ignored";
            "code" => "CS5104", "row" => cut(row), "detail" => cut(detail)),
        Note::StoreLost { detail } => warn!(logger, "store lost";
            "code" => "CS5105", "detail" => cut(detail)),
        Note::StoreBack => info!(logger, "store regained"; "code" => "CS5106"),
        Note::PeerIgnored { detail } => warn!(logger, "message of a peer ignored";
            "code" => "CS5107", "detail" => cut(detail)),
        Note::Accepted {
            request,
            route,
            service,
            version,
            left_ms,
            prompt_tokens,
            output_tokens,
        } => info!(logger, "request routed";
            "code" => "CS5201", "request" => cut(request), "route" => cut(route),
            "service" => cut(service), "version" => version, "left_ms" => left_ms,
            "prompt_tokens" => prompt_tokens, "output_tokens" => output_tokens),
        Note::Sent {
            request,
            target,
            step,
            call,
            expected_ms,
            waiting_ms,
            running,
            new_tokens,
        } => info!(logger, "target called";
            "code" => "CS5202", "request" => cut(request), "target" => cut(target),
            "step" => step, "call" => call, "expected_ms" => expected_ms,
            "waiting_ms" => waiting_ms, "running" => running, "new_tokens" => new_tokens),
        Note::CallEnded {
            request,
            target,
            outcome,
            took_ms,
        } => info!(logger, "call ended";
            "code" => "CS5203", "request" => cut(request), "target" => cut(target),
            "outcome" => cut(outcome), "took_ms" => took_ms),
        Note::Ended {
            request,
            route,
            outcome,
            detail,
            status,
            first_ms,
            took_ms,
            calls,
            retry_after_ms,
        } => info!(logger, "request ended";
            "code" => "CS5204", "request" => cut(request), "route" => cut(route),
            "outcome" => outcome, "detail" => cut(detail), "status" => status,
            "first_ms" => first_ms, "took_ms" => took_ms, "calls" => calls,
            "retry_after_ms" => retry_after_ms),
    }
}
