//! Thread pool for blocking calls to engines, services and the platform.
//!
//! The pool starts a thread when a job finds no idle one, up to a limit. A thread exits after
//! `IDLE_TIMEOUT` without jobs. Jobs beyond the limit wait in an unbounded queue.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

/// Time without jobs after which a thread exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Stack size of a thread. Jobs do not recurse, and a node has a budget of 32 MB for control.
const STACK_BYTES: usize = 256 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// Pool of threads for blocking calls.
#[derive(Clone, Debug)]
pub struct WorkerPool {
    name: String,
    job_sender: Sender<Job>,
    job_receiver: Receiver<Job>,
    counts: Arc<Counts>,
}

#[derive(Debug)]
struct Counts {
    threads: AtomicUsize,
    /// Jobs that are queued or running.
    jobs: AtomicUsize,
    threads_max: usize,
}

impl WorkerPool {
    /// Creates a pool of at most `threads_max` threads, each named `name`. No thread is started
    /// yet.
    pub fn new(name: &str, threads_max: usize) -> Self {
        let (job_sender, job_receiver) = unbounded();
        let counts = Arc::new(Counts {
            threads: AtomicUsize::new(0),
            jobs: AtomicUsize::new(0),
            threads_max,
        });
        Self {
            name: name.to_string(),
            job_sender,
            job_receiver,
            counts,
        }
    }

    /// Queues a job for a thread of the pool; does not block.
    pub fn execute(&self, job: impl FnOnce() + Send + 'static) {
        let jobs = self.counts.jobs.fetch_add(1, Ordering::SeqCst) + 1;
        // The pool owns both ends of the channel, so it is never disconnected.
        let _ = self.job_sender.send(Box::new(job));
        let threads = self.counts.threads.load(Ordering::SeqCst);
        if jobs > threads && threads < self.counts.threads_max {
            self.spawn_thread();
        }
    }

    fn spawn_thread(&self) {
        self.counts.threads.fetch_add(1, Ordering::SeqCst);
        let (job_receiver, counts) = (self.job_receiver.clone(), Arc::clone(&self.counts));
        let builder = thread::Builder::new()
            .name(self.name.clone())
            .stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || run_jobs(&job_receiver, &counts));
        if spawned.is_err() {
            self.counts.threads.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn run_jobs(job_receiver: &Receiver<Job>, counts: &Counts) {
    loop {
        while let Ok(job) = job_receiver.recv_timeout(IDLE_TIMEOUT) {
            job();
            counts.jobs.fetch_sub(1, Ordering::SeqCst);
        }
        counts.threads.fetch_sub(1, Ordering::SeqCst);
        // A job may have been queued after the time-out while this thread still counted as idle, so
        // that no other thread was started for it.
        if job_receiver.is_empty() {
            return;
        }
        counts.threads.fetch_add(1, Ordering::SeqCst);
    }
}
