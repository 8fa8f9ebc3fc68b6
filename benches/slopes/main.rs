//! Cost per message, target and lease, from which `docs/CAPACITY.md` is calculated: bytes and
//! processor time of messages, processor time and memory of an entry by its number of targets, and
//! table calls for leases.
//!
//! Prints one JSON line for each result. All code runs on one thread without sockets, so the
//! results exclude the cost of the network stack; `cargo bench --bench path` includes it.

mod heartbeat;
mod leases;
mod messages;

fn main() {
    messages::print();
    heartbeat::print();
    leases::print();
}
