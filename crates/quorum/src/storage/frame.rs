//! Frames: length, checksum, payload. The checksum covers the file's number and the frame's
//! offset too, so that a copy of a frame within some payload is never taken for a frame.

use super::error::{EncodeSnafu, RecordTooLargeSnafu, StorageError};

use {
    serde::Serialize,
    snafu::{OptionExt, ResultExt},
};

/// Bytes before a payload.
const FRAME_HEADER: usize = 8;

/// The place of a frame.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FramePlace {
    /// The number in the file's name.
    pub(crate) file: u64,
    /// The offset of the frame in the file.
    pub(crate) offset: u64,
}

/// A record as a frame for a place.
pub(crate) fn encode_frame<T: Serialize>(
    place: FramePlace,
    record: &T,
) -> Result<Vec<u8>, StorageError> {
    let payload = rmp_serde::to_vec(record).context(EncodeSnafu)?;
    let length =
        u32::try_from(payload.len()).ok().context(RecordTooLargeSnafu { bytes: payload.len() })?;
    let mut frame = Vec::with_capacity(FRAME_HEADER + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&checksum(place, length, &payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// The payload of the frame at a place of a file with this content, and the offset after it.
pub(crate) fn decode_frame(content: &[u8], place: FramePlace) -> Option<(&[u8], u64)> {
    let rest = content.get(usize::try_from(place.offset).ok()?..)?;
    let length = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?);
    let expected = u32::from_le_bytes(rest.get(4..FRAME_HEADER)?.try_into().ok()?);
    let end = FRAME_HEADER.checked_add(usize::try_from(length).ok()?)?;
    let payload = rest.get(FRAME_HEADER..end)?;
    if payload.is_empty() || checksum(place, length, payload) != expected {
        return None;
    }
    Some((payload, place.offset + end as u64))
}

/// Whether an intact frame starts anywhere after a place. A batch is written only when the one
/// before is synced: an intact frame after a broken one shows that the broken one was synced.
pub(crate) fn frame_follows(content: &[u8], place: FramePlace) -> bool {
    (place.offset + 1..content.len() as u64)
        .any(|offset| decode_frame(content, FramePlace { offset, ..place }).is_some())
}

fn checksum(place: FramePlace, length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&place.file.to_le_bytes());
    hasher.update(&place.offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
