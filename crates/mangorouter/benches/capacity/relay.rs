//! A relay that counts the bytes and connections that pass.

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

const CHUNK: usize = 16 * 1024;

/// Passes connections on to a target. Its threads end with the bench.
pub(crate) struct CountingRelay {
    address: PeerAddress,
    bytes: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
}

impl CountingRelay {
    /// Listens on a free port.
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
                pass(client, server_copy, bytes.clone());
                pass(server, client_copy, bytes.clone());
            }
        });
        relay
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> PeerAddress {
        self.address
    }

    /// Bytes and connections a second over a stretch of time.
    pub(crate) fn rates(&self, stretch: Duration) -> (f64, f64) {
        let read =
            || (self.bytes.load(Ordering::Relaxed), self.connections.load(Ordering::Relaxed));
        let before = read();
        let started = Instant::now();
        thread::sleep(stretch);
        let after = read();
        let elapsed = started.elapsed().as_secs_f64();
        ((after.0 - before.0) as f64 / elapsed, (after.1 - before.1) as f64 / elapsed)
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, bytes: Arc<AtomicU64>) {
    thread::spawn(move || {
        let mut chunk = [0; CHUNK];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            bytes.fetch_add(count as u64, Ordering::Relaxed);
            if to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
