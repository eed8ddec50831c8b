//! Threads that make blocking calls for the reducer.

use {
    crossbeam::channel::{unbounded, Receiver, Sender},
    std::{
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        thread,
    },
};

/// Stack size of a thread, which only sends and receives.
const STACK_BYTES: usize = 512 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// Runs jobs on a thread pool that grows with the number of concurrent jobs up to a limit. Further
/// jobs are queued.
pub(super) struct WorkerPool {
    name: &'static str,
    limit: usize,
    threads: usize,
    unfinished: Arc<AtomicUsize>,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl WorkerPool {
    pub fn new(name: &'static str, limit: usize) -> Self {
        let (sender, receiver) = unbounded();
        Self { name, limit, threads: 0, unfinished: Arc::default(), sender, receiver }
    }

    /// Runs a job, on a new thread if all threads are busy.
    pub fn submit(&mut self, job: impl FnOnce() + Send + 'static) {
        let unfinished = self.unfinished.fetch_add(1, Ordering::Relaxed) + 1;
        if unfinished > self.threads && self.threads < self.limit {
            self.grow();
        }
        let _ = self.sender.send(Box::new(job));
    }

    fn grow(&mut self) {
        let (receiver, unfinished) = (self.receiver.clone(), self.unfinished.clone());
        let run = move || {
            for job in receiver {
                job();
                unfinished.fetch_sub(1, Ordering::Relaxed);
            }
        };
        let builder = thread::Builder::new().name(self.name.into()).stack_size(STACK_BYTES);
        if builder.spawn(run).is_ok() {
            self.threads += 1;
        }
    }
}
