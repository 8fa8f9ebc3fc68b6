//! Structured log lines on standard output.
//!
//! Lines are held in a bounded buffer until standard output accepts them, so that a stalled reader
//! does not block requests. A line that does not fit is dropped and counted; the next line that
//! fits is preceded by the count.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use limits::Rate;
use rustix::fs::OFlags;
use slog::Drain;
use slog::Logger;
use slog::error;
use slog::info;
use slog::o;
use slog::warn;
use smol::Timer;

use crate::log_event::LogEvent;
use crate::protocol::PartId;

/// Capacity of the buffer.
const BUFFER_BYTES: usize = 256 << 10;
/// Part of the buffer reserved for important lines: all but those of a request in flight.
const RESERVED_BYTES: usize = 64 << 10;
/// Interval of writes to standard output.
const FLUSH_INTERVAL_MS: Duration = Duration::from_millis(100);
/// Longest text of one value. Request ids come from callers and have no bound of their own.
const VALUE_LIMIT_BYTES: usize = 200;

#[derive(Debug, Default)]
struct Buffer {
    bytes: VecDeque<u8>,
    dropped: u64,
}

/// Buffer of lines that are not written yet.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a line of this importance may be added; counts it as dropped otherwise.
    fn has_room(&self, is_important: bool) -> bool {
        let mut buffer = self.lock();
        let limit = if is_important {
            BUFFER_BYTES
        } else {
            BUFFER_BYTES - RESERVED_BYTES
        };
        let has_room = buffer.bytes.len() < limit;
        if !has_room {
            buffer.dropped += 1;
        }
        has_room
    }

    fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.lock().dropped)
    }

    /// Writes as much as standard output accepts without blocking.
    fn flush_to(&self, out: &mut impl Write) {
        let mut buffer = self.lock();
        while !buffer.bytes.is_empty() {
            let (first, _) = buffer.bytes.as_slices();
            match out.write(first) {
                Ok(count) if count > 0 => drop(buffer.bytes.drain(..count)),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The pipe is full or closed; lines that do not fit meanwhile are dropped.
                _ => return,
            }
        }
    }
}

struct BufferWriter(LogBuffer);

impl Write for BufferWriter {
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
    /// Creates a log whose lines carry the host name.
    #[must_use]
    pub fn new(host: &str) -> Self {
        let buffer = LogBuffer::default();
        let drain = slog_json::Json::new(BufferWriter(buffer.clone()))
            .add_default_keys()
            .build();
        let logger = Logger::root(Mutex::new(drain).fuse(), o!("host" => host.to_owned()));
        Self { logger, buffer }
    }

    /// Writes lines to standard output until the process ends.
    pub async fn run(self) {
        let stdout = io::stdout();
        // Keeps the other flags, such as `O_APPEND`.
        let flags = rustix::fs::fcntl_getfl(&stdout);
        let set =
            flags.and_then(|flags| rustix::fs::fcntl_setfl(&stdout, flags | OFlags::NONBLOCK));
        if let Err(cause) = set {
            warn!(self.logger, "standard output may block"; "code" => "CS5009",
                "detail" => cause.to_string());
        }
        loop {
            self.flush();
            Timer::after(FLUSH_INTERVAL_MS).await;
        }
    }

    /// Writes as much as standard output accepts now.
    pub fn flush(&self) {
        let mut stdout = rustix::stdio::stdout();
        self.buffer.flush_to(&mut FdWriter(&mut stdout));
    }

    /// Adds the line of one event, or drops it if the buffer is full.
    pub fn write(&self, event: &LogEvent) {
        if !self.buffer.has_room(is_important(event)) {
            return;
        }
        let dropped = self.buffer.take_dropped();
        if dropped > 0 {
            warn!(self.logger, "log lines dropped"; "code" => "CS5010", "count" => dropped);
        }
        write(&self.logger, event);
    }
}

struct FdWriter<'a>(&'a mut rustix::fd::BorrowedFd<'static>);

