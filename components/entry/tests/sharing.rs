//! Entries that use a share of the targets, with a table in memory.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use common::core_options;
use common::load;
use common::target;
use common::work;
use control::Head;
use control::LeaseRow;
use control::Versioned;
use control::keys;
use entry::core::Action;
use entry::core::CoreOptions;
use entry::core::EntryCore;
use entry::core::Event;
use entry::core::links::LinkId;
use serde::Serialize;
use store::Put;
use store::Rows;
use store::TableRequest;
use store::Transaction;
use types::Profile;
use types::RequestId;
use types::Service;
use types::ServiceKind;
use types::Submission;
use types::TargetName;
use wire::ToAgent;
use wire::ToEntry;

const ENTRIES: u16 = 20;
const TARGETS: u16 = 40;
const TICK: Duration = Duration::from_millis(100);

struct Entry {
    core: EntryCore,
    links: BTreeMap<LinkId, TargetName>,
    sent: Vec<(TargetName, ToAgent)>,
}

impl Entry {
    fn new(index: u16, now: Instant) -> Self {
        let options = CoreOptions {
            name: format!("entry-{index}"),
            share_targets: 2,
            address: address(index),
            peers: (0..ENTRIES)
                .filter(|peer| *peer != index)
                .map(address)
                .collect(),
            ..core_options()
        };
        Self {
            core: EntryCore::new(options, u64::from(index) + 1, now),
            links: BTreeMap::new(),
            sent: Vec::new(),
        }
    }

