//! Thread that owns all control state of a process.
//!
//! Traffic threads send events and never access control state, so decisions are made in the order
//! of the events and no lock is needed. Locks around shared maps were rejected as an alternative,
//! since they make the order of decisions depend on the scheduler.

use std::io;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use cuminlead_types::{Now, TimeUs};

use crate::clock::Clock;

/// Longest time that a control thread waits for an event before it checks its deadline again.
const IDLE_SLEEP_MAX: Duration = Duration::from_millis(500);

/// State owned by a control thread.
pub trait Controller: Send + 'static {
    /// Event sent by other threads.
    type Event: Send + 'static;

    /// Handles an event.
    fn handle(&mut self, now: Now, event: Self::Event);

    /// Handles timers that are due.
    fn tick(&mut self, now: Now);

    /// Latest time for the next call of `tick`; `None` without timers.
    fn next_deadline(&self) -> Option<TimeUs>;

    /// Whether the thread may exit; checked before each wait for an event.
    fn is_drained(&self) -> bool;
}

/// Starts a control thread that runs until its controller is done or all senders are dropped. The
/// thread returns the controller.
pub fn spawn_control<C: Controller>(
    name: &str,
    clock: Clock,
    mut controller: C,
    events: Receiver<C::Event>,
) -> io::Result<JoinHandle<C>> {
    Builder::new().name(name.to_string()).spawn(move || {
        while !controller.is_drained() {
            match events.recv_deadline(wake_time(&clock, &controller)) {
                Ok(event) => controller.handle(clock.now(), event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if controller
                .next_deadline()
                .is_some_and(|deadline| deadline <= clock.monotonic())
            {
                controller.tick(clock.now());
            }
        }
        controller
    })
}

fn wake_time<C: Controller>(clock: &Clock, controller: &C) -> Instant {
    let latest = Instant::now() + IDLE_SLEEP_MAX;
    match controller.next_deadline() {
        Some(deadline) => clock.instant(deadline).min(latest),
        None => latest,
    }
}
