//! Bidirectional streams of typed messages between the processes of the system: length-prefixed
//! `rmp-serde` frames over TCP.
//!
//! The crate does not interpret the messages. A stream ends when its sent bytes are not acknowledged
//! in time or its receiver falls too far behind. Its owner then reconnects and sends its whole state
//! again.

mod frame;
mod stream;

pub use {
    frame::{FrameError, FRAME_LIMIT},
    stream::{accept, connect, LinkError, LinkReader, LinkSender},
};
