//! Bound on the memory of buffered bodies.

use cuminlead_direct::body_memory::{BodyMemory, NoBodyMemory};
use cuminlead_types::Bytes;

/// Guards against bodies that exceed the memory of the process together, and against memory that
/// stays in use after its requests have ended.
#[test]
fn bodies_stay_within_the_memory_together() {
    let memory = BodyMemory::new(Bytes(100));
    let mut first = memory.lease();
    let mut second = memory.lease();
    assert_eq!(first.extend_to(Bytes(40)), Ok(()));
    assert_eq!(second.extend_to(Bytes(60)), Ok(()));
    assert_eq!(first.extend_to(Bytes(41)), Err(NoBodyMemory));
    assert_eq!(first.extend_to(Bytes(30)), Ok(()), "a lease never shrinks");
    assert_eq!(memory.used(), Bytes(100));
    drop(second);
    assert_eq!(first.extend_to(Bytes(100)), Ok(()));
    assert_eq!(memory.lease().extend_to(Bytes(1)), Err(NoBodyMemory));
    drop(first);
    assert_eq!(memory.used(), Bytes(0));
}
