//! Follows the change log and keeps the latest snapshot of the configuration.
//!
//! The log is polled every second, and read at once when a datagram announces a newer revision. A
//! process that has a snapshot keeps working without the table. If the table is unavailable, a
//! process without a snapshot, or one that knows of a newer revision, requests the changes from its
//! peers.

mod event;
mod exchange;
mod lag;
mod options;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use freshness::View;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::Change;
use types::Revision;

pub use event::FollowerAction;
pub use event::FollowerEvent;
pub use lag::FollowerLag;
pub use options::FollowerOptions;

use crate::keys;
use crate::loading;
use crate::loading::LoadStep;
use crate::loading::Loading;
use crate::peers::PeerSnapshots;
use crate::rows::Head;
use crate::rows::RowError;
use crate::rows::decode;
use crate::snapshot::Snapshot;

/// Number of log records retained for peers: 47 minutes of changes at the average rate expected in
/// two years. A peer that lacks more receives a snapshot.
const RECENT_RECORDS: usize = 1024;

/// Time after a read of the table during which the snapshot counts as current. When the table
/// becomes unavailable to an entry, agents poll for orders themselves after this time.
const CURRENT_MS: Duration = Duration::from_secs(2);

/// Table request in flight.
#[derive(Debug)]
enum Call {
    Head,
    Log,
    Loading(Box<Loading>),
}

/// State machine that applies the change log.
#[derive(Debug)]
pub struct Follower {
    options: FollowerOptions,
    random: StdRng,
    snapshot: Option<Rc<Snapshot>>,
    recent: VecDeque<Change>,
    /// Latest revision that the table or another process has reported, and when the table was read.
    view: View,
    call: Option<(u64, Instant, Call)>,
    last_operation: u64,
    /// Start of the first request since the last reply of the table.
    unanswered_since: Option<Instant>,
    /// The last table request failed.
    has_failed: bool,
    next_poll: Instant,
    /// When the last read of the log was started.
    last_log_read: Option<Instant>,
    next_peer_poll: Instant,
    peer_snapshots: PeerSnapshots,
}

impl Follower {
    /// Creates a follower without a snapshot. `seed` is used for the jitter of polls.
    #[must_use]
    pub fn new(options: FollowerOptions, now: Instant, seed: u64) -> Self {
        Self {
            options,
            random: StdRng::seed_from_u64(seed),
            snapshot: None,
            recent: VecDeque::new(),
            view: View::new(now),
            call: None,
            last_operation: 0,
            unanswered_since: None,
            has_failed: false,
            next_poll: now,
            last_log_read: None,
            next_peer_poll: now,
            peer_snapshots: PeerSnapshots::default(),
        }
    }

