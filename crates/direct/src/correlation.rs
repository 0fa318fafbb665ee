//! Correlation of responses with requests.
//!
//! A server may send a response a second time, late: where the response to the next request on the
//! connection is expected. Taken as that response, it would hand a caller the response or the KV
//! cache of another caller, or state of a running request that it was not run. HTTP/1 has nothing
//! that tells them apart, so the id of the request that servers repeat in their responses does.
//!
//! Two sends of one request bear the same id. Only a connection that has not carried the request
//! before tells their responses apart, so the second send to a server opens one ([`SentTo`]).
//! Closing every connection after a rejection would do as well, but rejections are frequent under
//! overload, and second sends to the same server are rare.
//!
//! Requests of this process itself, such as reservations, have no id. Each uses a connection of its
//! own, which is closed afterwards, so that no second copy of its response arrives anywhere else.

use std::cell::RefCell;

use cuminlead_direct_core::ServerKey;

/// Servers to which one request was sent.
#[derive(Debug, Default)]
pub struct SentTo(RefCell<Vec<ServerKey>>);

impl SentTo {
    /// Records a send; returns whether it is the first one to the server.
    pub fn is_first(&self, server: ServerKey) -> bool {
        let mut servers = self.0.borrow_mut();
        let is_first = !servers.contains(&server);
        if is_first {
            servers.push(server);
        }
        is_first
    }
}

/// Whether a response belongs to the request that was sent last on its connection; `request_id` is
/// `None` for a request of this process.
///
/// Without an id in the request or in the response, only a connection that has carried no other
/// request proves that it does.
pub fn is_response_to(
    request_id: Option<&str>,
    response_id: Option<&str>,
    is_first_on_connection: bool,
) -> bool {
    match (request_id, response_id) {
        (Some(request_id), Some(response_id)) => response_id == request_id,
        (None, _) | (_, None) => is_first_on_connection,
    }
}
