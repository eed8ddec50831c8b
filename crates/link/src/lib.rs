//! Bidirectional streams of typed messages between the processes of the system: length-prefixed
//! `rmp-serde` frames over TCP.
//!
//! The crate does not interpret the messages. It closes a stream whose sent bytes are not acknowledged
//! in time or whose receiver falls behind; the owner then reconnects and sends its whole state again.

mod frame;
mod stream;

pub use {
    frame::{FrameError, FRAME_LIMIT},
    stream::{accept, connect, LinkError, LinkReader, LinkSender},
};
