//! The entry point of the `mangoctl` program.

fn main() {}
