//! A thread pool that starts its threads on demand.

use {
    crossbeam::channel::{self, Receiver, Sender},
    std::{
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc, Mutex,
        },
        thread::{self, JoinHandle},
    },
};

/// Runs jobs of one kind on at most `limit` threads. Further jobs wait in a queue, in order.
pub(super) struct JobPool<J> {
    name: &'static str,
    limit: usize,
    sender: Sender<J>,
    receiver: Receiver<J>,
    unfinished: Arc<AtomicUsize>,
    work: Arc<dyn Fn(J) + Send + Sync>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl<J: Send + 'static> JobPool<J> {
    /// Creates a pool without threads.
    pub(super) fn new(
        name: &'static str,
        limit: usize,
        work: impl Fn(J) + Send + Sync + 'static,
    ) -> Self {
        let (sender, receiver) = channel::unbounded();
        Self {
            name,
            limit,
            sender,
            receiver,
            unfinished: Arc::default(),
            work: Arc::new(work),
            threads: Mutex::default(),
        }
    }

    /// Queues a job, and starts a thread for it when all are busy and their number is below the
    /// limit.
    pub(super) fn submit(&self, job: J) {
        let unfinished = self.unfinished.fetch_add(1, Ordering::SeqCst) + 1;
        let mut threads =
            self.threads.lock().expect("no thread panics while it holds the thread list");
        if threads.len() < unfinished.min(self.limit) {
            if let Ok(thread) = self.spawn() {
                threads.push(thread);
            }
        }
        let _ = self.sender.send(job);
    }

    /// Finishes the queued jobs, then ends the threads.
    pub(super) fn shut_down(self) {
        drop(self.sender);
        drop(self.receiver);
        for thread in
            self.threads.into_inner().expect("no thread panics while it holds the thread list")
        {
            let _ = thread.join();
        }
    }

    fn spawn(&self) -> std::io::Result<JoinHandle<()>> {
        let receiver = self.receiver.clone();
        let unfinished = self.unfinished.clone();
        let work = self.work.clone();
        thread::Builder::new().name(self.name.into()).spawn(move || {
            for job in receiver {
                work(job);
                unfinished.fetch_sub(1, Ordering::SeqCst);
            }
        })
    }
}
