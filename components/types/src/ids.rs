//! Names and ids that processes exchange.

use serde::Deserialize;
use serde::Serialize;

/// Name of a service that callers address, for example `mesa-refugios`.
pub type ServiceName = String;
/// Name of a target, unique within the deployment.
pub type TargetName = String;
/// Name of a host that runs a process of the system.
pub type HostName = String;
/// Name of a data centre, for example `lago-puelo`.
pub type DataCentre = String;
/// Name of a profile, unique within the deployment.
pub type ProfileName = String;
/// Name of a caller: its authenticated identity, or its IP address.
pub type CallerName = String;
/// Position in the change log; increases by one with every accepted change.
pub type Revision = u64;
/// Number of an order; increases with every order to the same target.
pub type OrderNumber = u64;
/// Fencing token of a planning lease; increases with every new holder.
pub type FencingNumber = u64;
/// Random id that a process draws at startup.
pub type Incarnation = u64;
/// Id of a request, unique across entries and restarts.
pub type RequestId = u128;

/// Id of an attempt to serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub number: u32,
}

/// Builds a request id from the entry's incarnation (upper 64 bits) and a counter (lower 64 bits).
#[must_use]
pub fn request_id(entry: Incarnation, counter: u64) -> RequestId {
    (u128::from(entry) << 64) | u128::from(counter)
}
