//! Configuration at one revision.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use store::Row;
use types::Change;
use types::ChangeBody;
use types::Order;
use types::Profile;
use types::ProfileName;
use types::Revision;
use types::Service;
use types::ServiceName;
use types::Target;
use types::TargetName;

use crate::keys;
use crate::orders::state_after;
use crate::rows::RowError;
use crate::rows::Versioned;
use crate::rows::decode;

/// Author of the records that stand for a snapshot.
const SNAPSHOT_AUTHOR: &str = "snapshot";

/// Items of one kind, shared between snapshots that do not differ in them.
type Items<T> = Rc<BTreeMap<String, Rc<Versioned<T>>>>;

/// Orders name their revision themselves.
type Orders = Rc<BTreeMap<TargetName, Rc<Order>>>;

/// Profiles, services, targets and orders at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    revision: Revision,
    profiles: Items<Profile>,
    services: Items<Service>,
    targets: Items<Target>,
    orders: Orders,
}

/// A log record that does not follow on the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GapError {
    /// Revision of the snapshot.
    pub applied: Revision,
    /// Revision of the record.
    pub record: Revision,
}

impl fmt::Display for GapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "log record {} does not follow on revision {}; read the log again",
            self.record, self.applied
        )
    }
}

impl std::error::Error for GapError {}

impl Snapshot {
    /// Revision of the latest change that is part of the snapshot.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// A profile with its revision.
    #[must_use]
    pub fn profile(&self, name: &str) -> Option<&Rc<Versioned<Profile>>> {
        self.profiles.get(name)
    }

    /// A service with its revision.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Versioned<Service>>> {
        self.services.get(name)
    }

    /// The profile that a service picked.
    #[must_use]
    pub fn profile_of(&self, service: &str) -> Option<&Rc<Versioned<Profile>>> {
        self.profile(&self.service(service)?.value.profile)
    }

    /// A target with its revision.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Rc<Versioned<Target>>> {
        self.targets.get(name)
    }

    /// The latest order to a target.
    #[must_use]
    pub fn order(&self, target: &str) -> Option<&Rc<Order>> {
        self.orders.get(target)
    }

    /// All profiles by name.
    pub fn profiles(&self) -> impl Iterator<Item = (&ProfileName, &Rc<Versioned<Profile>>)> {
        self.profiles.iter()
    }

    /// All services by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Rc<Versioned<Service>>)> {
        self.services.iter()
    }

    /// All targets by name.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, &Rc<Versioned<Target>>)> {
        self.targets.iter()
    }

    /// The latest orders by target.
    pub fn orders(&self) -> impl Iterator<Item = (&TargetName, &Rc<Order>)> {
        self.orders.iter()
    }

    /// Applies the next log record.
    ///
    /// # Errors
    ///
    /// `GapError` unless the record is the next one; nothing is applied then.
    pub fn apply(&mut self, change: &Change) -> Result<(), GapError> {
        if change.revision != self.revision + 1 {
            return Err(GapError {
                applied: self.revision,
                record: change.revision,
            });
        }
        self.fold(change);
        Ok(())
    }

    /// Records that rebuild the snapshot with `from_records`, in order of revision.
    #[must_use]
    pub fn records(&self) -> Vec<Change> {
        let profiles = self.profiles.values().map(|item| {
            let after = item.value.clone();
            let before = None;
            (item.revision, ChangeBody::Profile { before, after })
        });
        let services = self.services.values().map(|item| {
            let after = item.value.clone();
            let before = None;
            (item.revision, ChangeBody::Service { before, after })
        });
        let orders = self.orders.values().map(|order| {
            let after = Order::clone(order);
            let before = None;
            (order.revision, ChangeBody::Order { before, after })
        });
        let targets = self.targets.values().map(|item| {
            let after = item.value.clone();
            let before = None;
            (item.revision, ChangeBody::Target { before, after })
        });
        // The sort is stable: an order precedes the target whose state it changed.
        let mut bodies: Vec<_> = profiles
            .chain(services)
            .chain(orders)
            .chain(targets)
            .collect();
        bodies.sort_by_key(|(revision, _)| *revision);
        bodies
            .into_iter()
            .map(|(revision, body)| Change {
                revision,
                at_ms: Duration::ZERO,
                by: SNAPSHOT_AUTHOR.to_owned(),
                reason: String::new(),
                token: 0,
                body,
            })
            .collect()
    }

    /// Rebuilds a snapshot from the records of another one.
    #[must_use]
    pub fn from_records(revision: Revision, records: &[Change]) -> Self {
        let mut snapshot = Self::default();
        for record in records {
            snapshot.fold(record);
        }
        snapshot.revision = revision;
        snapshot
    }

    /// An empty snapshot at the revision of `head`, to be filled from rows that may be newer.
    pub(crate) fn at(revision: Revision) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    /// Adds a row to a snapshot that is being read.
    pub(crate) fn add_row(&mut self, row: &Row) -> Result<Revision, RowError> {
        if let Some(name) = row.key.strip_prefix(keys::PROFILE) {
            return insert(&mut self.profiles, name, row);
        }
        if let Some(name) = row.key.strip_prefix(keys::SERVICE) {
            return insert(&mut self.services, name, row);
        }
        if let Some(name) = row.key.strip_prefix(keys::TARGET) {
            return insert(&mut self.targets, name, row);
        }
        if let Some(name) = row.key.strip_prefix(keys::ORDER) {
            let order: Order = decode(row)?;
            let revision = order.revision;
            Rc::make_mut(&mut self.orders).insert(name.to_owned(), Rc::new(order));
            return Ok(revision);
        }
        Ok(0)
    }

    /// Puts a record in force. Doing it again for records in order changes nothing, so a
    /// snapshot read while changes went on is completed by the records of that time.
    fn fold(&mut self, change: &Change) {
        let revision = change.revision;
        match &change.body {
            ChangeBody::Profile { after, .. } => {
                set(&mut self.profiles, &after.name, revision, after);
            }
            ChangeBody::ProfileRetired { name, .. } => {
                Rc::make_mut(&mut self.profiles).remove(name);
            }
            ChangeBody::Service { after, .. } => {
                set(&mut self.services, &after.name, revision, after);
            }
            ChangeBody::Target { after, .. } => {
                set(&mut self.targets, &after.name, revision, after);
            }
            ChangeBody::Order { after, .. } => self.fold_order(revision, after),
            ChangeBody::PlanKept { .. } => {}
        }
        self.revision = revision;
    }

    fn fold_order(&mut self, revision: Revision, order: &Order) {
        Rc::make_mut(&mut self.orders).insert(order.target.clone(), Rc::new(order.clone()));
        let Some(stored) = self.targets.get(&order.target) else {
            return;
        };
        let state = state_after(&order.kind, stored.value.state);
        if state != stored.value.state {
            let mut target = stored.value.clone();
            target.state = state;
            set(&mut self.targets, &order.target, revision, &target);
        }
    }
}

fn set<T: Clone>(items: &mut Items<T>, name: &str, revision: Revision, value: &T) {
    let value = value.clone();
    Rc::make_mut(items).insert(name.to_owned(), Rc::new(Versioned { revision, value }));
}

fn insert<T: Clone + serde::de::DeserializeOwned>(
    items: &mut Items<T>,
    name: &str,
    row: &Row,
) -> Result<Revision, RowError> {
    let item: Versioned<T> = decode(row)?;
    let revision = item.revision;
    Rc::make_mut(items).insert(name.to_owned(), Rc::new(item));
    Ok(revision)
}
