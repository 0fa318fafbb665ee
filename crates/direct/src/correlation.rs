//! Correlation of responses with requests.
//!
//! A server may send a response a second time, late: where the response to the next request on the
//! connection is expected. Taken as that response, it would hand a caller the response or the KV
//! cache of another caller, or state of a running request that it was not run. HTTP/1 has nothing
//! that tells them apart, so the id of the request that servers repeat in their responses does.

/// Whether a response belongs to the request that was sent last on its connection.
///
/// A response without an id belongs to that request only if the connection has carried no other.
pub fn is_response_to(
    request_id: &str,
    response_id: Option<&str>,
    is_first_on_connection: bool,
) -> bool {
    match response_id {
        Some(id) => id == request_id,
        None => is_first_on_connection,
    }
}
