//! Stand-in for the platform: table, object store, weight store and host list over HTTP.
//!
//! All data is kept in memory. In addition to the paths of these services, `POST /faults` takes
//! [`Faults`], `POST /hosts` takes the current host list, and `GET /counters` returns [`Counters`].

mod faults;
mod handler;
mod hosts;

use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::io;
use http::ServerLimits;
use smol::LocalExecutor;
use smol::net::TcpListener;
use store::HostEntry;

pub use faults::Faults;
pub use faults::Service;
pub use handler::Counters;
use handler::PlatformHandler;

/// Options of the stand-in platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Minimum interval between model loads granted by the weight store.
    pub weight_interval_ms: Duration,
    /// Delay until a changed host list is visible.
    pub host_lag_ms: Duration,
    /// Initial host list.
    pub hosts: Vec<HostEntry>,
    /// Seed for randomly injected faults.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            weight_interval_ms: Duration::from_millis(200),
            host_lag_ms: Duration::from_secs(3),
            hosts: Vec::new(),
            seed: 1,
        }
    }
}

/// Binds the address and serves until the future is dropped.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn run(options: PlatformOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    let executor = Rc::new(LocalExecutor::new());
    let (_stop_sender, stop) = async_channel::bounded(1);
    let server = serve(listener, options, Rc::clone(&executor), stop);
    executor.run(server).await?;
    future::pending().await
}

/// Serves a bound listener until the stop channel is closed.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(
    listener: TcpListener,
    options: PlatformOptions,
    executor: Rc<LocalExecutor<'static>>,
    stop: Receiver<()>,
) -> io::Result<()> {
    let handler = Rc::new(PlatformHandler::new(options));
    http::serve(listener, ServerLimits::default(), handler, executor, stop).await
}
