//! The start of every file: what it is, which format it has and whose it is.

use {
    super::{
        error::{
            DamagedSnafu, ForeignFileSnafu, NewerFormatSnafu, OtherClusterSnafu, OtherReplicaSnafu,
            StorageError,
        },
        frame::{decode_frame, encode_frame, FramePlace},
    },
    base::{ClusterName, ReplicaId},
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    snafu::{ensure, OptionExt},
    std::path::Path,
};

/// The first bytes of every file.
const MAGIC: &[u8; 8] = b"MANGOLOG";
/// The format that this release writes, and the newest that it reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Bytes before the header's frame.
const PREFIX: usize = MAGIC.len() + 4;

/// Whose files they are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FileOwner {
    pub(crate) cluster: ClusterName,
    pub(crate) replica: ReplicaId,
}

/// A file's content after its header.
#[derive(Debug)]
pub(crate) struct HeaderEnd<T> {
    /// What the header says besides the owner.
    pub(crate) details: T,
    /// The offset after it.
    pub(crate) offset: u64,
}

/// The bytes with which file `number` starts.
pub(crate) fn encode_header<T: Serialize>(
    owner: &FileOwner,
    number: u64,
    details: &T,
) -> Result<Vec<u8>, StorageError> {
    let mut bytes = Vec::from(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    let place = FramePlace { file: number, offset: PREFIX as u64 };
    bytes.extend(encode_frame(place, &(owner, details))?);
    Ok(bytes)
}

/// Reads the start of file `number` and checks that it is this replica's.
pub(crate) fn decode_header<T: DeserializeOwned>(
    path: &Path,
    content: &[u8],
    owner: &FileOwner,
    number: u64,
) -> Result<HeaderEnd<T>, StorageError> {
    let known = &content[..content.len().min(MAGIC.len())];
    ensure!(MAGIC.starts_with(known), ForeignFileSnafu { path });
    let damaged = DamagedSnafu { path, offset: 0_u64 };
    let version = content.get(MAGIC.len()..PREFIX).context(damaged)?;
    let found = u32::from_le_bytes(version.try_into().unwrap_or_default());
    ensure!(found <= FORMAT_VERSION, NewerFormatSnafu { path, found, supported: FORMAT_VERSION });
    let place = FramePlace { file: number, offset: PREFIX as u64 };
    let (payload, offset) = decode_frame(content, place).context(damaged)?;
    let (found, details): (FileOwner, T) =
        rmp_serde::from_slice(payload).ok().context(DamagedSnafu { path, offset: place.offset })?;
    check_owner(path, found, owner)?;
    Ok(HeaderEnd { details, offset })
}

fn check_owner(path: &Path, found: FileOwner, expected: &FileOwner) -> Result<(), StorageError> {
    ensure!(
        found.cluster == expected.cluster,
        OtherClusterSnafu {
            path,
            found: found.cluster.clone(),
            expected: expected.cluster.clone()
        }
    );
    ensure!(
        found.replica == expected.replica,
        OtherReplicaSnafu { path, found: found.replica, expected: expected.replica }
    );
    Ok(())
}
