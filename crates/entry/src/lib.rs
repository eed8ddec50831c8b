//! The entry role: takes callers' requests and routes them.
