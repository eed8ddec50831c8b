//! Ids of requests that are unique over all entries and all their lives.

use {
    base::{IncarnationNumber, ProcessName, RequestId},
    routing::RequestNumber,
};

/// The bytes of a process name that go into an id, so that the id keeps its bound.
const NAME_BYTES: usize = 64;

/// Makes ids out of the entry's name, its life and a number.
#[derive(Debug, Clone)]
pub struct RequestNames {
    prefix: String,
}

impl RequestNames {
    /// The ids of one life of one entry. Names are ASCII, so that they can be cut anywhere.
    pub fn new(name: &ProcessName, incarnation: IncarnationNumber) -> Self {
        let name = name.as_str();
        let name = &name[..name.len().min(NAME_BYTES)];
        Self { prefix: format!("{name}:{incarnation}:") }
    }

    /// The id of a request.
    pub fn id(&self, number: RequestNumber) -> RequestId {
        RequestId::new(&format!("{}{}", self.prefix, number.0))
            .expect("a cut name and two numbers always make an id")
    }
}
