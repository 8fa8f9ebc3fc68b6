//! Limits of all targets, as one of several processes sees them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::MemberId;
use crate::NamedRate;
use crate::Pace;
use crate::ProcessKey;
use crate::Rate;
use crate::TargetLimit;
use crate::loans::HEARD_MS;
use crate::loans::LOAN_MS;
use crate::loans::Loans;
use crate::loans::Member;
use crate::standing::Standing;
use crate::standing::Standings;
use crate::standing::Statement;

/// Most targets with a limit that are known at a time.
const TARGETS_LIMIT: usize = 1_024;
/// Most other processes that are known at a time.
pub(crate) const MEMBERS_LIMIT: usize = 4_096;
/// Time for which a process counts as having requests for a target after its last one.
pub(crate) const WANTED_MS: Duration = Duration::from_secs(5);
/// Time for which an ended limit is remembered, so that older notices do not begin it anew.
const ENDED_LIFETIME_MS: Duration = Duration::from_secs(30);

/// Whether a target may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// It names no limit.
    Unlimited,
    /// The limit allows a call now.
    Now,
    /// The limit allows a call from then on.
    From(Instant),
    /// Other processes use the limit.
    Elsewhere,
    /// It leaves.
    Never,
}

/// Change of a target's limit, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Run of the target's process.
    pub target: ProcessKey,
    /// Limit before.
    pub before: Option<Rate>,
    /// Limit now; `None` if it has ended.
    pub rate: Option<Rate>,
    /// From an answer to this process; otherwise from a notice of another one.
    pub is_own: bool,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) limit: TargetLimit,
    pub(crate) loans: Loans,
    pub(crate) changed_at: Instant,
    pace: Pace,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            limit: TargetLimit::none(now),
            loans: Loans::new(now),
            changed_at: now,
            pace: Pace::new(now),
        }
    }
}

/// Limits of all targets.
#[derive(Debug)]
pub struct Limits {
    pub(crate) own: MemberId,
    pub(crate) started: Instant,
    pub(crate) processes: usize,
    pub(crate) entries: BTreeMap<ProcessKey, Entry>,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) sent: Option<Instant>,
    pub(crate) changed: Option<Instant>,
    pub(crate) is_change_unsent: bool,
    changes: Vec<LimitChange>,
    standings: Standings,
}

impl Limits {
    /// Starts without any limit.
    #[must_use]
    pub fn new(now: Instant, own: MemberId) -> Self {
        Self {
            own,
            started: now,
            processes: 1,
            entries: BTreeMap::new(),
            members: BTreeMap::new(),
            sent: None,
            changed: None,
            is_change_unsent: false,
            changes: Vec::new(),
            standings: Standings::default(),
        }
    }

    /// Id of this process in messages.
    #[must_use]
    pub fn own_id(&self) -> MemberId {
        self.own
    }

    /// Applies what an answer says of its target apart from a limit. Returns whether the target has
    /// said for the first time that it leaves.
    pub fn record_statement(
        &mut self,
        now: Instant,
        target: ProcessKey,
        statement: &Statement,
    ) -> bool {
        self.standings.record(now, target, statement)
    }

    /// What a target has said of itself apart from a limit.
    #[must_use]
    pub fn standing(&self, target: ProcessKey) -> Standing {
        self.standings.get(target)
    }

    /// Applies what an answer says of a limit, to a call that was made at `called_at`.
    pub fn record_answer(
        &mut self,
        now: Instant,
        called_at: Instant,
        target: ProcessKey,
        named: NamedRate,
    ) {
        let own = self.own;
        let is_named = matches!(named, NamedRate::Limit(_));
        let Some(entry) = self.entry(now, target, is_named) else {
            return;
        };
        let before = entry.limit.rate();
        if entry.limit.record_answer(now, called_at, named, own) {
            self.apply_change(now, target, before, true);
        }
    }

    /// The entry of a target, which is added if a limit is stated and there is room.
    pub(crate) fn entry(
        &mut self,
        now: Instant,
        target: ProcessKey,
        is_limited: bool,
    ) -> Option<&mut Entry> {
        let is_full = self.entries.len() >= TARGETS_LIMIT;
        if !self.entries.contains_key(&target) && (!is_limited || is_full) {
            return None;
        }
        let entry = self.entries.entry(target);
        Some(entry.or_insert_with(|| Entry::new(now)))
    }

