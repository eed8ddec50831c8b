//! Bidirectional streams of typed messages between the processes of the system: length-prefixed
//! `rmp-serde` frames over TCP.
//!
//! The crate does not interpret the messages. A stream ends when its sent bytes are not acknowledged
//! in time or its receiver falls too far behind. Its owner then reconnects and sends its whole state
//! again. It may track single messages, to learn which of them the peer can't have read.

mod frame;
mod stream;
mod ticket;

pub use {
    frame::{FrameError, FRAME_LIMIT},
    stream::{accept, connect, LinkError, LinkReader, LinkSender},
    ticket::SendTicket,
};