    fn handle(&mut self, rows: &mut Rows, now: Instant, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.core.handle(now, event) {
                match action {
                    Action::Table { operation, request } => {
                        let result = Ok(rows.apply(&request));
                        events.push_back(Event::TableDone { operation, result });
                    }
                    Action::OpenLink { link, target, .. } => {
                        self.links.insert(link, target.clone());
                        let message = ToEntry::Welcome {
                            target,
                            incarnation: 1,
                            load: load(1),
                        };
                        events.push_back(Event::LinkMessage { link, message });
                    }
                    Action::CloseLink { link } => {
                        self.links.remove(&link);
                    }
                    Action::Send { link, message } => {
                        self.sent.push((self.links[&link].clone(), message));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Advances the time while all agents send load reports.
    fn advance(&mut self, rows: &mut Rows, now: &mut Instant, time: Duration) {
        let end = *now + time;
        while *now < end {
            *now += TICK;
            self.handle(rows, *now, Event::Tick);
            let links: Vec<LinkId> = self.links.keys().copied().collect();
            for link in links {
                let message = ToEntry::Load(load(1));
                self.handle(rows, *now, Event::LinkMessage { link, message });
            }
        }
    }

    fn submit(&mut self, rows: &mut Rows, now: Instant, key: Option<&str>) -> RequestId {
        let request = self.core.new_request();
        let submission = Submission {
            caller: "radio".to_owned(),
            work: work(),
            key: key.map(str::to_owned),
            deadline_ms: None,
        };
        let event = Event::Submitted {
            request,
            submission,
        };
        self.handle(rows, now, event);
        request
    }

    fn connected_targets(&self) -> BTreeSet<TargetName> {
        self.links.values().cloned().collect()
    }

    fn targets_sent(&self, is_wanted: fn(&ToAgent) -> bool) -> BTreeSet<TargetName> {
        let sent = self.sent.iter().filter(|(_, message)| is_wanted(message));
        sent.map(|(target, _)| target.clone()).collect()
    }
}

fn is_dispatch(message: &ToAgent) -> bool {
    matches!(message, ToAgent::Dispatch(_))
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn put(rows: &mut Rows, key: String, value: &impl Serialize) {
    rows.apply(&TableRequest::Commit(Transaction {
        checks: Vec::new(),
        puts: vec![Put {
            key: key.clone(),
            value: Some(serde_json::to_string(value).expect("serialises")),
        }],
        proof: key,
    }));
}

fn table(is_idempotent: bool) -> Rows {
    fn versioned<T>(value: T) -> Versioned<T> {
        Versioned { revision: 1, value }
    }
    let mut rows = Rows::default();
    let profile = Profile {
        name: "desk".to_owned(),
        idempotent: is_idempotent,
        ..Profile::default()
    };
    let service = Service {
        name: "mesa".to_owned(),
        kind: ServiceKind::Model,
        profile: "desk".to_owned(),
    };
    put(&mut rows, keys::profile("desk"), &versioned(profile));
    put(&mut rows, keys::service("mesa"), &versioned(service));
    for index in 0..TARGETS {
        let target = target(index, address(1000 + index), 1);
        put(&mut rows, keys::target(&target.name), &versioned(target));
    }
    put(&mut rows, keys::HEAD.to_owned(), &Head { revision: 1 });
    rows
}

fn write_lease(rows: &mut Rows, renewal: u64) {
    let row = LeaseRow {
        holder: u64::MAX,
        fencing: 100,
        renewal,
    };
    put(rows, keys::lease("mesa"), &row);
}

/// Guards against requests that are interrupted because their target leaves the share.
#[test]
fn keeps_connections_with_requests_in_flight_when_the_share_shrinks() {
    let mut now = Instant::now();
    let mut rows = table(true);
    let mut entry = Entry::new(0, now);
    entry.advance(&mut rows, &mut now, Duration::from_mins(2));
    assert_eq!(
        entry.connected_targets().len(),
        40,
        "the planner uses all targets"
    );
    let requests: Vec<_> = (0..8).map(|_| entry.submit(&mut rows, now, None)).collect();
    let dispatched = entry.targets_sent(is_dispatch);
    assert!(dispatched.len() > 4);

    write_lease(&mut rows, 1);
    entry.advance(&mut rows, &mut now, Duration::from_secs(5));
    assert!(entry.connected_targets().is_superset(&dispatched));
    assert!(entry.connected_targets().len() < 25);
    let is_cancel = |message: &ToAgent| matches!(message, ToAgent::Cancel { .. });
    assert!(entry.targets_sent(is_cancel).is_empty());

    let connected_count = entry.connected_targets().len();
    for request in requests {
        entry.handle(&mut rows, now, Event::CallerDisconnected { request });
    }
    entry.advance(&mut rows, &mut now, Duration::from_secs(2));
    assert!(entry.connected_targets().len() < connected_count);
}

/// Guards against a resend with an unknown outcome because its claim names a target that is only in
/// the share of another entry.
#[test]
fn queries_a_target_outside_the_share_about_a_claim() {
    let mut now = Instant::now();
    let mut rows = table(false);
    write_lease(&mut rows, 1);
    let mut first = Entry::new(0, now);
    first.advance(&mut rows, &mut now, Duration::from_secs(2));
    first.submit(&mut rows, now, Some("order-1"));
    first.advance(&mut rows, &mut now, Duration::from_secs(1));
    let dispatched = first.targets_sent(is_dispatch);
    assert_eq!(dispatched.len(), 1);

    let mut others = (1..ENTRIES).map(|index| {
        let mut entry = Entry::new(index, now);
        entry.advance(&mut rows.clone(), &mut now.clone(), Duration::from_secs(2));
        entry
    });
    let mut second = others
        .find(|entry| entry.connected_targets().is_disjoint(&dispatched))
        .expect("a target is in few shares");
    now += Duration::from_secs(2);
    second.submit(&mut rows, now, Some("order-1"));
    second.advance(&mut rows, &mut now, Duration::from_secs(1));
    let is_forbid = |message: &ToAgent| matches!(message, ToAgent::Forbid { .. });
    assert_eq!(second.targets_sent(is_forbid), dispatched);
    for renewal in 2..17 {
        // Without renewals this entry would acquire the lease and use all targets.
        write_lease(&mut rows, renewal);
        second.advance(&mut rows, &mut now, Duration::from_secs(1));
    }
    assert!(second.connected_targets().is_disjoint(&dispatched));
}
