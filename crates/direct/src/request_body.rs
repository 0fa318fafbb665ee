//! Reads the bodies of callers' requests.
//!
//! A body is buffered until its request ends, because a retry needs all of it. A request whose body
//! does not fit into the budget is refused before it is sent to a server. Weighed: reading bodies
//! more slowly when memory is scarce, which holds callers without telling them when to return.

use cuminlead_direct_core::connection_budget::NoRoom;
use cuminlead_types::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::connections::BodyLease;

/// First buffer of a body whose length is not stated.
const FIRST_BUFFER_BYTES: u64 = 16 * 1024;

/// Why the body of a caller's request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    Malformed,
    TooLarge,
    TimedOut,
    NoMemory,
}

/// Reads a body into memory of the lease.
pub(crate) async fn read_body(
    mut body: Incoming,
    max: Bytes,
    lease: &BodyLease,
) -> Result<bytes::Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(bytes::Bytes::new());
    }
    let mut read = Vec::new();
    if let Some(size) = body.size_hint().exact() {
        lease
            .resize(Bytes(size))
            .map_err(|NoRoom| BodyError::NoMemory)?;
        read.reserve_exact(usize::try_from(size).unwrap_or(0));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Malformed)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = Bytes(read.len() as u64 + data.len() as u64);
        if size > max {
            return Err(BodyError::TooLarge);
        }
        lease.record_progress(Bytes(data.len() as u64));
        if size.0 > read.capacity() as u64 {
            let capacity = size.0.next_power_of_two().max(FIRST_BUFFER_BYTES);
            lease
                .resize(Bytes(capacity))
                .map_err(|NoRoom| BodyError::NoMemory)?;
            let added = usize::try_from(capacity).unwrap_or(usize::MAX) - read.len();
            read.reserve_exact(added);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.into())
}
