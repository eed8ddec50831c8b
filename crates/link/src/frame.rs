//! The frame format of a stream: a four-byte big-endian length, then the message.

use {
    serde::{de::DeserializeOwned, Serialize},
    snafu::{ensure, ResultExt, Snafu},
};

/// Size limit of a message, in bytes. A snapshot chunk or the largest entry of the log, with a
/// configuration and the rules read from it, fits several times over.
pub const FRAME_LIMIT: usize = 32 * 1024 * 1024;
/// Levels to which a message may nest: several times those of the deepest one, and far fewer than a
/// thread's stack holds.
const NESTING_LIMIT: usize = 64;
/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why a frame can't be written or read.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// Encoding the message failed.
    #[snafu(display("the message can't be encoded: {source}"))]
    Encode {
        /// The error of the encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a valid message of this version.
    #[snafu(display("the message can't be decoded: {source}"))]
    Decode {
        /// The error of the decoder.
        source: rmp_serde::decode::Error,
    },
    /// The message exceeds [`FRAME_LIMIT`].
    #[snafu(display("a message of {length} bytes exceeds the limit of {FRAME_LIMIT} bytes"))]
    TooLong {
        /// Size of the message in bytes.
        length: usize,
    },
}

/// Appends a message to `buffer` as a frame.
pub(crate) fn write_frame<T: Serialize>(
    message: &T,
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    let body = rmp_serde::to_vec(message).context(EncodeSnafu)?;
    ensure!(body.len() <= FRAME_LIMIT, TooLongSnafu { length: body.len() });
    buffer.extend_from_slice(&(body.len() as u32).to_be_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Removes the first frame from `buffer` and decodes it. Returns `None` until the frame is
/// complete.
pub(crate) fn take_frame<T: DeserializeOwned>(
    buffer: &mut Vec<u8>,
) -> Result<Option<T>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    ensure!(length <= FRAME_LIMIT, TooLongSnafu { length });
    let end = LENGTH_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let mut body = rmp_serde::Deserializer::from_read_ref(&buffer[LENGTH_BYTES..end]);
    body.set_max_depth(NESTING_LIMIT);
    let message = T::deserialize(&mut body).context(DecodeSnafu)?;
    buffer.drain(..end);
    Ok(Some(message))
}

#[cfg(test)]
#[path = "../tests/unit/frame.rs"]
mod tests;
