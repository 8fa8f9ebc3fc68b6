//! Settings of an entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationMilliSecondsWithFrac;
use serde_with::serde_as;
use types::DataCentre;
use types::HostName;

use crate::peer::Peer;
use crate::peer::validate_peers;
use crate::section::section;
use crate::sections::CallerIdentity;
use crate::sections::Daemon;
use crate::sections::FieldError;
use crate::sections::KeySettings;
use crate::sections::Log;
use crate::sections::OperatorSettings;
use crate::sections::PlatformAddresses;
use crate::sections::first_failed_check;
use crate::sections::validate_key_rotation;
use crate::sections::validate_keys;
use crate::sections::validate_operators;

/// Settings of an entry, which accepts requests of callers and routes them to targets.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Always [`Daemon::Entry`] in valid settings.
    pub daemon: Daemon,
    /// Name of the entry, unique within the deployment.
    pub name: String,
    /// Host of the entry, by its name in the host list.
    pub host: HostName,
    /// Region of the data centre.
    pub region: String,
    /// Data centre of the host.
    #[serde(rename = "place")]
    pub data_centre: DataCentre,
    /// One-way latency to other data centres; those that are not listed count as 1.5 ms away.
    #[serde(default)]
    #[serde_as(as = "BTreeMap<_, DurationMilliSecondsWithFrac<f64>>")]
    pub distance_ms: BTreeMap<DataCentre, Duration>,
    /// Addresses on which the entry listens.
    pub addresses: Addresses,
    /// Other entries; the entry's own address is ignored.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services of the platform.
    pub platform: PlatformAddresses,
    /// Shared keys of the daemons; the first one signs.
    pub keys: Vec<KeySettings>,
    /// Operators that may send commands; without any, every command is refused.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// How callers are identified.
    #[serde(default)]
    pub caller_identity: CallerIdentity,
    /// Limits of callers' connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// Size of the subset of targets that the entry uses.
    #[serde(default)]
    pub share: Share,
    /// Poll intervals and lease durations.
    #[serde(default)]
    pub intervals: Intervals,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Addresses on which an entry listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// HTTP server for callers.
    pub callers: SocketAddr,
    /// HTTP server for operators.
    pub operators: SocketAddr,
    /// Connections and datagrams of other entries and of agents, over TCP and UDP.
    pub peers: SocketAddr,
}

section! {
    /// Limits of callers' connections and requests.
    Limits {
        /// Maximum number of open connections of callers.
        connections: usize = 4096,
        /// Maximum number of callers' requests in flight.
        requests: usize = 4096,
        /// Maximum total size of the buffered bodies of all requests in flight.
        held_bodies_bytes: usize = 512 << 20,
        /// Maximum size of a request head, that is the request line and the header fields.
        head_bytes: usize = 16 << 10,
        /// Maximum number of header fields of a request.
        head_fields: usize = 64,
        /// Timeout for reading a request head, from its first byte.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        head_ms: Duration = Duration::from_secs(10),
        /// Timeout for reading a request body, from the end of the head.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        body_ms: Duration = Duration::from_secs(30),
        /// Time after which a connection without a request is closed.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        idle_ms: Duration = Duration::from_secs(75),
        /// Timeout for writing a response while the caller reads no byte of it.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        write_stall_ms: Duration = Duration::from_secs(30),
    }
}

section! {
    /// Subset of the targets that an entry uses.
    Share {
        /// Maximum number of targets of each service.
        targets: usize = 64,
    }
}

section! {
    /// Poll intervals and lease durations of an entry.
    Intervals {
        /// Interval between reads of the revision in the table.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        poll_ms: Duration = Duration::from_secs(1),
        /// Interval between probes of a target.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        probe_ms: Duration = Duration::from_millis(500),
        /// Idle time after which a connection to an agent is pinged. A dead connection that has not
        /// been detected delays the next request by up to 2 s.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        idle_ping_ms: Duration = Duration::from_secs(5),
        /// Interval between reads of the host list.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        hosts_poll_ms: Duration = Duration::from_secs(2),
        /// Duration of a planning lease. A stopping entry also waits at most this long for its last
        /// writes to the table.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lease_ms: Duration = Duration::from_secs(6),
        /// Time until the load balancer has detected that `/healthz` fails; a stopping entry keeps
        /// accepting requests for this long.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        balancer_notice_ms: Duration = Duration::from_secs(5),
    }
}

impl EntrySettings {
    /// Checks the value of each field, and the fields against each other.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and how to correct it.
    pub fn validate(&self) -> Result<(), FieldError> {
        first_failed_check(&[
            (
                self.daemon == Daemon::Entry,
                "daemon",
                "this file has the settings of an agent; those of an entry are required",
            ),
            (
                !self.name.is_empty(),
                "name",
                "must not be empty; use a name that is unique within the deployment",
            ),
            (
                !self.host.is_empty(),
                "host",
                "must not be empty; use the name in the host list",
            ),
            (
                !self.data_centre.is_empty(),
                "place",
                "must not be empty; use the name of the data centre",
            ),
        ])?;
        self.validate_addresses()?;
        validate_peers(&self.peers, (&self.name, self.addresses.peers))?;
        validate_keys(&self.keys)?;
        validate_operators(&self.operators)?;
        self.limits.validate()?;
        first_failed_check(&[(self.share.targets >= 8, "share.targets", "use at least 8")])?;
        self.intervals.validate()
    }

