//! Follows the change log and keeps the latest snapshot.
//!
//! The log is polled every second, and read at once when a datagram announces a newer
//! revision. A process with a snapshot does not need the table. One without a snapshot, or
//! one that knows that it is behind, asks its peers while the table does not answer.

mod behind;
mod event;
mod exchange;
mod options;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::Change;
use types::Revision;

pub use behind::Behind;
pub use event::FollowerAction;
pub use event::FollowerEvent;
pub use options::FollowerOptions;

use crate::keys;
use crate::loading;
use crate::loading::Loading;
use crate::loading::Step;
use crate::peers::PeerSnapshots;
use crate::rows::Head;
use crate::rows::RowError;
use crate::rows::decode;
use crate::snapshot::Snapshot;

/// Records kept for peers: 47 minutes of changes at the average rate of the fleet of two years
/// from now. A peer that lacks more gets a snapshot.
const RECENT_RECORDS: usize = 1024;

/// Time after a read of the table in which the snapshot is taken for current. Agents that are
/// not told of orders look for them themselves this long after an entry has lost the table.
const CURRENT_MS: Duration = Duration::from_secs(2);

/// Call under way.
#[derive(Debug)]
enum Call {
    Head,
    Log,
    Loading(Box<Loading>),
}

/// State machine that follows the log.
#[derive(Debug)]
pub struct Follower {
    options: FollowerOptions,
    random: StdRng,
    snapshot: Option<Rc<Snapshot>>,
    recent: VecDeque<Change>,
    known: Revision,
    behind_since: Option<Instant>,
    call: Option<(u64, Instant, Call)>,
    last_operation: u64,
    /// Since when the table has given no answer.
    silent_since: Option<Instant>,
    /// The last call failed.
    failing: bool,
    /// Every change before this time is applied.
    current_as_of: Option<Instant>,
    next_poll: Instant,
    /// When the log was last read because of a hint or a poll.
    last_log: Option<Instant>,
    next_ask: Instant,
    from_peers: PeerSnapshots,
}

impl Follower {
    /// Starts without a snapshot; `seed` feeds the jitter of polls.
    #[must_use]
    pub fn new(options: FollowerOptions, now: Instant, seed: u64) -> Self {
        Self {
            options,
            random: StdRng::seed_from_u64(seed),
            snapshot: None,
            recent: VecDeque::new(),
            known: 0,
            behind_since: Some(now),
            call: None,
            last_operation: 0,
            silent_since: None,
            failing: false,
            current_as_of: None,
            next_poll: now,
            last_log: None,
            next_ask: now,
            from_peers: PeerSnapshots::default(),
        }
    }

