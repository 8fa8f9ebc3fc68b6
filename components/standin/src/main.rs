//! Starts one stand-in.

fn main() {}
