//! Memory for the bodies of callers' requests.
//!
//! A body is buffered until its request ends, because a retry needs all of it. Its size has a limit,
//! and so has the number of connections, but their product exceeds the memory of a host by far, and
//! a process that exceeds its memory is killed with all its requests. A request whose body does not
//! fit is refused before it is sent to a server. Weighed: reading bodies more slowly when memory is
//! scarce, which holds callers without telling them when to return.

use std::cell::Cell;
use std::rc::Rc;

use cuminlead_types::Bytes;

/// Bound on the size of all buffered bodies.
#[derive(Debug)]
pub struct BodyMemory {
    max: Bytes,
    used_bytes: Cell<u64>,
}

/// No memory is left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoBodyMemory;

impl BodyMemory {
    /// Memory of the given size, all of it free.
    pub fn new(max: Bytes) -> Rc<Self> {
        Rc::new(Self {
            max,
            used_bytes: Cell::new(0),
        })
    }

    /// Lease of no memory yet.
    pub fn lease(self: &Rc<Self>) -> BodyLease {
        BodyLease {
            memory: Rc::clone(self),
            leased: Bytes(0),
        }
    }

    /// Memory in use.
    pub fn used(&self) -> Bytes {
        Bytes(self.used_bytes.get())
    }
}

/// Memory that a body uses; free again when the lease is dropped.
#[derive(Debug)]
pub struct BodyLease {
    memory: Rc<BodyMemory>,
    leased: Bytes,
}

impl BodyLease {
    /// Extends the lease to the given size; it never shrinks.
    pub fn extend_to(&mut self, size: Bytes) -> Result<(), NoBodyMemory> {
        let added_bytes = size.0.saturating_sub(self.leased.0);
        let used_bytes = self.memory.used_bytes.get().saturating_add(added_bytes);
        if used_bytes > self.memory.max.0 {
            return Err(NoBodyMemory);
        }
        self.memory.used_bytes.set(used_bytes);
        self.leased = Bytes(self.leased.0 + added_bytes);
        Ok(())
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        let used_bytes = self.memory.used_bytes.get();
        self.memory.used_bytes.set(used_bytes - self.leased.0);
    }
}
