//! The entry point of the `mangorouter` program.

fn main() {}