    /// Addresses of `peers`, in the order of the file.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().map(|peer| peer.address)
    }

    /// Name of the peer with this address, if `peers` lists the address with a name.
    #[must_use]
    pub fn peer_name(&self, address: SocketAddr) -> Option<&str> {
        let peer = self.peers.iter().find(|peer| peer.address == address);
        peer?.name.as_deref()
    }

    fn validate_addresses(&self) -> Result<(), FieldError> {
        let addresses = self.addresses;
        first_failed_check(&[
            (
                addresses.callers != addresses.operators,
                "addresses.operators",
                "use an address that differs from `addresses.callers`",
            ),
            (
                addresses.peers != addresses.callers && addresses.peers != addresses.operators,
                "addresses.peers",
                "use an address that differs from `addresses.callers` and `addresses.operators`",
            ),
            (
                !addresses.peers.ip().is_unspecified(),
                "addresses.peers",
                "use the address at which other hosts reach this one, not the wildcard address",
            ),
        ])
    }

    /// Returns the settings that apply after a reload of a running entry.
    ///
    /// # Errors
    ///
    /// Returns the first field that has changed but needs a restart, or `keys` if the change is
    /// not a valid step of a key rotation.
    pub fn reload(&self, new: &Self) -> Result<Self, FieldError> {
        let restart_only = [
            ("name", self.name != new.name),
            ("host", self.host != new.host),
            ("region", self.region != new.region),
            ("place", self.data_centre != new.data_centre),
            ("distance_ms", self.distance_ms != new.distance_ms),
            ("addresses", self.addresses != new.addresses),
            ("peers", !self.peer_addresses().eq(new.peer_addresses())),
            ("platform", self.platform != new.platform),
            (
                "caller_identity",
                self.caller_identity != new.caller_identity,
            ),
            ("share", self.share != new.share),
            ("intervals", self.intervals != new.intervals),
            ("log", self.log != new.log),
        ];
        match restart_only.iter().find(|(_, has_changed)| *has_changed) {
            Some((field, _)) => Err(FieldError {
                field: (*field).to_owned(),
                fix: "restart the entry to change this field".to_owned(),
            }),
            None => validate_key_rotation(&self.keys, &new.keys).map(|()| new.clone()),
        }
    }
}

impl Limits {
    fn validate(&self) -> Result<(), FieldError> {
        let second = Duration::from_secs(1);
        first_failed_check(&[
            (
                self.connections >= 1,
                "limits.connections",
                "use at least 1",
            ),
            (self.requests >= 1, "limits.requests", "use at least 1"),
            (
                self.held_bodies_bytes >= 1 << 20,
                "limits.held_bodies_bytes",
                "use at least 1048576",
            ),
            (
                (1 << 10..=16 << 10).contains(&self.head_bytes),
                "limits.head_bytes",
                "use 1024 to 16384",
            ),
            (
                (8..=64).contains(&self.head_fields),
                "limits.head_fields",
                "use 8 to 64",
            ),
            (
                self.head_ms >= second,
                "limits.head_ms",
                "use at least 1000",
            ),
            (
                self.body_ms >= second,
                "limits.body_ms",
                "use at least 1000",
            ),
            (
                self.idle_ms >= second,
                "limits.idle_ms",
                "use at least 1000",
            ),
            (
                self.write_stall_ms >= second,
                "limits.write_stall_ms",
                "use at least 1000",
            ),
        ])
    }
}

impl Intervals {
    fn validate(&self) -> Result<(), FieldError> {
        let is_within = |value: Duration, min_ms: u64, max_ms: u64| {
            (Duration::from_millis(min_ms)..=Duration::from_millis(max_ms)).contains(&value)
        };
        first_failed_check(&[
            // Changes must be in force on every entry within 4 s.
            (
                is_within(self.poll_ms, 100, 3000),
                "intervals.poll_ms",
                "use 100 to 3000",
            ),
            // A target that answers no probe for 2 s is sent no new requests.
            (
                is_within(self.probe_ms, 50, 1000),
                "intervals.probe_ms",
                "use 50 to 1000",
            ),
            // Agents close a connection on which they receive nothing for 3 minutes.
            (
                is_within(self.idle_ping_ms, 500, 60_000),
                "intervals.idle_ping_ms",
                "use 500 to 60000",
            ),
            // A leaving host must receive no new requests after 5 s.
            (
                is_within(self.hosts_poll_ms, 100, 4000),
                "intervals.hosts_poll_ms",
                "use 100 to 4000",
            ),
            (
                is_within(self.lease_ms, 1000, 60_000),
                "intervals.lease_ms",
                "use 1000 to 60000",
            ),
            (
                is_within(self.balancer_notice_ms, 0, 60_000),
                "intervals.balancer_notice_ms",
                "use 0 to 60000",
            ),
        ])
    }
}