    pub(crate) fn apply_change(
        &mut self,
        now: Instant,
        target: ProcessKey,
        before: Option<Rate>,
        is_own: bool,
    ) {
        self.set_changed(now);
        let Some(entry) = self.entries.get_mut(&target) else {
            return;
        };
        entry.changed_at = now;
        let rate = entry.limit.rate();
        if before.is_none() {
            entry.loans = Loans::new(now);
            entry.pace = Pace::new(now);
        }
        self.changes.push(LimitChange {
            target,
            before,
            rate,
            is_own,
        });
        self.update_pace(now, target);
    }

    pub(crate) fn set_changed(&mut self, now: Instant) {
        self.changed = Some(now);
        self.is_change_unsent = true;
    }

    /// Whether a target may be called now.
    #[must_use]
    pub fn room(&self, now: Instant, target: ProcessKey) -> Room {
        let standing = self.standings.get(target);
        if standing.is_leaving() {
            return Room::Never;
        }
        if let Some(at) = standing.pause_end(now) {
            return Room::From(at);
        }
        let Some(entry) = self.entries.get(&target) else {
            return Room::Unlimited;
        };
        let Some(rate) = entry.limit.rate() else {
            return Room::Unlimited;
        };
        match self.usable_rate(now, entry, rate) {
            None => Room::Elsewhere,
            Some(usable) => match entry.pace.next_call_at(usable) {
                None => Room::Elsewhere,
                Some(next) if next <= now => Room::Now,
                Some(next) => Room::From(next),
            },
        }
    }

    fn usable_rate(&self, now: Instant, entry: &Entry, rate: Rate) -> Option<Rate> {
        let is_own_share_free = self.is_own_share_free(now);
        let loans = &entry.loans;
        loans.usable_rate(now, self.own, is_own_share_free, rate, self.processes)
    }

    /// Whether no loan of the process that ran here before this one can be in use any more.
    pub(crate) fn is_own_share_free(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= LOAN_MS
    }

    /// Sets the pace at a target by the shares that this process may use now.
    pub(crate) fn update_pace(&mut self, now: Instant, target: ProcessKey) {
        let Some(entry) = self.entries.get(&target) else {
            return;
        };
        let limit = entry.limit.rate();
        let usable = limit.and_then(|rate| self.usable_rate(now, entry, rate));
        if let Some(entry) = self.entries.get_mut(&target) {
            entry.pace.set_rate(now, usable);
        }
    }

    /// Limit of a target, if it names one.
    #[must_use]
    pub fn rate(&self, target: ProcessKey) -> Option<Rate> {
        self.entries.get(&target)?.limit.rate()
    }

    /// Number of targets that name a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let limited = self.entries.values();
        limited.filter(|entry| entry.limit.rate().is_some()).count()
    }

    /// Records a call that is made, or reserved for later.
    pub fn record_call(&mut self, now: Instant, target: ProcessKey) {
        if let Some(entry) = self.entries.get_mut(&target) {
            entry.pace.record_call(now);
        }
    }

    /// Records that this process has a request that the target could take.
    pub fn record_demand(&mut self, now: Instant, target: ProcessKey) {
        let own = self.own;
        let Some(entry) = self.entries.get_mut(&target) else {
            return;
        };
        let is_new = !entry.loans.is_wanted_by(now, own, WANTED_MS);
        entry.loans.set_wanted(now, own, true);
        if is_new {
            self.set_changed(now);
        }
    }

    /// Chooses borrowers, and drops what has expired. `processes` is the number of processes that
    /// the limits are divided by; targets that are not `known` are gone.
    pub fn tick(&mut self, now: Instant, processes: usize, is_known: impl Fn(ProcessKey) -> bool) {
        self.processes = processes;
        self.standings.tick(now, &is_known);
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard_at) <= HEARD_MS);
        self.entries.retain(|target, entry| {
            let is_old = now.saturating_duration_since(entry.changed_at) > ENDED_LIFETIME_MS;
            let is_limited = entry.limit.rate().is_some();
            !is_old || (is_limited && is_known(*target))
        });
        let candidates: Vec<MemberId> = std::iter::once(self.own)
            .chain(self.members.keys().copied())
            .collect();
        for (target, entry) in &mut self.entries {
            if let Some(rate) = entry.limit.rate() {
                let loans = &mut entry.loans;
                loans.choose(now, self.own, *target, rate, &candidates, WANTED_MS);
            }
        }
        let targets: Vec<ProcessKey> = self.entries.keys().copied().collect();
        for target in targets {
            self.update_pace(now, target);
        }
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}
