//! The one thread that owns all control state of a process.
//!
//! Traffic threads send events and never touch control state, so the order of events is the order
//! of decisions and no lock is needed. Considered and not taken: locks around shared maps, which
//! make the order of decisions depend on the scheduler.

use std::io;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use cuminlead_types::{Now, TimeUs};

use crate::clock::Clock;

/// Longest sleep of a control thread without events.
const IDLE_MAX: Duration = Duration::from_millis(500);

/// State owned by a control thread.
pub trait Controller: Send + 'static {
    /// Event sent by other threads.
    type Event: Send + 'static;

    /// Decides on an event.
    fn handle(&mut self, now: Now, event: Self::Event);

    /// Decides on the passing of time.
    fn tick(&mut self, now: Now);

    /// Time at which `tick` is needed at the latest.
    fn next_deadline(&self) -> Option<TimeUs>;

    /// Whether the thread may end.
    fn is_done(&self) -> bool;
}

/// Starts a control thread that runs until its controller is done or all senders are gone.
pub fn spawn_control<C: Controller>(
    name: &str,
    clock: Clock,
    mut controller: C,
    events: Receiver<C::Event>,
) -> io::Result<JoinHandle<C>> {
    Builder::new().name(name.to_string()).spawn(move || {
        while !controller.is_done() {
            match events.recv_deadline(wake_at(&clock, &controller)) {
                Ok(event) => controller.handle(clock.now(), event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if controller
                .next_deadline()
                .is_some_and(|deadline| deadline <= clock.mono())
            {
                controller.tick(clock.now());
            }
        }
        controller
    })
}

fn wake_at<C: Controller>(clock: &Clock, controller: &C) -> Instant {
    let latest = Instant::now() + IDLE_MAX;
    match controller.next_deadline() {
        Some(deadline) => clock.instant(deadline).min(latest),
        None => latest,
    }
}
