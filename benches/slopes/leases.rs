//! Rate at which entries read lease rows, by the number of entries and services.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use control::Head;
use control::LeaseRow;
use control::keys;
use entry::core::Action;
use entry::core::CoreOptions;
use entry::core::EntryCore;
use entry::core::Event;
use serde_json::json;
use store::Rows;
use store::TableRequest;
use types::Profile;
use types::Service;
use types::ServiceKind;

use crate::heartbeat::options;
use crate::heartbeat::put;
use crate::heartbeat::versioned;

/// Virtual time of one simulation.
const SIMULATED_MS: Duration = Duration::from_mins(3);
/// Interval at which the holder renews a lease.
pub const RENEWAL_INTERVAL_MS: Duration = Duration::from_secs(2);
/// Incarnation that holds all leases, and is none of the simulated entries.
const LEASE_HOLDER: u64 = u64::MAX;

pub fn print() {
    for (entries, services) in [(3, 2), (38, 37), (380, 37)] {
        let addresses: Vec<SocketAddr> = (0..entries).map(address).collect();
        // Simulates at most about 38 evenly spaced entries. Entries do not affect each other while
        // the holder renews the leases.
        let step = usize::from(entries / 38).max(1);
        let sample: Vec<usize> = (0..addresses.len()).step_by(step).collect();
        let reads: u32 = sample
            .iter()
            .map(|at| lease_reads(&addresses, *at, services))
            .sum();
        let seconds = SIMULATED_MS.as_secs_f64();
        let reads_per_s =
            f64::from(reads) / seconds / f64::from(u32::try_from(sample.len()).unwrap_or(1));
        println!(
            "{}",
            json!({"slope": "lease reads", "entries": entries, "services": services,
                "reads_per_s_of_an_entry": reads_per_s,
                "reads_per_s_of_all": reads_per_s * f64::from(entries)})
        );
    }
}

fn address(at: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + at).into()
}

/// Number of lease rows that one entry reads while another process holds and renews all leases.
fn lease_reads(addresses: &[SocketAddr], at: usize, services: u16) -> u32 {
    let mut rows = table(services);
    let start = Instant::now();
    let mut now = start;
    let mut renewals = 0;
    let mut reads = 0;
    let seed = u64::try_from(at).unwrap_or(0) + 1;
    let mut core = EntryCore::new(options_of(addresses, at), seed, now);
    while now < start + SIMULATED_MS {
        if now >= start + RENEWAL_INTERVAL_MS * renewals {
            renewals += 1;
            renew_leases(&mut rows, services, u64::from(renewals));
        }
        let mut events = VecDeque::from([Event::Tick]);
        while let Some(event) = events.pop_front() {
            for action in core.handle(now, event) {
                if let Action::Table { operation, request } = action {
                    if let TableRequest::Read(keys) = &request {
                        let leases = keys.iter().filter(|key| key.starts_with("lease/"));
                        reads += u32::try_from(leases.count()).unwrap_or(0);
                    }
                    let result = Ok(rows.apply(&request));
                    events.push_back(Event::TableDone { operation, result });
                }
            }
        }
        now = core.next_wake().max(now + Duration::from_millis(1));
    }
    reads
}

fn options_of(addresses: &[SocketAddr], at: usize) -> CoreOptions {
    let peers = addresses.iter().filter(|peer| **peer != addresses[at]);
    CoreOptions {
        address: addresses[at],
        peers: peers.copied().collect(),
        ..options()
    }
}

fn table(services: u16) -> Rows {
    let mut rows = Rows::default();
    let profile = Profile {
        name: "desk".to_owned(),
        ..Profile::default()
    };
    put(&mut rows, keys::profile("desk"), &versioned(profile));
    for index in 0..services {
        let service = Service {
            name: service_name(index),
            kind: ServiceKind::Model,
            profile: "desk".to_owned(),
        };
        put(
            &mut rows,
            keys::service(&service_name(index)),
            &versioned(service),
        );
    }
    put(&mut rows, keys::HEAD.to_owned(), &Head { revision: 1 });
    rows
}

fn renew_leases(rows: &mut Rows, services: u16, renewal: u64) {
    let scopes = (0..services).map(service_name).chain(["sweep".to_owned()]);
    for scope in scopes {
        write_foreign_lease(rows, &scope, renewal);
    }
}

/// Writes a lease row as another process that holds the lease does.
pub fn write_foreign_lease(rows: &mut Rows, scope: &str, renewal: u64) {
    let row = LeaseRow {
        holder: LEASE_HOLDER,
        fencing: 1,
        renewal,
    };
    put(rows, keys::lease(scope), &row);
}

fn service_name(index: u16) -> String {
    format!("mesa-{index:02}")
}
