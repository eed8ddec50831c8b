//! A relay that counts bytes and connections.

use {
    base::PeerAddress,
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards connections to a target. Its threads run until the bench ends.
pub(crate) struct CountingRelay {
    address: PeerAddress,
    bytes: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
}

impl CountingRelay {
    /// Starts a relay to `target` on a free loopback port.
    pub(crate) fn start(target: PeerAddress) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = PeerAddress(listener.local_addr().expect("a bound port has an address"));
        let relay = Self { address, bytes: Arc::default(), connections: Arc::default() };
        let (bytes, connections) = (relay.bytes.clone(), relay.connections.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::Relaxed);
                let Ok(server) = TcpStream::connect(target.0) else { continue };
                let copies = (client.try_clone(), server.try_clone());
                let (Ok(client_copy), Ok(server_copy)) = copies else { continue };
                forward(client, server_copy, bytes.clone());
                forward(server, client_copy, bytes.clone());
            }
        });
        relay
    }

    /// Returns the address on which the relay listens.
    pub(crate) fn address(&self) -> PeerAddress {
        self.address
    }

    /// Returns the bytes and connections per second, measured over an interval.
    pub(crate) fn rates(&self, interval: Duration) -> (f64, f64) {
        let read =
            || (self.bytes.load(Ordering::Relaxed), self.connections.load(Ordering::Relaxed));
        let before = read();
        let started = Instant::now();
        thread::sleep(interval);
        let after = read();
        let elapsed = started.elapsed().as_secs_f64();
        ((after.0 - before.0) as f64 / elapsed, (after.1 - before.1) as f64 / elapsed)
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, bytes: Arc<AtomicU64>) {
    thread::spawn(move || {
        let mut chunk = [0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            bytes.fetch_add(count as u64, Ordering::Relaxed);
            if to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
