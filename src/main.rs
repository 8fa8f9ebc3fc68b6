//! Command line of chervilspool.

fn main() {}
