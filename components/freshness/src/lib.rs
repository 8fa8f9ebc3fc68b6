//! Whether a process has the newest version of what a store holds, and whom it asks next.
//!
//! A process that hears nothing of a change cannot tell that from a time without changes: its poll
//! may wait on a connection that delivers nothing any more, and its peers may be cut off or paused.
//! So a version alone is not enough. Each process also knows the age of its view, which is the time
//! since the store was last known to have nothing newer, and tells its peers both:
//!
//! - A peer with the same version and a younger view makes the own view younger. One process that
//!   checks the store often is enough for all that hear it.
//! - A view that is too old is checked, first by the process that comes first among those that hear
//!   each other, and a little later by the next one. A process that hears nobody checks by itself.
//! - A process that knows of a newer version asks the peer that has it and the store by turns, on
//!   new connections, until it has that version.
//!
//! Each process asks one question at a time. While the store does not answer, all processes
//! together ask it at a fixed rate. The crate does no I/O and reads no clock.

mod place;
mod view;

pub use crate::place::Place;
pub use crate::view::Source;
pub use crate::view::View;

/// Version of what the store holds; it never goes back.
pub type Version = u64;
