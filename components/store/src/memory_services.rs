//! In-memory object store, weight store and host list for tests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use types::Clock;

use crate::StoreError;
use crate::StoreFuture;
use crate::hosts::HostEntry;
use crate::hosts::HostList;
use crate::objects::ObjectStore;
use crate::weights::WeightStore;

/// In-memory object store.
#[derive(Debug, Default)]
pub struct MemoryObjectStore {
    objects: RefCell<BTreeMap<String, Vec<u8>>>,
    is_unavailable: Cell<bool>,
}

impl MemoryObjectStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts or ends an outage, during which every call returns `Unavailable`.
    pub fn set_outage(&self, is_unavailable: bool) {
        self.is_unavailable.set(is_unavailable);
    }

    fn access<T>(
        &self,
        call: impl FnOnce(&mut BTreeMap<String, Vec<u8>>) -> T,
    ) -> Result<T, StoreError> {
        if self.is_unavailable.get() {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        Ok(call(&mut self.objects.borrow_mut()))
    }
}

impl ObjectStore for MemoryObjectStore {
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            self.access(|objects| {
                objects.insert(key.to_owned(), bytes);
            })
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move { self.access(|objects| objects.get(key).cloned()) })
    }

    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            self.access(|objects| {
                objects.remove(key);
            })
        })
    }
}

/// In-memory weight store that grants one load per interval.
pub struct MemoryWeightStore {
    clock: Rc<dyn Clock>,
    interval_ms: Duration,
    next_grant_at: Cell<Option<Instant>>,
}

impl MemoryWeightStore {
    /// Creates a store that grants one load every `interval_ms`.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>, interval_ms: Duration) -> Self {
        Self {
            clock,
            interval_ms,
            next_grant_at: Cell::new(None),
        }
    }
}

impl WeightStore for MemoryWeightStore {
    fn reserve<'a>(
        &'a self,
        _model: &'a str,
        _version: &'a str,
    ) -> StoreFuture<'a, Option<Duration>> {
        let now = self.clock.now();
        let wait = self
            .next_grant_at
            .get()
            .map(|at| at.saturating_duration_since(now))
            .filter(|wait| !wait.is_zero());
        if wait.is_none() {
            self.next_grant_at.set(Some(now + self.interval_ms));
        }
        Box::pin(async move { Ok(wait) })
    }
}

/// In-memory host list.
#[derive(Debug, Default)]
pub struct MemoryHostList {
    hosts: RefCell<Vec<HostEntry>>,
    is_unavailable: Cell<bool>,
}

impl MemoryHostList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list.
    pub fn set(&self, hosts: Vec<HostEntry>) {
        *self.hosts.borrow_mut() = hosts;
    }

    /// Starts or ends an outage, during which every call returns `Unavailable`.
    pub fn set_outage(&self, is_unavailable: bool) {
        self.is_unavailable.set(is_unavailable);
    }
}

impl HostList for MemoryHostList {
    fn hosts(&self) -> StoreFuture<'_, Vec<HostEntry>> {
        Box::pin(async move {
            if self.is_unavailable.get() {
                return Err(StoreError::Unavailable("outage".to_owned()));
            }
            Ok(self.hosts.borrow().clone())
        })
    }
}
