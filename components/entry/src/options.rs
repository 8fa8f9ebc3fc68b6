//! Converts settings into options of the core.

use control::FollowerOptions;
use settings::EntrySettings;

use crate::core::CoreOptions;
use crate::core::links::LinkTimings;

/// Options of the core with defaults for what has no setting.
#[must_use]
pub fn core_options(settings: &EntrySettings) -> CoreOptions {
    let own_address = settings.addresses.peers;
    let mut routing = routing::Settings::new(settings.data_centre.clone());
    routing.distance_ms.clone_from(&settings.distance_ms);
    CoreOptions {
        name: settings.name.clone(),
        routing,
        follower: FollowerOptions {
            poll_ms: settings.intervals.poll_ms,
            ..FollowerOptions::default()
        },
        links: LinkTimings {
            idle_ms: settings.intervals.idle_ping_ms,
            ..LinkTimings::default()
        },
        share_targets: settings.share.targets,
        probe_ms: settings.intervals.probe_ms,
        hosts_poll_ms: settings.intervals.hosts_poll_ms,
        lease_ms: settings.intervals.lease_ms,
        address: own_address,
        peers: settings
            .peer_addresses()
            .filter(|peer| *peer != own_address)
            .collect(),
    }
}
