//! What targets have said of themselves in their answers, apart from a limit: that they leave, and
//! that they want no request for a time.
//!
//! Each statement holds for one run of a target's process. That it leaves holds until the process
//! is gone; a pause ends by the clock of the process that was asked for it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::NamedRate;
use crate::ProcessKey;

/// Longest text that is read as a number of seconds.
const TEXT_LIMIT_BYTES: usize = 32;
/// Longest pause that is taken literally.
const LONGEST_PAUSE_MS: Duration = Duration::from_hours(24 * 365);
/// Time for which statements of targets that are not known any more are kept: the store may come
/// back from a copy that still has them.
const GONE_LIFETIME_MS: Duration = Duration::from_mins(10);

/// What one answer says of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Statement {
    /// Limit on its requests.
    pub rate: NamedRate,
    /// It leaves.
    pub is_leaving: bool,
    /// It wants no request for this long.
    pub pause_ms: Option<Duration>,
}

/// Decodes a pause in seconds, perhaps with a fraction; `None` if it is anything else.
#[must_use]
pub fn pause_from_text(text: &str) -> Option<Duration> {
    let text = text.trim();
    let is_number = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if text.len() > TEXT_LIMIT_BYTES || !is_number {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    let pause = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_PAUSE_MS);
    Some(pause.min(LONGEST_PAUSE_MS))
}

/// What one target has said of itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    is_leaving: bool,
    not_before: Option<Instant>,
}

impl Standing {
    /// Applies an answer. Returns whether the target has said for the first time that it leaves.
    pub fn record(&mut self, now: Instant, statement: &Statement) -> bool {
        let not_before = statement.pause_ms.and_then(|pause| now.checked_add(pause));
        self.not_before = self.not_before.max(not_before);
        let was_leaving = self.is_leaving;
        self.is_leaving |= statement.is_leaving;
        self.is_leaving && !was_leaving
    }

    /// Whether the target has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// End of the pause that it asked for, if it has not passed.
    #[must_use]
    pub fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.not_before.filter(|at| *at > now)
    }
}

#[derive(Debug, Default)]
struct Entry {
    standing: Standing,
    gone_since: Option<Instant>,
}

/// What all targets have said of themselves.
#[derive(Debug, Default)]
pub(crate) struct Standings {
    by_target: BTreeMap<ProcessKey, Entry>,
}

impl Standings {
    pub(crate) fn get(&self, target: ProcessKey) -> Standing {
        let entry = self.by_target.get(&target);
        entry.map(|entry| entry.standing).unwrap_or_default()
    }

    /// Applies an answer. Returns whether the target has said for the first time that it leaves.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        target: ProcessKey,
        statement: &Statement,
    ) -> bool {
        if !statement.is_leaving && statement.pause_ms.is_none() {
            return false;
        }
        let entry = self.by_target.entry(target).or_default();
        entry.standing.record(now, statement)
    }

    /// Drops what targets have said that have been gone for long.
    pub(crate) fn tick(&mut self, now: Instant, is_known: impl Fn(ProcessKey) -> bool) {
        self.by_target.retain(|target, entry| {
            if is_known(*target) {
                entry.gone_since = None;
                return true;
            }
            let since = *entry.gone_since.get_or_insert(now);
            now.saturating_duration_since(since) < GONE_LIFETIME_MS
        });
    }
}
