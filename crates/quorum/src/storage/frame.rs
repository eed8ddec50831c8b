//! The frame format: length, checksum, payload. The checksum also covers the file number and the
//! frame's offset, so that a copy of a frame inside a payload never passes for a frame.

use super::error::{EncodeSnafu, RecordTooLargeSnafu, StorageError};

use {
    serde::Serialize,
    snafu::{OptionExt, ResultExt},
};

/// Size of the length and checksum that precede a payload, in bytes.
const FRAME_HEADER_BYTES: usize = 8;

/// The position of a frame.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FramePosition {
    /// The number in the file's name.
    pub(crate) file: u64,
    /// Offset of the frame in the file, in bytes.
    pub(crate) offset: u64,
}

/// Encodes a record as a frame that is valid at `position` only.
pub(crate) fn encode_frame<T: Serialize>(
    position: FramePosition,
    record: &T,
) -> Result<Vec<u8>, StorageError> {
    let payload = rmp_serde::to_vec(record).context(EncodeSnafu)?;
    let length =
        u32::try_from(payload.len()).ok().context(RecordTooLargeSnafu { bytes: payload.len() })?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&checksum(position, length, &payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Decodes the frame at `position`. Returns its payload and the offset after it, or `None` if the
/// frame is incomplete or damaged.
pub(crate) fn decode_frame(content: &[u8], position: FramePosition) -> Option<(&[u8], u64)> {
    let rest = content.get(usize::try_from(position.offset).ok()?..)?;
    let length = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?);
    let expected = u32::from_le_bytes(rest.get(4..FRAME_HEADER_BYTES)?.try_into().ok()?);
    let end = FRAME_HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let payload = rest.get(FRAME_HEADER_BYTES..end)?;
    if payload.is_empty() || checksum(position, length, payload) != expected {
        return None;
    }
    Some((payload, position.offset + end as u64))
}

/// Whether an intact frame starts anywhere after `position`. A batch is written only after the
/// previous one is synced, so an intact frame after a damaged one shows that the damaged one was
/// synced.
pub(crate) fn frame_follows(content: &[u8], position: FramePosition) -> bool {
    (position.offset + 1..content.len() as u64)
        .any(|offset| decode_frame(content, FramePosition { offset, ..position }).is_some())
}

fn checksum(position: FramePosition, length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&position.file.to_le_bytes());
    hasher.update(&position.offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
