//! The weight store. It limits the rate of loads; engines fetch the weights themselves, and an
//! agent asks for a slot before it orders a load.

use std::time::Duration;

use crate::StoreFuture;

/// The weight store service.
pub trait WeightStore {
    /// Asks to load a model version now. `None` grants it; otherwise the time to wait.
    fn reserve<'a>(&'a self, model: &'a str, version: &'a str)
    -> StoreFuture<'a, Option<Duration>>;
}
