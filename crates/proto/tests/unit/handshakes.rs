use {
    super::drop_new_handshakes,
    std::{
        io::ErrorKind,
        net::{TcpListener, TcpStream},
        time::Duration,
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Guards against connections that are established after the last accept, and reset by the close.
#[test]
fn no_connection_is_established_once_new_handshakes_are_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let early = TcpStream::connect(address).unwrap();
    drop_new_handshakes(&listener).unwrap();

    let late = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(|error| error.kind());
    assert_eq!(late.unwrap_err(), ErrorKind::TimedOut);
    let (_, peer) = listener.accept().unwrap();
    assert_eq!(peer, early.local_addr().unwrap());
}
