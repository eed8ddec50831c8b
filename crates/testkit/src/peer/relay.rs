//! A relay that delays the bytes that it forwards.

use {
    super::bind,
    crate::StandInError,
    base::PeerAddress,
    crossbeam::channel::{self, Receiver, Sender},
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc,
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const CHUNK: usize = 64 * 1024;

/// Forwards bytes between its clients and a target, and delays each byte by the one-way delay. The
/// first bytes of a connection are delayed by one more round trip, the cost of connection setup at
/// that distance. A dropped relay accepts no more connections; open ones last until their ends
/// close them.
pub struct DelayRelay {
    address: PeerAddress,
    opened: Arc<AtomicUsize>,
    silent_below: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DelayRelay {
    /// Listens on a free loopback port.
    pub fn start(target: PeerAddress, one_way: Duration) -> Result<Self, StandInError> {
        let (listener, address) = bind()?;
        let opened = Arc::new(AtomicUsize::new(0));
        let silent_below = Arc::new(AtomicUsize::new(0));
        let stopping = Arc::new(AtomicBool::new(false));
        let (count, mark, stop) = (opened.clone(), silent_below.clone(), stopping.clone());
        let thread = thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let number = count.fetch_add(1, Ordering::SeqCst);
                let silence = SilenceMark { number, silent_below: mark.clone() };
                relay(client, target, one_way, &silence);
            }
        });
        Ok(Self { address, opened, silent_below, stopping, thread: Some(thread) })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Drops all further bytes on the connections that are open now, without closing them. New
    /// connections work.
    pub fn silence_open(&self) {
        self.silent_below.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

impl Drop for DelayRelay {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address.0);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[derive(Clone)]
struct SilenceMark {
    number: usize,
    silent_below: Arc<AtomicUsize>,
}

impl SilenceMark {
    fn is_silent(&self) -> bool {
        self.number < self.silent_below.load(Ordering::SeqCst)
    }
}

fn relay(client: TcpStream, target: PeerAddress, one_way: Duration, silence: &SilenceMark) {
    let Ok(server) = TcpStream::connect(target.0) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let established = Instant::now() + one_way * 2;
    let ends = client.try_clone().and_then(|client| Ok((client, server.try_clone()?)));
    let Ok((client_in, server_in)) = ends else { return };
    forward(client_in, server, established, one_way, silence.clone());
    forward(server_in, client, established, one_way, silence.clone());
}

fn forward(
    from: TcpStream,
    to: TcpStream,
    established: Instant,
    one_way: Duration,
    silence: SilenceMark,
) {
    let (sender, receiver) = channel::unbounded();
    thread::spawn(move || read_all(from, &sender, established, one_way));
    thread::spawn(move || write_all(to, &receiver, &silence));
}

fn read_all(
    mut from: TcpStream,
    sender: &Sender<(Instant, Vec<u8>)>,
    established: Instant,
    one_way: Duration,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut buffer) {
        let due = Instant::now().max(established) + one_way;
        if count == 0 || sender.send((due, buffer[..count].to_vec())).is_err() {
            return;
        }
    }
}

fn write_all(mut to: TcpStream, receiver: &Receiver<(Instant, Vec<u8>)>, silence: &SilenceMark) {
    for (due, bytes) in receiver {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if silence.is_silent() {
            continue;
        }
        if to.write_all(&bytes).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
