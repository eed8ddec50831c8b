//! Request ids that are unique across all entries and all their incarnations.

use {
    base::{IncarnationNumber, ProcessName, RequestId},
    routing::RequestNumber,
};

/// Maximum number of bytes of the process name in an id, so that the id stays within its length
/// limit.
const MAX_NAME_BYTES: usize = 64;

/// Creates request ids from the entry's name, its incarnation and a number.
#[derive(Debug, Clone)]
pub struct RequestIdSource {
    prefix: String,
}

impl RequestIdSource {
    /// Creates the id source of one incarnation of an entry. Names are ASCII, so that they can be
    /// truncated at any byte.
    pub fn new(name: &ProcessName, incarnation: IncarnationNumber) -> Self {
        let name = name.as_str();
        let name = &name[..name.len().min(MAX_NAME_BYTES)];
        Self { prefix: format!("{name}:{incarnation}:") }
    }

    /// Returns the id of a request.
    pub fn id(&self, number: RequestNumber) -> RequestId {
        RequestId::new(&format!("{}{}", self.prefix, number.0))
            .expect("a truncated name and two numbers form a valid id")
    }
}
