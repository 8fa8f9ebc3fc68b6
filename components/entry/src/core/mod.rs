//! Decisions of an entry, composed from the state machines of the other components.

pub mod links;
pub mod probes;
