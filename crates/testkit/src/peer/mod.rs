//! Peers that misbehave on the wire, and a relay that gives loopback the latency of a network.

mod relay;

pub use relay::DelayRelay;

use {
    crate::StandInError,
    base::PeerAddress,
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc, Mutex,
        },
        thread::{self, JoinHandle},
    },
};

/// What a raw peer does with each connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawPeerMode {
    /// Reads part of the request, writes the bytes and closes the connection.
    Answer(Vec<u8>),
    /// Reads part of the request and closes the connection.
    Close,
    /// Keeps the connection open and sends nothing.
    Silent,
}

/// A server that writes raw bytes instead of HTTP. Dropping it closes all its connections.
pub struct RawPeer {
    address: PeerAddress,
    accepted: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RawPeer {
    /// Listens on a free loopback port and serves every connection in the given mode.
    pub fn start(mode: RawPeerMode) -> Result<Self, StandInError> {
        let (listener, address) = bind()?;
        let accepted = Arc::new(AtomicUsize::new(0));
        let open = Arc::new(Mutex::new(Vec::new()));
        let stopping = Arc::new(AtomicBool::new(false));
        let (count, kept, stop) = (accepted.clone(), open.clone(), stopping.clone());
        let thread = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                count.fetch_add(1, Ordering::SeqCst);
                serve(stream, &mode, &kept);
            }
        });
        Ok(Self { address, accepted, open, stopping, thread: Some(thread) })
    }

    /// Returns the address on which the peer listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for RawPeer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address.0);
        for stream in self.open.lock().expect("a stream holder never panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(mut stream: TcpStream, mode: &RawPeerMode, open: &Mutex<Vec<TcpStream>>) {
    let mut buffer = [0; 4096];
    match mode {
        RawPeerMode::Answer(bytes) => {
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(bytes);
        }
        RawPeerMode::Close => {
            let _ = stream.read(&mut buffer);
        }
        RawPeerMode::Silent => open.lock().expect("a stream holder never panics").push(stream),
    }
}

pub(crate) fn bind() -> Result<(TcpListener, PeerAddress), StandInError> {
    let address: PeerAddress = "127.0.0.1:0".parse().expect("the address is constant");
    let failed =
        |error: std::io::Error| StandInError::Listen { address, detail: error.to_string() };
    let listener = TcpListener::bind(address.0).map_err(failed)?;
    let bound = PeerAddress(listener.local_addr().map_err(failed)?);
    Ok((listener, bound))
}
