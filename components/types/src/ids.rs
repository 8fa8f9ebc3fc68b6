//! Ids of everything that is named across processes.

use serde::Deserialize;
use serde::Serialize;

/// Service that callers address, for example `mesa-refugios`.
pub type ServiceName = String;
/// Target, unique within the deployment.
pub type TargetName = String;
/// Host that runs a process of the system.
pub type HostName = String;
/// Data centre, for example `lago-puelo`.
pub type Place = String;
/// Profile, unique within the deployment.
pub type ProfileName = String;
/// Caller, as authenticated or as named by its address.
pub type CallerName = String;
/// Position in the change log; every accepted change takes the next one.
pub type Revision = u64;
/// Position of an order among all orders to one target.
pub type OrderNumber = u64;
/// Number of a planning lease; it grows with every new holder.
pub type FencingNumber = u64;
/// Random number of one run of a process; a restart takes a new one.
pub type Incarnation = u64;
/// Request, unique across entries and restarts.
pub type RequestId = u128;

/// One try at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that the attempt serves.
    pub request: RequestId,
    /// Attempts of one request count from 1.
    pub number: u32,
}

/// Builds a request id from the entry's incarnation and a counter.
#[must_use]
pub fn request_id(entry: Incarnation, counter: u64) -> RequestId {
    (u128::from(entry) << 64) | u128::from(counter)
}
