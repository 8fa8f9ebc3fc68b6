//! Selection of the route and the service of a request.

use std::rc::Rc;

use types::ServiceName;

use crate::deployment::Configuration;
use crate::deployment::Route;

/// The route of a host with the longest prefix that matches the path.
#[must_use]
pub fn find<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Rc<Route>> {
    let matching = configuration
        .routes
        .iter()
        .filter(|route| route.host == host && path.starts_with(&route.path_prefix));
    matching.max_by_key(|route| route.path_prefix.len())
}

/// The service of a request; `draw` is a random number that selects by the weights of the split.
#[must_use]
pub fn service(route: &Route, draw: u64) -> Option<&ServiceName> {
    let total: u64 = route
        .split
        .iter()
        .map(|split| u64::from(split.weight))
        .sum();
    if total == 0 {
        return route.split.first().map(|split| &split.service);
    }
    let mut left = draw % total;
    for split in &route.split {
        let weight = u64::from(split.weight);
        if left < weight {
            return Some(&split.service);
        }
        left -= weight;
    }
    None
}
