//! Settings of an entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationMilliSecondsWithFrac;
use serde_with::serde_as;
use types::HostName;
use types::Place;

use crate::peer::Peer;
use crate::peer::validate_peers;
use crate::section::section;
use crate::sections::CallerIdentity;
use crate::sections::Daemon;
use crate::sections::Fault;
use crate::sections::KeySettings;
use crate::sections::Log;
use crate::sections::OperatorSettings;
use crate::sections::PlatformAddresses;
use crate::sections::first_fault;
use crate::sections::rotate_keys;
use crate::sections::validate_keys;
use crate::sections::validate_operators;

/// Settings of an entry.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Always `entry`.
    pub daemon: Daemon,
    /// Name, unique within the deployment.
    pub name: String,
    /// Host that it runs on, as the host list names it.
    pub host: HostName,
    /// Region of the place.
    pub region: String,
    /// Data centre.
    pub place: Place,
    /// One-way latency to other places.
    #[serde(default)]
    #[serde_as(as = "BTreeMap<_, DurationMilliSecondsWithFrac<f64>>")]
    pub distance_ms: BTreeMap<Place, Duration>,
    /// Addresses to listen on.
    pub addresses: Addresses,
    /// The other entries; this entry's own address is ignored.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Keys; the first one signs.
    pub keys: Vec<KeySettings>,
    /// Operators; without any, every command is refused.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// How callers are told apart.
    #[serde(default)]
    pub caller_identity: CallerIdentity,
    /// Limits of callers' connections.
    #[serde(default)]
    pub limits: Limits,
    /// Share of the targets that the entry uses.
    #[serde(default)]
    pub share: Share,
    /// Intervals.
    #[serde(default)]
    pub intervals: Intervals,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Addresses that an entry listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// TCP and UDP for other entries and agents.
    pub peers: SocketAddr,
}

section! {
    /// Limits of an entry.
    Limits {
        /// Callers' connections open at once.
        connections: usize = 4096,
        /// Callers' requests in flight at once.
        requests: usize = 4096,
        /// Bytes of bodies held at once, over all requests in flight.
        held_bodies_bytes: usize = 512 << 20,
        /// Largest head of a request.
        head_bytes: usize = 16 << 10,
        /// Most fields in a head.
        head_fields: usize = 64,
        /// Longest time in which a head arrives.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        head_ms: Duration = Duration::from_secs(10),
        /// Longest time in which a body arrives.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        body_ms: Duration = Duration::from_secs(30),
        /// Longest time without a request on a connection.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        idle_ms: Duration = Duration::from_secs(75),
        /// Longest time in which a caller takes no byte of its answer.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        write_stall_ms: Duration = Duration::from_secs(30),
    }
}

section! {
    /// Share of the targets that an entry uses.
    Share {
        /// Targets of each service.
        targets: usize = 64,
    }
}

section! {
    /// Intervals of an entry.
    Intervals {
        /// Between two reads of the revision in the table.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        poll_ms: Duration = Duration::from_secs(1),
        /// Between two probes of a target.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        probe_ms: Duration = Duration::from_millis(500),
        /// Silence after which an idle connection to an agent is pinged. A silent one that was
        /// not noticed costs the next request up to 2 s.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        idle_ping_ms: Duration = Duration::from_secs(5),
        /// Between two reads of the host list.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        hosts_poll_ms: Duration = Duration::from_secs(2),
        /// Duration of a planning lease.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lease_ms: Duration = Duration::from_secs(6),
        /// Time until the load balancer has noticed that `/healthz` fails.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        balancer_notice_ms: Duration = Duration::from_secs(5),
    }
}

impl EntrySettings {
    /// Checks every field on its own and against the others.
    ///
    /// # Errors
    ///
    /// The first field that cannot work, and the fix.
    pub fn validate(&self) -> Result<(), Fault> {
        first_fault(&[
            (
                self.daemon == Daemon::Entry,
                "daemon",
                "this file is for `chervilspool agent`",
            ),
            (!self.name.is_empty(), "name", "name the entry"),
            (!self.host.is_empty(), "host", "name the host"),
            (!self.place.is_empty(), "place", "name the data centre"),
        ])?;
        self.validate_addresses()?;
        validate_peers(&self.peers, (&self.name, self.addresses.peers))?;
        validate_keys(&self.keys)?;
        validate_operators(&self.operators)?;
        self.limits.validate()?;
        first_fault(&[(self.share.targets >= 8, "share.targets", "use at least 8")])?;
        self.intervals.validate()
    }

    /// Addresses of `peers`, in order.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().map(|peer| peer.address)
    }

    /// Name of the entry that other entries reach by an address, if the settings state it.
    #[must_use]
    pub fn peer_name(&self, address: SocketAddr) -> Option<&str> {
        let peer = self.peers.iter().find(|peer| peer.address == address);
        peer?.name.as_deref()
    }

    fn validate_addresses(&self) -> Result<(), Fault> {
        let addresses = self.addresses;
        first_fault(&[
            (
                addresses.callers != addresses.operators,
                "addresses.operators",
                "use another address than for callers",
            ),
            (
                addresses.peers != addresses.callers && addresses.peers != addresses.operators,
                "addresses.peers",
                "use another address than for callers and operators",
            ),
            (
                !addresses.peers.ip().is_unspecified(),
                "addresses.peers",
                "state the address that other hosts reach this one by",
            ),
        ])
    }

    /// These settings with everything taken over from `new` that needs no restart.
    ///
    /// # Errors
    ///
    /// The first field that differs and needs a restart.
    pub fn reloaded(&self, new: &Self) -> Result<Self, Fault> {
        let kept = [
            ("name", self.name != new.name),
            ("host", self.host != new.host),
            ("region", self.region != new.region),
            ("place", self.place != new.place),
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
        match kept.iter().find(|(_, differs)| *differs) {
            Some((field, _)) => Err(Fault {
                field: (*field).to_owned(),
                fix: "restart the entry to change this field".to_owned(),
            }),
            None => rotate_keys(&self.keys, &new.keys).map(|()| new.clone()),
        }
    }
}

impl Limits {
    fn validate(&self) -> Result<(), Fault> {
        let second = Duration::from_secs(1);
        first_fault(&[
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
    fn validate(&self) -> Result<(), Fault> {
        let within = |value: Duration, low_ms: u64, high_ms: u64| {
            (Duration::from_millis(low_ms)..=Duration::from_millis(high_ms)).contains(&value)
        };
        first_fault(&[
            // A change has to be in force everywhere within 4 s.
            (
                within(self.poll_ms, 100, 3000),
                "intervals.poll_ms",
                "use 100 to 3000",
            ),
            // A target that answers no probe for 2 s takes no new work.
            (
                within(self.probe_ms, 50, 1000),
                "intervals.probe_ms",
                "use 50 to 1000",
            ),
            // Agents close a connection after 3 minutes of silence.
            (
                within(self.idle_ping_ms, 500, 60_000),
                "intervals.idle_ping_ms",
                "use 500 to 60000",
            ),
            // A leaving host receives no new work after 5 s.
            (
                within(self.hosts_poll_ms, 100, 4000),
                "intervals.hosts_poll_ms",
                "use 100 to 4000",
            ),
            (
                within(self.lease_ms, 1000, 60_000),
                "intervals.lease_ms",
                "use 1000 to 60000",
            ),
            (
                within(self.balancer_notice_ms, 0, 60_000),
                "intervals.balancer_notice_ms",
                "use 0 to 60000",
            ),
        ])
    }
}
