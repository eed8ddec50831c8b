//! The header of every file: magic bytes, format version and owner.

use {
    super::{
        error::{
            DamagedSnafu, ForeignFileSnafu, NewerFormatSnafu, OtherClusterSnafu, OtherReplicaSnafu,
            StorageError,
        },
        frame::{decode_frame, encode_frame, FramePosition},
    },
    base::{ClusterName, ReplicaId},
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    snafu::{ensure, OptionExt},
    std::path::Path,
};

/// Magic bytes at the start of every file.
const MAGIC: &[u8; 8] = b"MANGOLOG";
/// The format version that this release writes, and the newest that it reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Bytes before the header's frame: the magic bytes and the format version.
const PREFIX_BYTES: usize = MAGIC.len() + 4;

/// The replica that a file belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FileOwner {
    pub(crate) cluster: ClusterName,
    pub(crate) replica: ReplicaId,
}

/// A decoded file header.
#[derive(Debug)]
pub(crate) struct DecodedHeader<T> {
    /// Header content besides the owner.
    pub(crate) details: T,
    /// Offset of the first byte after the header.
    pub(crate) offset: u64,
}

/// Encodes the header of file `number`.
pub(crate) fn encode_header<T: Serialize>(
    owner: &FileOwner,
    number: u64,
    details: &T,
) -> Result<Vec<u8>, StorageError> {
    let mut bytes = Vec::from(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    let position = FramePosition { file: number, offset: PREFIX_BYTES as u64 };
    bytes.extend(encode_frame(position, &(owner, details))?);
    Ok(bytes)
}

/// Decodes the header of file `number` and checks that the file belongs to `owner`.
pub(crate) fn decode_header<T: DeserializeOwned>(
    path: &Path,
    content: &[u8],
    owner: &FileOwner,
    number: u64,
) -> Result<DecodedHeader<T>, StorageError> {
    let known = &content[..content.len().min(MAGIC.len())];
    ensure!(MAGIC.starts_with(known), ForeignFileSnafu { path });
    let damaged = DamagedSnafu { path, offset: 0_u64 };
    let version = content.get(MAGIC.len()..PREFIX_BYTES).context(damaged)?;
    let found = u32::from_le_bytes(version.try_into().unwrap_or_default());
    ensure!(found <= FORMAT_VERSION, NewerFormatSnafu { path, found, supported: FORMAT_VERSION });
    let position = FramePosition { file: number, offset: PREFIX_BYTES as u64 };
    let (payload, offset) = decode_frame(content, position).context(damaged)?;
    let (found, details): (FileOwner, T) = rmp_serde::from_slice(payload)
        .ok()
        .context(DamagedSnafu { path, offset: position.offset })?;
    check_owner(path, found, owner)?;
    Ok(DecodedHeader { details, offset })
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
