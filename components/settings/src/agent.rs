//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use types::HostName;
use types::Place;
use types::ServiceKind;
use types::ServiceName;
use types::TargetName;

use crate::section::section;
use crate::sections::Daemon;
use crate::sections::Fault;
use crate::sections::KeySettings;
use crate::sections::Log;
use crate::sections::PlatformAddresses;
use crate::sections::first_fault;
use crate::sections::rotate_keys;
use crate::sections::validate_keys;

/// Settings of an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Always `agent`.
    pub daemon: Daemon,
    /// Target beside the agent.
    pub target: TargetSettings,
    /// Host that both run on, as the host list names it.
    pub host: HostName,
    /// Region of the place.
    pub region: String,
    /// Data centre.
    pub place: Place,
    /// Address to listen on for entries, TCP and UDP.
    pub listen: SocketAddr,
    /// Address that entries reach the agent by, if it differs from `listen`. It is written to
    /// the table.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Keys; the first one signs.
    pub keys: Vec<KeySettings>,
    /// Requests at the target at once; further ones wait in the agent.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Between two reads of the order in the table while no entries announce orders.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_order_poll_ms")]
    pub order_poll_ms: Duration,
    /// The same while at least two entries announce orders.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_order_backup_poll_ms")]
    pub order_backup_poll_ms: Duration,
    /// Wait after the start until orders of an earlier run cannot be in flight any more.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_order_settle_ms")]
    pub order_settle_ms: Duration,
    /// Stopping.
    #[serde(default)]
    pub drain: Drain,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// The target beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Name, unique within the deployment.
    pub name: TargetName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Engine (`model`) or plain service (`plain`).
    pub kind: ServiceKind,
    /// HTTP address of the engine or plain service.
    pub address: SocketAddr,
    /// The engine refuses an order with an old fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
}

section! {
    /// Stopping of an agent.
    Drain {
        /// Wait between the report that the target is leaving and the end of the listener, so that
        /// entries stop sending before connections are refused.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        notice_ms: Duration = Duration::from_secs(2),
    }
}

fn default_concurrency() -> u32 {
    64
}

fn default_order_poll_ms() -> Duration {
    Duration::from_secs(2)
}

fn default_order_backup_poll_ms() -> Duration {
    Duration::from_secs(15)
}

/// Longer than the timeout of an order at the engine.
fn default_order_settle_ms() -> Duration {
    Duration::from_secs(10)
}

impl AgentSettings {
    /// Checks every field on its own and against the others.
    ///
    /// # Errors
    ///
    /// The first field that cannot work, and the fix.
    pub fn validate(&self) -> Result<(), Fault> {
        let target = &self.target;
        first_fault(&[
            (
                self.daemon == Daemon::Agent,
                "daemon",
                "this file is for `chervilspool entry`",
            ),
            (
                types::profile::is_name(&target.name),
                "target.name",
                "use 1 to 63 of a-z, 0-9 and -",
            ),
            (
                types::profile::is_name(&target.service),
                "target.service",
                "use 1 to 63 of a-z, 0-9 and -",
            ),
            (
                target.kind == ServiceKind::Model || !target.honours_fencing,
                "target.honours_fencing",
                "remove it; plain services get no orders",
            ),
            (
                target.address != self.listen,
                "target.address",
                "use the address of the target, not of the agent",
            ),
            (!self.host.is_empty(), "host", "name the host"),
            (!self.place.is_empty(), "place", "name the data centre"),
            (
                !self.listen.ip().is_unspecified(),
                "listen",
                "state the address that entries reach this host by",
            ),
            (self.concurrency >= 1, "concurrency", "use at least 1"),
            (
                (100..=4000).contains(&self.order_poll_ms.as_millis()),
                "order_poll_ms",
                "use 100 to 4000",
            ),
            (
                (100..=60_000).contains(&self.order_backup_poll_ms.as_millis()),
                "order_backup_poll_ms",
                "use 100 to 60000",
            ),
            (
                self.order_settle_ms <= Duration::from_mins(2),
                "order_settle_ms",
                "use at most 120000",
            ),
            (
                self.drain.notice_ms <= Duration::from_mins(1),
                "drain.notice_ms",
                "use at most 60000",
            ),
        ])?;
        validate_keys(&self.keys)
    }

    /// These settings with everything taken over from `new` that needs no restart.
    ///
    /// # Errors
    ///
    /// The first field that differs and needs a restart.
    pub fn reloaded(&self, new: &Self) -> Result<Self, Fault> {
        let kept = [
            ("target", self.target != new.target),
            ("host", self.host != new.host),
            ("region", self.region != new.region),
            ("place", self.place != new.place),
            ("listen", self.listen != new.listen),
            ("advertise", self.advertise != new.advertise),
            ("platform", self.platform != new.platform),
            ("order_poll_ms", self.order_poll_ms != new.order_poll_ms),
            (
                "order_backup_poll_ms",
                self.order_backup_poll_ms != new.order_backup_poll_ms,
            ),
            (
                "order_settle_ms",
                self.order_settle_ms != new.order_settle_ms,
            ),
            ("drain", self.drain != new.drain),
        ];
        match kept.iter().find(|(_, differs)| *differs) {
            Some((field, _)) => Err(Fault {
                field: (*field).to_owned(),
                fix: "restart the agent to change this field".to_owned(),
            }),
            None => rotate_keys(&self.keys, &new.keys).map(|()| new.clone()),
        }
    }
}