    /// The snapshot in force; `None` until the first one was read.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Rc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Revision in force; 0 without a snapshot.
    #[must_use]
    pub fn applied(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.revision())
    }

    /// Whether every change but those of the last two seconds is in force, as the table says.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_as_of
            .is_some_and(|at| now.saturating_duration_since(at) < CURRENT_MS)
    }

    /// How far the snapshot is behind what was heard of; `None` if it is not.
    #[must_use]
    pub fn behind(&self, now: Instant) -> Option<Behind> {
        self.behind_since.map(|since| Behind {
            applied: self.applied(),
            known: self.known,
            for_ms: now.saturating_duration_since(since),
        })
    }

    /// When the next tick is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let call = match &self.call {
            Some((_, sent, _)) => *sent + self.options.call_timeout_ms,
            None => self.next_poll,
        };
        match self.silent_since {
            Some(since) if self.behind_since.is_some() => {
                call.min(self.next_ask.max(since + self.options.peers_after_ms))
            }
            _ => call,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: FollowerEvent) -> Vec<FollowerAction> {
        let mut actions = Vec::new();
        match event {
            FollowerEvent::Tick => {}
            FollowerEvent::TableDone { operation, result } => {
                self.table_done(now, operation, result, &mut actions);
            }
            FollowerEvent::Hint { revision } => self.heard_of(now, revision),
            FollowerEvent::PeerAsks { peer, after } => {
                self.heard_of(now, after);
                self.answer(peer, after, &mut actions);
            }
            FollowerEvent::PeerAnswered { peer, answer } => {
                self.peer_answered(now, peer, answer, &mut actions);
            }
        }
        self.next_request(now, &mut actions);
        self.ask_peers(now, &mut actions);
        actions
    }

    fn heard_of(&mut self, now: Instant, revision: Revision) {
        if revision <= self.known {
            return;
        }
        self.known = revision;
        if revision > self.applied() {
            self.behind_since.get_or_insert(now);
            self.poll_soon(now);
        }
    }

    /// Reads at once, unless the log was read just before or the table is known not to answer.
    fn poll_soon(&mut self, now: Instant) {
        if self.failing {
            return;
        }
        let due = self
            .last_log
            .map_or(now, |at| now.max(at + self.options.hint_gap_ms));
        self.next_poll = self.next_poll.min(due);
    }

    fn next_request(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        if let Some((_, sent, _)) = &self.call
            && now.saturating_duration_since(*sent) >= self.options.call_timeout_ms
        {
            self.call = None;
            self.next_poll = now;
        }
        if self.call.is_some() || now < self.next_poll {
            return;
        }
        let share = self.random.random_range(0.75..=1.0);
        self.next_poll = now + self.options.poll_ms.mul_f64(share);
        let call = match &self.snapshot {
            None => Call::Loading(Box::default()),
            Some(snapshot) if self.known > snapshot.revision() => Call::Log,
            Some(_) => Call::Head,
        };
        self.start(now, call, actions);
    }

    fn start(&mut self, now: Instant, call: Call, actions: &mut Vec<FollowerAction>) {
        if matches!(call, Call::Log) {
            self.last_log = Some(now);
        }
        let request = match &call {
            Call::Head => TableRequest::Read(vec![keys::HEAD.to_owned()]),
            Call::Log => loading::scan_log(self.applied()),
            Call::Loading(loading) => loading.request(),
        };
        self.last_operation += 1;
        let operation = self.last_operation;
        self.call = Some((operation, now, call));
        self.silent_since.get_or_insert(now);
        actions.push(FollowerAction::Table { operation, request });
    }

    fn table_done(
        &mut self,
        now: Instant,
        operation: u64,
        result: Result<TableReply, StoreError>,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Some((_, sent, call)) = self.call.take_if(|call| call.0 == operation) else {
            return;
        };
        let Ok(TableReply::Rows(rows)) = result else {
            self.failing = true;
            return;
        };
        self.failing = false;
        self.silent_since = None;
        let is_whole = match call {
            Call::Head => true,
            Call::Log => rows.len() < loading::PAGE_ROWS,
            Call::Loading(_) => false,
        };
        let outcome = match call {
            Call::Head => self.read_head(now, &rows),
            Call::Log => self.read_log(now, &rows, actions),
            Call::Loading(loading) => self.read_page(now, *loading, &rows, actions),
        };
        if is_whole && outcome.is_ok() && self.known <= self.applied() {
            self.current_as_of = Some(sent);
        }
        if let Err(error) = outcome {
            actions.push(FollowerAction::Rejected {
                detail: error.to_string(),
            });
        }
    }

    fn read_head(&mut self, now: Instant, rows: &[store::Row]) -> Result<(), RowError> {
        let head: Option<Head> = rows.first().map(decode).transpose()?;
        self.heard_of(now, head.unwrap_or_default().revision);
        if self.known > self.applied() {
            self.poll_soon(now);
        }
        Ok(())
    }

    fn read_log(
        &mut self,
        now: Instant,
        rows: &[store::Row],
        actions: &mut Vec<FollowerAction>,
    ) -> Result<(), RowError> {
        let mut changes = Vec::with_capacity(rows.len());
        let mut outcome = Ok(());
        for row in rows {
            match decode(row) {
                Ok(change) => changes.push(change),
                Err(error) => {
                    // The records before it are good.
                    outcome = Err(error);
                    break;
                }
            }
        }
        self.apply(now, changes, actions);
        if outcome.is_ok() && rows.len() >= loading::PAGE_ROWS {
            self.next_poll = now;
        }
        outcome
    }

    fn read_page(
        &mut self,
        now: Instant,
        loading: Loading,
        rows: &[store::Row],
        actions: &mut Vec<FollowerAction>,
    ) -> Result<(), RowError> {
        match loading.page(rows)? {
            Step::More(loading) => self.start(now, Call::Loading(Box::new(loading)), actions),
            Step::Done(snapshot) => self.replace(now, snapshot, actions),
        }
        Ok(())
    }

    /// Applies the records that follow on the snapshot; earlier ones are skipped, and those
    /// after a gap wait for the next read.
    fn apply(&mut self, now: Instant, changes: Vec<Change>, actions: &mut Vec<FollowerAction>) {
        let Some(current) = &self.snapshot else {
            return;
        };
        let mut next = Snapshot::clone(current);
        let mut applied = Vec::new();
        for change in changes {
            if change.revision > next.revision() && next.apply(&change).is_ok() {
                applied.push(change);
            }
        }
        if applied.is_empty() {
            return;
        }
        self.recent.extend(applied.iter().cloned());
        let excess = self.recent.len().saturating_sub(RECENT_RECORDS);
        self.recent.drain(..excess);
        self.put_in_force(now, next, applied, actions);
    }

    /// Puts a whole snapshot in force, unless it is older than the one in force.
    fn replace(&mut self, now: Instant, next: Snapshot, actions: &mut Vec<FollowerAction>) {
        if self
            .snapshot
            .as_ref()
            .is_some_and(|current| current.revision() >= next.revision())
        {
            return;
        }
        self.recent.clear();
        self.put_in_force(now, next, Vec::new(), actions);
    }

    fn put_in_force(
        &mut self,
        now: Instant,
        next: Snapshot,
        changes: Vec<Change>,
        actions: &mut Vec<FollowerAction>,
    ) {
        let snapshot = Rc::new(next);
        self.known = self.known.max(snapshot.revision());
        let is_behind = self.known > snapshot.revision();
        self.behind_since = self.behind_since.or(Some(now)).filter(|_| is_behind);
        if is_behind {
            self.poll_soon(now);
        }
        self.from_peers.drop_up_to(snapshot.revision());
        self.snapshot = Some(Rc::clone(&snapshot));
        actions.push(FollowerAction::Applied { snapshot, changes });
    }
}
