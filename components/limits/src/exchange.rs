//! Exchange of notices between processes.

use std::time::Duration;
use std::time::Instant;

use crate::Limits;
use crate::MemberId;
use crate::limits::MEMBERS_LIMIT;
use crate::limits::WANTED_MS;
use crate::loans::LOAN_MS;
use crate::loans::Member;
use crate::notice::LoanNotice;
use crate::notice::Notice;
use crate::notice::TARGETS_LIMIT;
use crate::notice::TargetNotice;

/// Interval and duration of the first notices after a change, some of which may be lost.
const FIRST_INTERVAL_MS: Duration = Duration::from_millis(60);
const FIRST_MS: Duration = Duration::from_millis(200);
/// Interval of notices while a target names a limit; several in the time of a loan.
const INTERVAL_MS: Duration = Duration::from_millis(300);
/// Time for which the end of a limit is announced.
const END_ANNOUNCED_MS: Duration = Duration::from_secs(3);

impl Limits {
    /// Applies a notice of another process.
    pub fn receive(&mut self, now: Instant, sender: MemberId, notice: &Notice) {
        let is_new = !self.members.contains_key(&sender);
        if sender == self.own || (is_new && self.members.len() >= MEMBERS_LIMIT) {
            return;
        }
        let known = self.members.get(&sender);
        if known.is_none_or(|known| known.sent_ms < notice.sent_ms) {
            let member = Member {
                sent_ms: notice.sent_ms,
                heard_at: now,
            };
            self.members.insert(sender, member);
        }
        if is_new {
            // It may have just started.
            self.set_changed(now);
        }
        for target in &notice.targets {
            self.receive_target(now, sender, target);
        }
    }

    fn receive_target(&mut self, now: Instant, lender: MemberId, notice: &TargetNotice) {
        let (own, started) = (self.own, self.started);
        let Some(entry) = self.entry(now, notice.target, notice.rate.is_some()) else {
            return;
        };
        let before = entry.limit.rate();
        let is_stale = notice.revision < entry.limit.revision();
        let is_changed = entry.limit.receive(now, notice.rate, notice.revision);
        if is_changed {
            self.apply_change(now, notice.target, before, false);
        }
        if is_stale {
            self.set_changed(now);
        }
        let Some(entry) = self.entries.get_mut(&notice.target) else {
            return;
        };
        entry.loans.set_wanted(now, lender, notice.is_wanted);
        let loan = notice.loan.filter(|loan| loan.borrower == own);
        match loan {
            Some(loan) => entry.loans.borrow(lender, started + loan.from_ms + LOAN_MS),
            None => entry.loans.end_loan(lender),
        }
        self.update_pace(now, notice.target);
    }

    /// Notices that are due, each small enough for a datagram.
    pub fn take_notices(&mut self, now: Instant) -> Vec<Notice> {
        if !self.is_notice_due(now) {
            return Vec::new();
        }
        self.sent = Some(now);
        self.is_change_unsent = false;
        let sent_ms = now.saturating_duration_since(self.started);
        let is_own_share_free = self.is_own_share_free(now);
        let (own, members) = (self.own, &self.members);
        let mut targets = Vec::new();
        for (target, entry) in &mut self.entries {
            let rate = entry.limit.rate();
            let since_change = now.saturating_duration_since(entry.changed_at);
            if rate.is_none() && since_change > END_ANNOUNCED_MS {
                continue;
            }
            let loan = if rate.is_some() && is_own_share_free {
                entry.loans.lend(own, members)
            } else {
                None
            };
            targets.push(TargetNotice {
                target: *target,
                rate,
                revision: entry.limit.revision(),
                is_wanted: entry.loans.is_wanted_by(now, own, WANTED_MS),
                loan: loan.map(|(borrower, from_ms)| LoanNotice { borrower, from_ms }),
            });
        }
        let notices = targets.chunks(TARGETS_LIMIT).map(|targets| Notice {
            sent_ms,
            targets: targets.to_vec(),
        });
        notices.collect()
    }

    fn is_notice_due(&self, now: Instant) -> bool {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let since_sent = since(self.sent).unwrap_or(Duration::MAX);
        let since_changed = since(self.changed).unwrap_or(Duration::MAX);
        let interval = if since_changed < FIRST_MS {
            FIRST_INTERVAL_MS
        } else if self.entries.is_empty() {
            return false;
        } else {
            INTERVAL_MS
        };
        (self.is_change_unsent && since_sent >= FIRST_INTERVAL_MS / 2) || since_sent >= interval
    }
}