    /// The latest snapshot; `None` until the first one was read.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Rc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Revision of the latest snapshot; 0 without one.
    #[must_use]
    pub fn applied(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.revision())
    }

    /// Whether a read of the table within `CURRENT_MS` showed that all changes are applied.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.view.age(now).is_some_and(|age| age < CURRENT_MS)
    }

    /// Lag behind the latest known revision; `None` if that revision is applied.
    #[must_use]
    pub fn lag(&self, now: Instant) -> Option<FollowerLag> {
        self.view.behind_since().map(|since| FollowerLag {
            applied: self.applied(),
            known: self.view.newest(),
            for_ms: now.saturating_duration_since(since),
        })
    }

    /// When the next [`FollowerEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let call = match &self.call {
            Some((_, sent, _)) => *sent + self.options.call_timeout_ms,
            None => self.next_poll,
        };
        match self.unanswered_since {
            Some(since) if self.view.behind_since().is_some() => {
                call.min(self.next_peer_poll.max(since + self.options.peer_delay_ms))
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
            FollowerEvent::RevisionAnnounced { revision } => self.observe_revision(now, revision),
            FollowerEvent::ChangesRequested { peer, after } => {
                self.observe_revision(now, after);
                self.answer_peer(peer, after, &mut actions);
            }
            FollowerEvent::ChangesReceived { peer, answer } => {
                self.peer_answered(now, peer, answer, &mut actions);
            }
        }
        self.next_request(now, &mut actions);
        self.request_from_peers(now, &mut actions);
        actions
    }

    /// Records a revision that exists, and reads the log soon if it is not applied.
    fn observe_revision(&mut self, now: Instant, revision: Revision) {
        if revision <= self.view.newest() {
            return;
        }
        self.view.observe(now, revision);
        if revision > self.applied() {
            self.poll_soon(now);
        }
    }

    /// Schedules a read at once, or at the end of the shortest interval after the last one. Does
    /// nothing while requests to the table fail.
    fn poll_soon(&mut self, now: Instant) {
        if self.has_failed {
            return;
        }
        let due = self
            .last_log_read
            .map_or(now, |at| now.max(at + self.options.hint_read_interval_ms));
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
            Some(snapshot) if self.view.newest() > snapshot.revision() => Call::Log,
            Some(_) => Call::Head,
        };
        self.start(now, call, actions);
    }

    fn start(&mut self, now: Instant, call: Call, actions: &mut Vec<FollowerAction>) {
        if matches!(call, Call::Log) {
            self.last_log_read = Some(now);
        }
        let request = match &call {
            Call::Head => TableRequest::Read(vec![keys::HEAD.to_owned()]),
            Call::Log => loading::scan_log(self.applied()),
            Call::Loading(loading) => loading.request(),
        };
        self.last_operation += 1;
        let operation = self.last_operation;
        self.call = Some((operation, now, call));
        self.unanswered_since.get_or_insert(now);
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
            self.has_failed = true;
            return;
        };
        self.has_failed = false;
        self.unanswered_since = None;
        let is_latest = match call {
            Call::Head => true,
            Call::Log => rows.len() < loading::PAGE_ROWS,
            Call::Loading(_) => false,
        };
        let outcome = match call {
            Call::Head => self.handle_head(now, &rows),
            Call::Log => self.handle_log(now, &rows, actions),
            Call::Loading(loading) => self.handle_page(now, *loading, &rows, actions),
        };
        if is_latest && outcome.is_ok() && self.view.newest() <= self.applied() {
            self.view.check(sent);
        }
        if let Err(error) = outcome {
            actions.push(FollowerAction::Rejected {
                detail: error.to_string(),
            });
        }
    }

    fn handle_head(&mut self, now: Instant, rows: &[store::Row]) -> Result<(), RowError> {
        let head: Option<Head> = rows.first().map(decode).transpose()?;
        self.observe_revision(now, head.unwrap_or_default().revision);
        if self.view.newest() > self.applied() {
            self.poll_soon(now);
        }
        Ok(())
    }

    fn handle_log(
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
                    // The records before this one are applied.
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

    fn handle_page(
        &mut self,
        now: Instant,
        loading: Loading,
        rows: &[store::Row],
        actions: &mut Vec<FollowerAction>,
    ) -> Result<(), RowError> {
        match loading.add_page(rows)? {
            LoadStep::More(loading) => self.start(now, Call::Loading(Box::new(loading)), actions),
            LoadStep::Done(snapshot) => self.replace_snapshot(now, snapshot, actions),
        }
        Ok(())
    }

    /// Applies the records that follow the snapshot without a gap. Earlier ones are skipped, and
    /// those after a gap are read again later.
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
        self.install(now, next, applied, actions);
    }

    /// Replaces the snapshot by a complete one, unless the present one is as new.
    fn replace_snapshot(
        &mut self,
        now: Instant,
        next: Snapshot,
        actions: &mut Vec<FollowerAction>,
    ) {
        if self
            .snapshot
            .as_ref()
            .is_some_and(|current| current.revision() >= next.revision())
        {
            return;
        }
        self.recent.clear();
        self.install(now, next, Vec::new(), actions);
    }

    /// Makes a snapshot the latest one.
    fn install(
        &mut self,
        now: Instant,
        next: Snapshot,
        changes: Vec<Change>,
        actions: &mut Vec<FollowerAction>,
    ) {
        let snapshot = Rc::new(next);
        self.view.apply(now, snapshot.revision());
        if self.view.behind_since().is_some() {
            self.poll_soon(now);
        }
        self.peer_snapshots.abort_up_to(snapshot.revision());
        self.snapshot = Some(Rc::clone(&snapshot));
        actions.push(FollowerAction::Applied { snapshot, changes });
    }
}
