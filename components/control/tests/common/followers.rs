//! Simulation of entries whose followers read one table.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use control::Follower;
use control::FollowerAction;
use control::FollowerEvent;
use control::FollowerOptions;
use control::TargetUpdate;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::OrderKind;

use super::Fixture;
use super::change;
use super::create;
use super::executed;
use super::ms;
use super::order;
use super::retire;
use super::set_service;
use super::target;

pub const ENTRIES: usize = 3;

/// A table request in flight. It takes effect at some time before its reply is delivered.
pub struct PendingRequest {
    pub operation: u64,
    pub request: TableRequest,
    /// `None` until the request has taken effect.
    pub reply: Option<TableReply>,
}

pub struct Entry {
    pub follower: Follower,
    pub calls: Vec<PendingRequest>,
    pub inbox: VecDeque<FollowerEvent>,
    /// Revision of the last snapshot that the follower reported.
    pub applied: u64,
}

/// Entries with followers of one table, and the messages between them.
pub struct Fleet {
    pub fixture: Fixture,
    pub entries: Vec<Entry>,
    pub start: Instant,
    pub elapsed: Duration,
    pub outage: bool,
    pub seed: u64,
    /// Number of requests to peers so far; consecutive ones go to different peers.
    pub peer_requests: usize,
}

impl Fleet {
    pub fn new(fixture: Fixture) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            fixture,
            entries: Vec::new(),
            start,
            elapsed: Duration::ZERO,
            outage: false,
            seed: 0,
            peer_requests: 0,
        };
        fleet.entries = (0..ENTRIES).map(|_| fleet.start_entry()).collect();
        fleet
    }

    pub fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    pub fn start_entry(&mut self) -> Entry {
        self.seed += 1;
        Entry {
            follower: Follower::new(FollowerOptions::default(), self.now(), self.seed),
            calls: Vec::new(),
            inbox: VecDeque::new(),
            applied: 0,
        }
    }

    pub fn handle(&mut self, index: usize, event: FollowerEvent) {
        let now = self.now();
        let actions = self.entries[index].follower.handle(now, event);
        for action in actions {
            match action {
                FollowerAction::Table { operation, request } => {
                    self.entries[index].calls.push(PendingRequest {
                        operation,
                        request,
                        reply: None,
                    });
                }
                FollowerAction::RequestChanges { after } => {
                    self.peer_requests += 1;
                    let to = (index + 1 + self.peer_requests % (ENTRIES - 1)) % ENTRIES;
                    let peer = index as u64;
                    let event = FollowerEvent::ChangesRequested { peer, after };
                    self.entries[to].inbox.push_back(event);
                }
                FollowerAction::SendChanges { peer, answer } => {
                    let to = usize::try_from(peer).unwrap();
                    let peer = index as u64;
                    let event = FollowerEvent::ChangesReceived { peer, answer };
                    self.entries[to].inbox.push_back(event);
                }
                FollowerAction::Applied { snapshot, .. } => {
                    let entry = &mut self.entries[index];
                    assert!(
                        snapshot.revision() >= entry.applied,
                        "the follower reverted to an older revision"
                    );
                    entry.applied = snapshot.revision();
                    assert_eq!(*snapshot, self.fixture.at(snapshot.revision()));
                }
                FollowerAction::Rejected { detail } => panic!("{detail}"),
            }
        }
        let entry = &self.entries[index];
        assert_eq!(entry.follower.applied(), entry.applied);
    }

    /// Applies the oldest table request that has not taken effect, without delivering the reply.
    pub fn execute(&mut self, index: usize) {
        if self.outage {
            return;
        }
        let call = self.entries[index]
            .calls
            .iter_mut()
            .find(|call| call.reply.is_none());
        if let Some(call) = call {
            call.reply = Some(self.fixture.table.apply(&call.request));
        }
    }

    /// Delivers the reply to a table request, or an error if it has not taken effect.
    pub fn deliver(&mut self, index: usize, choice: usize) {
        if self.entries[index].calls.is_empty() {
            return;
        }
        let choice = choice % self.entries[index].calls.len();
        let call = self.entries[index].calls.remove(choice);
        let result = call
            .reply
            .ok_or_else(|| StoreError::Unavailable("outage".to_owned()));
        let operation = call.operation;
        self.handle(index, FollowerEvent::TableDone { operation, result });
    }

    pub fn deliver_peer(&mut self, index: usize) {
        if let Some(event) = self.entries[index].inbox.pop_front() {
            self.handle(index, event);
        }
    }

    /// Makes one of nine kinds of change.
    pub fn make_change(&self, choice: u8) {
        let number = u32::from(choice) + 2;
        // Commands that are not possible in the present state are refused and change nothing.
        let _ = match choice % 9 {
            0 => self.fixture.run(create("p2", number)),
            1 => self.fixture.run(change("p2", number)),
            2 => self.fixture.run(retire("p2")),
            3 => self.fixture.run(set_service("s", "p2")),
            4 => self.fixture.run(set_service("s", "p")),
            5 => self.fixture.run(order("t0", OrderKind::Drain)),
            6 => self.fixture.run(order("t0", OrderKind::Resume)),
            7 => {
                let update = TargetUpdate::Register(Box::new(target("t0", number.into())));
                let _ = self.fixture.update(&update);
                return;
            }
            _ => {
                let snapshot = self.fixture.at(self.fixture.head());
                let incarnation = snapshot.target("t0").map_or(0, |t| t.value.incarnation);
                let order = snapshot.order("t0").map_or(0, |order| order.number);
                let _ = self.fixture.update(&executed("t0", incarnation, order));
                return;
            }
        };
    }

    pub fn step(&mut self, (kind, choice): (u8, u8)) {
        let index = usize::from(choice) % ENTRIES;
        match kind % 12 {
            0 | 1 => {
                self.elapsed += ms(u64::from(choice) * 8);
                self.handle(index, FollowerEvent::Tick);
            }
            2 | 3 => self.execute(index),
            4 | 5 => self.deliver(index, usize::from(choice) / ENTRIES),
            6 => {
                let revision = self.entries[usize::from(choice / 16) % ENTRIES].applied;
                self.handle(index, FollowerEvent::RevisionAnnounced { revision });
            }
            7 | 8 => self.deliver_peer(index),
            9 => self.make_change(choice),
            10 if choice % 4 == 0 => self.entries[index] = self.start_entry(),
            10 => drop(self.entries[index].inbox.pop_front()),
            _ => self.outage = !self.outage,
        }
    }

    /// Runs one entry for 2 s, with all replies of the table delivered.
    pub fn settle_one(&mut self, index: usize) {
        for _ in 0..8 {
            self.elapsed += ms(250);
            self.handle(index, FollowerEvent::Tick);
            while !self.entries[index].calls.is_empty() {
                self.execute(index);
                self.deliver(index, 0);
            }
        }
    }

    /// Runs all entries for `rounds` of 250 ms each, with all replies and messages delivered.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.elapsed += ms(250);
            for index in 0..ENTRIES {
                self.handle(index, FollowerEvent::Tick);
                while !self.entries[index].calls.is_empty() {
                    self.execute(index);
                    self.deliver(index, 0);
                }
                self.deliver_peer(index);
            }
        }
    }
}
