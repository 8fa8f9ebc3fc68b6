//! Free loopback ports for daemons that are told where to listen.
//!
//! A port that the kernel chooses lies in the range from which it also takes ports for outgoing
//! connections. Until the daemon listens, another connection may take the port, and a client that
//! tries again and again may even connect to itself. The ports here lie below that range.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const FIRST_PORT: u32 = 20_000;
/// The kernel's own range begins at 32,768.
const PORTS: u32 = 12_000;
/// Distance between the first ports of processes with neighbouring ids.
const PROCESS_STEP: u32 = 97;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// An address that no one listens on, for TCP and UDP; another one with each call.
///
/// # Panics
///
/// All ports are in use.
#[must_use]
pub fn free_address() -> SocketAddr {
    for _ in 0..PORTS {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(PROCESS_STEP);
        let port = FIRST_PORT + offset.wrapping_add(taken) % PORTS;
        let port = u16::try_from(port).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port from {FIRST_PORT} on is free on 127.0.0.1; end what uses them");
}
