//! The messages that carry declarations. They carry the operators' original text, so that every
//! process checks and resolves the same bytes.

use {
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::RevisionNumber,
    serde::{Deserialize, Serialize},
};

/// One file of a declaration folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationFile {
    /// The path relative to the folder, with `/` as the separator.
    pub path: String,
    /// The content in TOML.
    pub text: String,
}

/// All files of an accepted revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationBundle {
    /// The revision. Zero is the empty folder, with which every cluster starts.
    pub revision: RevisionNumber,
    /// The files, sorted by path.
    pub files: Vec<DeclarationFile>,
}

/// Asks a process for declarations that are newer than those the caller has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationPull {
    /// The revision that the caller has in force.
    pub known: RevisionNumber,
}

/// The reply to a [`DeclarationPull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationReply {
    /// The newer declarations; `None` if the replying process has none.
    pub newer: Option<DeclarationBundle>,
}

impl RpcCall for DeclarationPull {
    const PATH: &'static str = "/internal/declarations";
    const FROM: &'static [ProcessRole] =
        &[ProcessRole::Agent, ProcessRole::Entry, ProcessRole::Control];
    type Reply = DeclarationReply;
}
