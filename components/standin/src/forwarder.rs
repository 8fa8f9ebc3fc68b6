//! TCP and UDP forwarder that can go silent, for tests of dead connections.
