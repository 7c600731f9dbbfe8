//! The operator command line.

fn main() {}
