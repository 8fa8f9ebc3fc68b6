//! Free loopback ports.

use std::net::SocketAddr;
use std::net::TcpListener;

use eyre::WrapErr;

/// Hands out ports that were free a moment ago, each one once.
#[derive(Debug, Default)]
pub struct Ports {
    used: Vec<u16>,
}

impl Ports {
    /// Next address.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn take(&mut self) -> eyre::Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0").wrap_err("no free port")?;
            let address = listener.local_addr().wrap_err("no free port")?;
            if !self.used.contains(&address.port()) {
                self.used.push(address.port());
                return Ok(address);
            }
        }
    }
}
