//! A relay before one address. On demand, the connections that are open go silent for good, without
//! a reset, while new ones work.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

const POLL: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
pub struct Relay {
    /// Connections that were opened under an earlier number are silent.
    generation: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
}

impl Relay {
    pub fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let relay = Self::default();
        let listener = TcpListener::bind(from)?;
        let shared = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(to) else { continue };
                let _ = (stream.set_nodelay(true), target.set_nodelay(true));
                let generation = shared.generation.load(Ordering::SeqCst);
                let copies = (stream.try_clone(), target.try_clone());
                let (Ok(back), Ok(forth)) = copies else { continue };
                let (there, here) = (shared.clone(), shared.clone());
                thread::spawn(move || pump(stream, forth, &there, generation));
                thread::spawn(move || pump(target, back, &here, generation));
            }
        });
        Ok(relay)
    }

    /// Silences every open connection, and returns how many there are.
    pub fn silence(&self) -> u64 {
        self.generation.fetch_add(1, Ordering::SeqCst);
        self.open.load(Ordering::SeqCst) / 2
    }
}

/// Copies one direction. Drops what arrives once the connection is silent; its end is passed on only
/// before that.
fn pump(mut from: TcpStream, mut to: TcpStream, relay: &Relay, generation: u64) {
    let mut buffer = vec![0; 64 * 1024];
    if from.set_read_timeout(Some(POLL)).is_err() {
        return;
    }
    relay.open.fetch_add(1, Ordering::SeqCst);
    let is_silent = || relay.generation.load(Ordering::SeqCst) != generation;
    loop {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(_) if is_silent() => {}
            Ok(count) => {
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    relay.open.fetch_sub(1, Ordering::SeqCst);
    if !is_silent() {
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
