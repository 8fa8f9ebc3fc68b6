//! Shares of one target's limit: to whom this process lends its own, and who has lent it theirs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::MemberId;
use crate::ProcessKey;
use crate::Rate;

/// Duration of a loan, from when the borrower sent the message that the loan answers.
pub(crate) const LOAN_MS: Duration = Duration::from_secs(2);
/// Time without a message after which a process gets no loan any more.
pub(crate) const HEARD_MS: Duration = Duration::from_millis(1_500);
/// Time after a limit became known in which no share is used, so that all processes learn of the
/// limit and of each other before they choose a borrower.
const SETTLE_MS: Duration = Duration::from_millis(400);
/// Rate up to which one process uses a limit alone. A single process may not have enough requests
/// to use a higher one.
const BORROWER_REQUESTS_PER_S: f64 = 2.0;
/// Share of a limit with which a process may make less than a call in a span. Many processes with
/// small shares would make such calls at the same time.
const SMALLEST_SHARE: f64 = 0.25;

/// Another process that knows of limits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member {
    /// Time of its last message by its own clock, since its start.
    pub(crate) sent_ms: Duration,
    /// When that message arrived.
    pub(crate) heard_at: Instant,
}

/// A share that another process uses.
#[derive(Debug, Clone, Copy)]
struct Lent {
    borrower: MemberId,
    until: Instant,
}

/// Shares of one target's limit.
#[derive(Debug)]
pub(crate) struct Loans {
    known_at: Instant,
    lent: Option<Lent>,
    /// Whom the own share is for; `None` while it is for nobody.
    chosen: Option<MemberId>,
    /// Processes that have lent their share to this one, with the end of the loan.
    borrowed: BTreeMap<MemberId, Instant>,
    /// Processes that have requests for the target.
    wanted_by: BTreeMap<MemberId, Instant>,
}

impl Loans {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            known_at: now,
            lent: None,
            chosen: None,
            borrowed: BTreeMap::new(),
            wanted_by: BTreeMap::new(),
        }
    }

    /// Records that a process has requests for the target, or has none any more.
    pub(crate) fn set_wanted(&mut self, now: Instant, member: MemberId, is_wanted: bool) {
        if is_wanted {
            self.wanted_by.insert(member, now);
        } else {
            self.wanted_by.remove(&member);
        }
    }

    /// Whether a process had requests for the target within the given time.
    pub(crate) fn is_wanted_by(&self, now: Instant, member: MemberId, within: Duration) -> bool {
        let at = self.wanted_by.get(&member);
        at.is_some_and(|at| now.saturating_duration_since(*at) <= within)
    }

    /// Records a loan to this process.
    pub(crate) fn borrow(&mut self, lender: MemberId, until: Instant) {
        let known = self.borrowed.entry(lender).or_insert(until);
        *known = (*known).max(until);
    }

    /// Ends a loan that its lender does not state any more.
    pub(crate) fn end_loan(&mut self, lender: MemberId) {
        self.borrowed.remove(&lender);
    }

    /// Chooses whom the own share is for. `candidates` has this process, and those that it hears.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        own: MemberId,
        target: ProcessKey,
        rate: Rate,
        candidates: &[MemberId],
        wanted_within: Duration,
    ) {
        self.borrowed.retain(|_, until| *until > now);
        self.wanted_by
            .retain(|_, at| now.saturating_duration_since(*at) <= wanted_within);
        if self.lent.is_some_and(|lent| lent.until <= now) {
            self.lent = None;
        }
        if now.saturating_duration_since(self.known_at) < SETTLE_MS {
            return;
        }
        let wanting = candidates
            .iter()
            .filter(|id| self.wanted_by.contains_key(*id));
        let mut ranked: Vec<MemberId> = wanting.copied().collect();
        if ranked.is_empty() {
            ranked = candidates.to_vec();
        }
        ranked.sort_by_key(|id| mix(target, *id));
        ranked.truncate(borrower_count(rate));
        let chosen = if ranked.contains(&own) {
            Some(own)
        } else {
            let closest = ranked
                .into_iter()
                .min_by_key(|id| mix(mix(target, own), *id));
            closest.or(Some(own))
        };
        self.chosen = chosen;
    }

    /// The borrower to name in the next notice, which extends its loan. `None` while the share is
    /// the own one, or may still be in use by another process.
    pub(crate) fn lend(
        &mut self,
        own: MemberId,
        members: &BTreeMap<MemberId, Member>,
    ) -> Option<(MemberId, Duration)> {
        let borrower = self.chosen.filter(|chosen| *chosen != own)?;
        if self.lent.is_some_and(|lent| lent.borrower != borrower) {
            return None;
        }
        let member = members.get(&borrower)?;
        self.lent = Some(Lent {
            borrower,
            until: member.heard_at + LOAN_MS,
        });
        Some((borrower, member.sent_ms))
    }

    /// Part of the limit that this process may use; `None` if it has too little to use it safely.
    pub(crate) fn usable_rate(
        &self,
        now: Instant,
        own: MemberId,
        is_own_share_free: bool,
        rate: Rate,
        processes: usize,
    ) -> Option<Rate> {
        let borrowed = self.borrowed.values().filter(|until| **until > now).count();
        let is_lent = self.lent.is_some_and(|lent| lent.until > now);
        let has_own = is_own_share_free && !is_lent && self.chosen == Some(own);
        let shares = borrowed + usize::from(has_own);
        let share = (to_f64(shares) / to_f64(processes.max(1))).min(1.0);
        let usable = Rate::per_second(rate.requests_per_s() * share)?;
        let is_call_in_span = usable.requests_per_s() * crate::SPAN_MS.as_secs_f64() >= 1.0;
        (is_call_in_span || share >= SMALLEST_SHARE).then_some(usable)
    }
}

/// Number of processes that a limit is divided among.
fn borrower_count(rate: Rate) -> usize {
    let count = (rate.requests_per_s() / BORROWER_REQUESTS_PER_S).max(1.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
    let count = count as usize;
    count
}

/// Number that is the same in all processes, and in no relation to the ids.
fn mix(a: u64, b: u64) -> u64 {
    let mut mixed = (a ^ b.rotate_left(32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 32)
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
