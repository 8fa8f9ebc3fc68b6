//! Slopes that `docs/CAPACITY.md` is worked out from: bytes and processor time of messages, and
//! processor time and memory of an entry by its number of targets, and table calls for leases.
//!
//! Prints one JSON line a figure. Everything runs on one thread without sockets, so the figures
//! are those of our code alone; `cargo bench --bench path` has the sockets in it.

mod heartbeat;
mod leases;
mod messages;

fn main() {
    messages::print();
    heartbeat::print();
    leases::print();
}
