//! Threads for blocking calls to engines, services and the platform.
//!
//! A thread is started when a job finds no idle one, up to a limit, and ends after a time without
//! jobs. Jobs beyond the limit wait in a queue.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Stack of a worker; calls do not recurse, and a node has 32 MB for control.
const STACK_BYTES: usize = 256 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// Pool of threads for blocking calls.
#[derive(Clone, Debug)]
pub struct WorkerPool {
    name: String,
    jobs: Sender<Job>,
    waiting: Receiver<Job>,
    counts: Arc<Counts>,
}

#[derive(Debug)]
struct Counts {
    threads: AtomicUsize,
    /// Jobs that are queued or run.
    jobs: AtomicUsize,
    threads_max: usize,
}

impl WorkerPool {
    /// Pool of at most `threads_max` threads.
    pub fn new(name: &str, threads_max: usize) -> Self {
        let (jobs, waiting) = unbounded();
        let counts = Arc::new(Counts {
            threads: AtomicUsize::new(0),
            jobs: AtomicUsize::new(0),
            threads_max,
        });
        Self {
            name: name.to_string(),
            jobs,
            waiting,
            counts,
        }
    }

    /// Runs a job on a thread of the pool.
    pub fn execute(&self, job: impl FnOnce() + Send + 'static) {
        let jobs = self.counts.jobs.fetch_add(1, Ordering::SeqCst) + 1;
        // The pool holds both ends of the channel, so it is never disconnected.
        let _ = self.jobs.send(Box::new(job));
        let threads = self.counts.threads.load(Ordering::SeqCst);
        if jobs > threads && threads < self.counts.threads_max {
            self.spawn_thread();
        }
    }

    fn spawn_thread(&self) {
        self.counts.threads.fetch_add(1, Ordering::SeqCst);
        let (waiting, counts) = (self.waiting.clone(), Arc::clone(&self.counts));
        let builder = thread::Builder::new()
            .name(self.name.clone())
            .stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || run_jobs(&waiting, &counts));
        if spawned.is_err() {
            self.counts.threads.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn run_jobs(waiting: &Receiver<Job>, counts: &Counts) {
    loop {
        while let Ok(job) = waiting.recv_timeout(IDLE_TIMEOUT) {
            job();
            counts.jobs.fetch_sub(1, Ordering::SeqCst);
        }
        counts.threads.fetch_sub(1, Ordering::SeqCst);
        // A job may have been queued while this thread still counted as idle.
        if waiting.is_empty() {
            return;
        }
        counts.threads.fetch_add(1, Ordering::SeqCst);
    }
}