impl Write for FdWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(*self.0, bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn is_important(event: &LogEvent) -> bool {
    !matches!(
        event,
        LogEvent::RequestRouted { .. } | LogEvent::TargetCalled { .. } | LogEvent::CallEnded { .. }
    )
}

/// An external value, truncated to a bounded length. The encoder escapes control characters.
fn truncated(text: &str) -> &str {
    let mut end = text.len().min(VALUE_LIMIT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Ids of prompt parts in hexadecimal, as callers send them.
fn part_list(parts: &[PartId]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    ids.join(",")
}

#[allow(clippy::too_many_lines)] // one arm for each event
fn write(logger: &Logger, event: &LogEvent) {
    match event {
        LogEvent::Started { incarnation } => info!(logger, "gateway started";
            "code" => "CS5001", "incarnation" => format!("{incarnation:016x}")),
        LogEvent::Stopping { in_flight } => info!(logger, "stop requested";
            "code" => "CS5002", "in_flight" => in_flight),
        LogEvent::Stopped { in_flight } => info!(logger, "gateway stopped";
            "code" => "CS5003", "in_flight" => in_flight),
        LogEvent::SettingsReload { error: None } => {
            info!(logger, "settings reloaded"; "code" => "CS5004");
        }
        LogEvent::SettingsReload { error: Some(cause) } => error!(logger, "settings not reloaded";
            "code" => "CS5004", "detail" => cause),
        LogEvent::ConfigurationApplied {
            version,
            before,
            routes,
            source,
            behind_ms,
        } => info!(logger, "configuration applied";
            "code" => "CS5101", "version" => version, "before" => before, "routes" => routes,
            "source" => source.label(), "behind_ms" => behind_ms),
        LogEvent::ConfigurationBehind {
            in_force,
            newest,
            behind_ms,
        } => warn!(logger, "configuration behind that of peers";
            "code" => "CS5111", "in_force" => in_force, "newest" => newest,
            "behind_ms" => behind_ms),
        LogEvent::ConfigurationIgnored { version, in_force } => {
            warn!(logger, "older configuration ignored";
                "code" => "CS5102", "version" => version, "in_force" => in_force);
        }
        LogEvent::TargetChange { target, change } => info!(logger, "target state changed";
            "code" => "CS5103", "target" => truncated(target),
            "belief" => format!("{change:?}").to_lowercase()),
        LogEvent::RowIgnored { row, detail } => warn!(logger, "row of the store ignored";
            "code" => "CS5104", "row" => truncated(row), "detail" => truncated(detail)),
        LogEvent::StoreUnavailable { detail } => warn!(logger, "store unavailable";
            "code" => "CS5105", "detail" => truncated(detail)),
        LogEvent::StoreAvailable => info!(logger, "store available again"; "code" => "CS5106"),
        LogEvent::StoreRestored { before, era } => {
            warn!(logger, "store came back from an older copy";
            "code" => "CS5109", "before" => before, "era" => era);
        }
        LogEvent::PeerMessageIgnored { detail } => warn!(logger, "message between peers rejected";
            "code" => "CS5107", "detail" => truncated(detail)),
        LogEvent::PartChange(change) => warn!(logger, "prompt part state changed";
            "code" => "CS5108", "part" => format!("{:x}", change.part),
            "state" => format!("{:?}", change.state).to_lowercase(),
            "crashes" => change.crashes,
            "remaining_ms" => u64::try_from(change.remaining_ms.as_millis()).unwrap_or(u64::MAX),
            "is_own" => change.is_own),
        LogEvent::LimitChange { target, change } => info!(logger, "target limit changed";
            "code" => "CS5110", "target" => truncated(target),
            "before_per_s" => change.before.map(Rate::requests_per_s),
            "requests_per_s" => change.rate.map(Rate::requests_per_s),
            "is_own" => change.is_own),
        LogEvent::RequestRouted {
            request,
            route,
            service,
            version,
            left_ms,
            prompt_tokens,
            output_tokens,
            parts,
            fingerprint,
            resumes,
        } => info!(logger, "request routed";
            "code" => "CS5201", "request" => truncated(request), "route" => truncated(route),
            "service" => truncated(service), "version" => version, "left_ms" => left_ms,
            "prompt_tokens" => prompt_tokens, "output_tokens" => output_tokens,
            "parts" => truncated(&part_list(parts)),
            "fingerprint" => format!("{fingerprint:016x}"),
            "resumes" => resumes.as_deref().map(truncated)),
        LogEvent::TargetCalled {
            request,
            target,
            build,
            step,
            call,
            expected_ms,
            waiting_ms,
            running,
            new_tokens,
            retries,
            ..
        } => info!(logger, "target called";
            "code" => "CS5202", "request" => truncated(request), "target" => truncated(target),
            "build" => build.as_deref().map(truncated),
            "step" => step, "call" => call, "expected_ms" => expected_ms,
            "waiting_ms" => waiting_ms, "running" => running, "new_tokens" => new_tokens,
            "retries" => retries),
        LogEvent::TasksDelayed { delay_ms } => warn!(logger, "tasks delayed";
            "code" => "CS5011", "delay_ms" => delay_ms),
        LogEvent::PauseBegun { target, pause_ms } => {
            info!(logger, "target asked for a pause";
                "code" => "CS5112", "target" => truncated(target), "pause_ms" => pause_ms);
        }
        // Counted in the metrics; CS5202 has the build of each call.
        LogEvent::StreamBegun { .. } => {}
        LogEvent::CallEnded {
            request,
            target,
            step,
            outcome,
            took_ms,
            ..
        } => info!(logger, "call ended";
            "code" => "CS5203", "request" => truncated(request), "target" => truncated(target),
            "step" => step, "outcome" => truncated(outcome), "took_ms" => took_ms),
        LogEvent::RequestEnded {
            request,
            route,
            outcome,
            detail,
            status,
            first_ms,
            took_ms,
            calls,
            retry_after_ms,
            ..
        } => info!(logger, "request ended";
            "code" => "CS5204", "request" => truncated(request), "route" => truncated(route),
            "outcome" => outcome, "detail" => truncated(detail), "status" => status,
            "first_ms" => first_ms, "took_ms" => took_ms, "calls" => calls,
            "retry_after_ms" => retry_after_ms),
    }
}
