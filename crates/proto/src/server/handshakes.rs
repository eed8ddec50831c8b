//! Ends the acceptance of connections before a listener closes.

use {
    socket2::{SockFilter, SockRef},
    std::{io, os::fd::AsFd},
};

const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Offset of the flags in a TCP header, in bytes.
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

/// Makes the system drop the packets that begin a connection to `listener`, and keep those that
/// complete one.
///
/// Closing a listener resets the connections that the system has established for it and nobody has
/// accepted. Their clients may have sent a request by then and can't tell whether it ran. Without
/// new handshakes, all of them can be accepted first. A client whose packet is dropped sends it
/// again after about a second and is refused by the closed port.
pub(super) fn drop_new_handshakes(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}

#[cfg(test)]
#[path = "../../tests/unit/handshakes.rs"]
mod tests;
