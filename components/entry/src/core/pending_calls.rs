//! Maps pending calls to the table and the object store to the state machines that made them.

use std::collections::HashMap;

use types::ServiceName;

/// State machine that made a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// Follower of the change log.
    Follower,
    /// Requests, for claims and stored answers.
    Requests,
    /// Lease of the planner of a service.
    Lease(ServiceName),
    /// Lease for the deletion of expired claims.
    SweepLease,
    /// Deletion of expired claims.
    Sweep,
}

/// Pending calls, numbered across all state machines.
#[derive(Debug, Default)]
pub struct PendingCalls {
    last: u64,
    pending: HashMap<u64, (Owner, u64)>,
}

impl PendingCalls {
    /// Adds a call and returns its number, which is unique in this process.
    pub fn begin(&mut self, owner: Owner, operation: u64) -> u64 {
        self.last += 1;
        self.pending.insert(self.last, (owner, operation));
        self.last
    }

    /// Removes a call; returns its owner and the number that the owner gave it.
    pub fn end(&mut self, operation: u64) -> Option<(Owner, u64)> {
        self.pending.remove(&operation)
    }
}
