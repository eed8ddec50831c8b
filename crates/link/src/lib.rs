//! Streams of typed messages between the processes of the system: length-prefixed `rmp-serde`
//! frames over TCP, both ways on one connection.
//!
//! The crate does not know what the messages mean. A stream that can't be written for a while, or
//! whose receiver falls behind, is closed: its owner connects anew and says everything again.

mod frame;
mod stream;

pub use {
    frame::{FrameError, FRAME_LIMIT},
    stream::{accept, connect, LinkError, LinkReader, LinkSender},
};
