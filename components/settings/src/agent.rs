//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use types::DataCentre;
use types::HostName;
use types::ServiceKind;
use types::ServiceName;
use types::TargetName;

use crate::section::section;
use crate::sections::Daemon;
use crate::sections::FieldError;
use crate::sections::KeySettings;
use crate::sections::Log;
use crate::sections::PlatformAddresses;
use crate::sections::first_failed_check;
use crate::sections::validate_key_rotation;
use crate::sections::validate_keys;

/// Settings of an agent, which runs beside one target.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Always [`Daemon::Agent`] in valid settings.
    pub daemon: Daemon,
    /// Target that the agent serves.
    pub target: TargetSettings,
    /// Host of the agent and the target, by its name in the host list.
    pub host: HostName,
    /// Region of the data centre.
    pub region: String,
    /// Data centre of the host.
    #[serde(rename = "place")]
    pub data_centre: DataCentre,
    /// Address on which the agent listens for entries, over TCP and UDP.
    pub listen: SocketAddr,
    /// Address at which entries reach the agent, if it differs from `listen`. The agent writes it
    /// to the table.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of the services of the platform.
    pub platform: PlatformAddresses,
    /// Shared keys of the daemons; the first one signs.
    pub keys: Vec<KeySettings>,
    /// Maximum number of concurrent requests to the target; the agent queues further ones.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Interval between reads of the target's order in the table while no entries announce orders.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_order_poll_ms")]
    pub order_poll_ms: Duration,
    /// Interval between these reads while at least two entries announce orders.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_order_backup_poll_ms")]
    pub order_backup_poll_ms: Duration,
    /// Time after which an order that was sent to the engine can no longer take effect, for example
    /// one from before a restart of the agent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_order_settle_ms")]
    pub order_settle_ms: Duration,
    /// Shutdown of the agent.
    #[serde(default)]
    pub drain: Drain,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// The target beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Name of the target, unique within the deployment.
    pub name: TargetName,
    /// Service to which the target belongs.
    pub service: ServiceName,
    /// Engine (`model`) or plain service (`plain`).
    pub kind: ServiceKind,
    /// HTTP address of the engine or plain service.
    pub address: SocketAddr,
    /// Whether the engine refuses orders with an outdated fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
}

section! {
    /// Shutdown of an agent.
    Drain {
        /// Time between the report that the target is leaving and the closing of the listener, so
        /// that entries stop sending before connections are refused.
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

/// Longer than the 5 s within which the engine has to accept an order.
fn default_order_settle_ms() -> Duration {
    Duration::from_secs(10)
}

impl AgentSettings {
    /// Checks the value of each field, and the fields against each other.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and how to correct it.
    pub fn validate(&self) -> Result<(), FieldError> {
        let target = &self.target;
        first_failed_check(&[
            (
                self.daemon == Daemon::Agent,
                "daemon",
                "this file has the settings of an entry; those of an agent are required",
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
                "remove it; plain services receive no orders",
            ),
            (
                target.address != self.listen,
                "target.address",
                "use the address of the target; this is the agent's `listen` address",
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
            (
                !self.listen.ip().is_unspecified(),
                "listen",
                "use the address at which entries reach this host, not the wildcard address",
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

    /// Returns the settings that apply after a reload of a running agent.
    ///
    /// # Errors
    ///
    /// Returns the first field that has changed but needs a restart, or `keys` if the change is
    /// not a valid step of a key rotation.
    pub fn reload(&self, new: &Self) -> Result<Self, FieldError> {
        let restart_only = [
            ("target", self.target != new.target),
            ("host", self.host != new.host),
            ("region", self.region != new.region),
            ("place", self.data_centre != new.data_centre),
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
        match restart_only.iter().find(|(_, has_changed)| *has_changed) {
            Some((field, _)) => Err(FieldError {
                field: (*field).to_owned(),
                fix: "restart the agent to change this field".to_owned(),
            }),
            None => validate_key_rotation(&self.keys, &new.keys).map(|()| new.clone()),
        }
    }
}
