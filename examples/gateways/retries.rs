//! Counts retries as the services do, and compares them with what these allow.

use std::collections::BTreeSet;
use std::time::Instant;

use standin::staged_engine::Arrival;
use standin::staged_engine::Stage;
use testbed::gateways::RETRY_RATIO;
use testbed::gateways::RETRY_SLACK;
use testbed::gateways::RETRY_WINDOW_MS;

/// A service, by the stage of its engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    Plain,
    Model,
}

impl Service {
    /// Service to which the routes send requests with this path prefix.
    pub fn of_prefix(prefix: &str) -> Self {
        match prefix {
            "/draft/" | "/tag/" => Self::Model,
            _ => Self::Plain,
        }
    }

    fn of_stage(stage: Stage) -> Self {
        match stage {
            Stage::Plain => Self::Plain,
            Stage::Prefill | Stage::Decode => Self::Model,
        }
    }
}

/// Describes the first window in which a service got more retries than it allows. `sent` are the
/// times at which callers sent its requests.
pub fn violation(service: Service, arrivals: &[Arrival], sent: &[Instant]) -> Option<String> {
    let mut arrived = BTreeSet::new();
    let retries: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| Service::of_stage(arrival.stage) == service)
        .filter(|arrival| !arrived.insert(&arrival.id))
        .map(|arrival| arrival.at)
        .collect();
    retries.iter().find_map(|from| {
        let count = |times: &[Instant], from: Instant| {
            let end = from + RETRY_WINDOW_MS;
            times.iter().filter(|at| (from..end).contains(*at)).count()
        };
        // Services take the requests of this window or of one that began up to a length earlier.
        let earlier = [RETRY_WINDOW_MS, RETRY_WINDOW_MS / 2];
        let earlier = earlier.map(|by| from.checked_sub(by).map_or(0, |from| count(sent, from)));
        let requests = count(sent, *from).max(earlier[0]).max(earlier[1]);
        let allowed = RETRY_RATIO * to_f64(requests) + f64::from(RETRY_SLACK);
        let made = count(&retries, *from);
        (to_f64(made) > allowed).then(|| {
            format!("{service:?}: {made} retries for {requests} requests, {allowed:.0} allowed")
        })
    })
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
