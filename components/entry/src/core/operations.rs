//! Which state machine made which call to the table or the object store.

use std::collections::HashMap;

use types::ServiceName;

/// State machine that made a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// Follower of the change log.
    Follower,
    /// Requests, for claims.
    Requests,
    /// Lease of a service.
    Lease(ServiceName),
    /// Lease for the deletion of expired claims.
    SweepLease,
    /// Deletion of expired claims.
    Sweep,
}

/// Calls under way, numbered across all state machines.
#[derive(Debug, Default)]
pub struct Operations {
    last: u64,
    open: HashMap<u64, (Owner, u64)>,
}

impl Operations {
    /// Takes note of a call; returns its number in this process.
    pub fn begin(&mut self, owner: Owner, operation: u64) -> u64 {
        self.last += 1;
        self.open.insert(self.last, (owner, operation));
        self.last
    }

    /// Ends a call; returns its owner and the owner's number.
    pub fn end(&mut self, operation: u64) -> Option<(Owner, u64)> {
        self.open.remove(&operation)
    }
}
