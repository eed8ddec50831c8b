//! The network address of a peer.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        net::{AddrParseError, SocketAddr},
        str::FromStr,
    },
};

/// An IP address and a port. Peers are never identified by host name, so that no resolver is
/// needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PeerAddress(pub SocketAddr);

impl fmt::Display for PeerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for PeerAddress {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
