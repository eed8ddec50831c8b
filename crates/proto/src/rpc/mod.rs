//! Calls between the system's processes: typed requests, replies and errors over HTTP.

mod client;
mod identity;
mod resolver;

pub use {
    client::{ConnectionUse, RpcClient, RpcError, FRAME_CONTENT_TYPE},
    identity::ProcessIdentity,
    resolver::numeric_client,
};

use {
    crate::envelope::ProcessRole,
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    std::fmt,
};

/// A message that expects a reply.
pub trait RpcCall: Serialize + DeserializeOwned {
    /// The path on the internal port of the receiving process.
    const PATH: &'static str;
    /// The roles that may send this call.
    const FROM: &'static [ProcessRole];
    /// The type of the reply.
    type Reply: Serialize + DeserializeOwned;
}

/// Why a process rejected a message before its reducer received it. Proves that the call was not
/// executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RpcRefusal {
    /// The frame or body is malformed.
    Malformed,
    /// The sender speaks another version of the protocol.
    OtherVersion,
    /// The sender belongs to another cluster.
    OtherCluster,
    /// The sender's role may not send this message.
    WrongRole,
    /// The path accepts no messages.
    NoSuchPath,
    /// The message is too large.
    TooLarge,
    /// The queue of pending messages is full.
    Overloaded,
    /// The process is shutting down.
    ShuttingDown,
}

impl fmt::Display for RpcRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Malformed => "malformed",
            Self::OtherVersion => "other-version",
            Self::OtherCluster => "other-cluster",
            Self::WrongRole => "wrong-role",
            Self::NoSuchPath => "no-such-path",
            Self::TooLarge => "too-large",
            Self::Overloaded => "overloaded",
            Self::ShuttingDown => "shutting-down",
        })
    }
}
