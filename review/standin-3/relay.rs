//! A relay before the link address of each control process, which cuts the group into two halves.
//!
//! A connection of a control process is told from that of another process by the sockets that the
//! process has open.

use std::{
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};

#[derive(Default)]
struct Network {
    /// The process of each control machine, by position.
    pids: Vec<(usize, u32)>,
    /// The positions on one side of the cut; empty while there is none.
    side: Vec<usize>,
    /// The open connections between control machines, with their ends.
    open: Vec<(usize, usize, TcpStream)>,
}

impl Network {
    fn is_cut(&self, from: usize, to: usize) -> bool {
        !self.side.is_empty() && self.side.contains(&from) != self.side.contains(&to)
    }
}

/// The links between the control processes.
#[derive(Clone, Default)]
pub struct Links {
    network: Arc<Mutex<Network>>,
}

impl Links {
    fn lock(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap_or_else(|lock| lock.into_inner())
    }

    /// Notes the process of a control machine.
    pub fn note_process(&self, position: usize, pid: u32) {
        let mut network = self.lock();
        network.pids.retain(|(known, _)| *known != position);
        network.pids.push((position, pid));
    }

    /// Cuts the machines at `side` from the other control machines, silently.
    pub fn cut(&self, side: &[usize]) {
        self.lock().side = side.to_vec();
    }

    /// Ends the cut. What was sent over it is lost, with its connections.
    pub fn heal(&self) {
        let mut network = self.lock();
        let open = std::mem::take(&mut network.open);
        for (from, to, stream) in open {
            if network.is_cut(from, to) {
                // A connection that has ended already needs no more.
                let _ = stream.shutdown(Shutdown::Both);
            } else {
                network.open.push((from, to, stream));
            }
        }
        network.side.clear();
    }

    /// Forwards the connections to a control machine from its address to the one that it binds.
    pub fn serve(&self, to: usize, address: SocketAddr, bound: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let links = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || links.forward(stream, to, bound));
            }
        });
        Ok(())
    }

    fn forward(&self, near: TcpStream, to: usize, bound: SocketAddr) -> Option<()> {
        let pids = self.lock().pids.clone();
        let source = near.peer_addr().ok()?;
        let from = owner_of(source, near.local_addr().ok()?, &pids);
        if let Some(from) = from {
            self.lock().open.push((from, to, near.try_clone().ok()?));
        }
        while from.is_some_and(|from| self.lock().is_cut(from, to)) {
            thread::sleep(Duration::from_millis(5));
        }
        let far = TcpStream::connect(bound).ok()?;
        near.set_nodelay(true).ok()?;
        far.set_nodelay(true).ok()?;
        let (links, back) = (self.clone(), (far.try_clone().ok()?, near.try_clone().ok()?));
        thread::spawn(move || links.copy(back.0, back.1, from, to));
        self.copy(near, far, from, to);
        Some(())
    }

    fn copy(&self, mut input: TcpStream, mut output: TcpStream, from: Option<usize>, to: usize) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(count) = input.read(&mut buffer) {
            let cut = from.is_some_and(|from| self.lock().is_cut(from, to));
            if count == 0 || (!cut && output.write_all(&buffer[..count]).is_err()) {
                break;
            }
        }
        // Either end may be gone already.
        let _ = input.shutdown(Shutdown::Both);
        let _ = output.shutdown(Shutdown::Both);
    }
}

/// Returns the control machine whose process has the socket of a connection.
fn owner_of(source: SocketAddr, target: SocketAddr, pids: &[(usize, u32)]) -> Option<usize> {
    let (local, remote) = (kernel_text(source)?, kernel_text(target)?);
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().find(|line| {
        let mut words = line.split_whitespace().skip(1);
        words.next() == Some(&local) && words.next() == Some(&remote)
    })?;
    let socket = format!("socket:[{}]", row.split_whitespace().nth(9)?);
    let owns = |pid: u32| {
        let files = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        files
            .map(|file| fs::read_link(file.path()))
            .any(|link| link.is_ok_and(|link| link.as_os_str().to_str() == Some(socket.as_str())))
    };
    pids.iter().find(|(_, pid)| owns(*pid)).map(|(position, _)| *position)
}

/// Returns an address as the kernel's table of connections has it.
fn kernel_text(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
