//! How declarations travel: as the text that operators wrote, so that every process checks and
//! resolves the same bytes.

use {
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::RevisionNumber,
    serde::{Deserialize, Serialize},
};

/// One file of a folder of declarations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationFile {
    /// The path below the folder, with `/` between parts.
    pub path: String,
    /// The TOML text.
    pub text: String,
}

/// All files of an accepted revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationBundle {
    /// The revision. Zero is the empty folder that every cluster starts with.
    pub revision: RevisionNumber,
    /// The files, ordered by path.
    pub files: Vec<DeclarationFile>,
}

/// Asks any process for newer declarations than the caller has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationPull {
    /// The revision that the caller has in force.
    pub known: RevisionNumber,
}

/// Answers a [`DeclarationPull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationReply {
    /// The newer declarations, or `None` when the answering process has none.
    pub newer: Option<DeclarationBundle>,
}

impl RpcCall for DeclarationPull {
    const PATH: &'static str = "/internal/declarations";
    const FROM: &'static [ProcessRole] =
        &[ProcessRole::Agent, ProcessRole::Entry, ProcessRole::Control];
    type Reply = DeclarationReply;
}
