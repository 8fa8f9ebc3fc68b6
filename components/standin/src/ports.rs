//! Free loopback ports for daemons with a configured listen address.
//!
//! A port chosen by the kernel is from the ephemeral range, which outgoing connections use too.
//! Before the daemon listens, another connection may take the port, and a client that keeps
//! retrying may even connect to itself. The ports allocated here are below that range.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const FIRST_PORT: u32 = 20_000;
/// Ends the range below 32,768, where the kernel's ephemeral range begins.
const PORT_COUNT: u32 = 12_000;
/// Distance between the first ports of processes with consecutive ids, so that concurrent tests
/// rarely try the same port.
const PROCESS_STRIDE: u32 = 97;

static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);

/// An address that is free for TCP and UDP. Each call returns a different one.
///
/// # Panics
///
/// All ports of the range are in use.
#[must_use]
pub fn free_address() -> SocketAddr {
    for _ in 0..PORT_COUNT {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
        let process_offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
        let port = FIRST_PORT + process_offset.wrapping_add(index) % PORT_COUNT;
        let port = u16::try_from(port).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("none of the {PORT_COUNT} ports from {FIRST_PORT} is free on 127.0.0.1");
}
