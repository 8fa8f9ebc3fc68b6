//! Weight store interface. The weight store limits the rate of model loads: an agent reserves a
//! load before it orders one, and the engine then fetches the weights itself.

use std::time::Duration;

use crate::StoreFuture;

/// Weight store service.
pub trait WeightStore {
    /// Requests permission to load a model version now. Returns `None` if it is granted, or else
    /// the time after which to ask again.
    fn reserve<'a>(&'a self, model: &'a str, version: &'a str)
    -> StoreFuture<'a, Option<Duration>>;
}
