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

/// Author named in the records by which a snapshot is sent to a peer.
const SNAPSHOT_AUTHOR: &str = "snapshot";

/// Items of one kind by name. Snapshots with equal items share them.
type Items<T> = Rc<BTreeMap<String, Rc<Versioned<T>>>>;

/// Latest orders by target; an order has its own field for the revision.
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

/// Error for a log record that is not the next one after the snapshot.
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
            "log record {} is not the next after revision {}; read the log again",
            self.record, self.applied
        )
    }
}

impl std::error::Error for GapError {}

impl Snapshot {
    /// Revision of the latest change in the snapshot.
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

    /// Profile that is assigned to a service.
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
        self.apply_unchecked(change);
        Ok(())
    }

    /// Records in order of revision from which [`Snapshot::from_records`] rebuilds the snapshot.
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
        // The sort is stable, so an order stays before the target whose state it changed.
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

    /// Rebuilds a snapshot from the result of [`Snapshot::records`].
    #[must_use]
    pub fn from_records(revision: Revision, records: &[Change]) -> Self {
        let mut snapshot = Self::default();
        for record in records {
            snapshot.apply_unchecked(record);
        }
        snapshot.revision = revision;
        snapshot
    }

    /// An empty snapshot at the revision of `head`, to be filled with rows that may be newer.
    pub(crate) fn empty_at(revision: Revision) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    /// Adds a row to a snapshot that is being read, and returns the revision of its item. Returns 0
    /// for a row that is not part of a snapshot.
    pub(crate) fn add_row(&mut self, row: &Row) -> Result<Revision, RowError> {
        if let Some(name) = row.key.strip_prefix(keys::PROFILE) {
            return insert_row(&mut self.profiles, name, row);
        }
        if let Some(name) = row.key.strip_prefix(keys::SERVICE) {
            return insert_row(&mut self.services, name, row);
        }
        if let Some(name) = row.key.strip_prefix(keys::TARGET) {
            return insert_row(&mut self.targets, name, row);
        }
        if let Some(name) = row.key.strip_prefix(keys::ORDER) {
            let order: Order = decode(row)?;
            let revision = order.revision;
            Rc::make_mut(&mut self.orders).insert(name.to_owned(), Rc::new(order));
            return Ok(revision);
        }
        Ok(0)
    }

    /// Applies a record without a check of its revision. Applying records again in order gives the
    /// same result, so a snapshot that was read during changes is completed by their records.
    fn apply_unchecked(&mut self, change: &Change) {
        let revision = change.revision;
        match &change.body {
            ChangeBody::Profile { after, .. } => {
                insert_item(&mut self.profiles, &after.name, revision, after);
            }
            ChangeBody::ProfileRetired { name, .. } => {
                Rc::make_mut(&mut self.profiles).remove(name);
            }
            ChangeBody::Service { after, .. } => {
                insert_item(&mut self.services, &after.name, revision, after);
            }
            ChangeBody::Target { after, .. } => {
                insert_item(&mut self.targets, &after.name, revision, after);
            }
            ChangeBody::Order { after, .. } => self.apply_order(revision, after),
            ChangeBody::PlanKept { .. } => {}
        }
        self.revision = revision;
    }

    fn apply_order(&mut self, revision: Revision, order: &Order) {
        Rc::make_mut(&mut self.orders).insert(order.target.clone(), Rc::new(order.clone()));
        let Some(stored) = self.targets.get(&order.target) else {
            return;
        };
        let state = state_after(&order.kind, stored.value.state);
        if state != stored.value.state {
            let mut target = stored.value.clone();
            target.state = state;
            insert_item(&mut self.targets, &order.target, revision, &target);
        }
    }
}

fn insert_item<T: Clone>(items: &mut Items<T>, name: &str, revision: Revision, value: &T) {
    let value = value.clone();
    Rc::make_mut(items).insert(name.to_owned(), Rc::new(Versioned { revision, value }));
}

fn insert_row<T: Clone + serde::de::DeserializeOwned>(
    items: &mut Items<T>,
    name: &str,
    row: &Row,
) -> Result<Revision, RowError> {
    let item: Versioned<T> = decode(row)?;
    let revision = item.revision;
    Rc::make_mut(items).insert(name.to_owned(), Rc::new(item));
    Ok(revision)
}
