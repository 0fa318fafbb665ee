//! Whether the head of a backend server's response is valid, and what ends its body.
//!
//! HTTP libraries accept heads that can't be forwarded: they discard the body of a 204, return 101
//! as a final response, and let any three digits from 100 on pass as a status.

use std::time::Duration;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use strum::{EnumIter, IntoStaticStr};

/// Largest status that HTTP defines a meaning for.
const STATUS_MAX: u16 = 599;

/// Body of a request up to which a server has received all of it by the time that its response
/// arrives: the initial congestion window of 10 segments.
pub const SHORT_REQUEST_BYTES: usize = 14_000;
/// Time within which a reset follows the regular end of one direction of a connection. The reset is
/// the reaction to data that were under way, so it follows after a round trip, which takes 40 ms
/// between regions.
pub const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Bytes that the system holds for a server and has not sent. Without this bound it holds some MB
/// for a server that does not read, and a request that the server never read looks written.
pub const UNSENT_MAX_BYTES: u32 = 16 * 1024;

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length, its last chunk, or the head of a response that has no body.
    Framing,
    /// The end of the connection.
    Connection,
}

/// Why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum InvalidResponse {
    /// The head can't be parsed; a status below 100 or without three digits is among the causes.
    Head,
    /// The status is no final one: it is informational, a change of the protocol, or above 599.
    Status,
    /// A response that can't have a body announces one.
    UnexpectedBody,
    /// An informational head states the id of another request.
    ForeignInformational,
    /// More informational heads than any server has reason to send.
    InformationalHeads,
    /// The connection ended without an error before the request was written in full, and the
    /// response has no length.
    UnfinishedRequest,
    /// The response has no length, and its connection ended with an error.
    ConnectionError,
}

/// Checks the head of a final response to a request with `method`.
pub fn check(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<BodyEnd, InvalidResponse> {
    if status.is_informational() || status.as_u16() > STATUS_MAX {
        return Err(InvalidResponse::Status);
    }
    let is_chunked = headers.contains_key(TRANSFER_ENCODING);
    let length = headers.get(CONTENT_LENGTH);
    let has_length = length.is_some_and(|length| length.as_bytes() != b"0");
    let is_unexpected = match status {
        StatusCode::NO_CONTENT => is_chunked || has_length,
        // A 304 may state the length of the body that a 200 would have had.
        StatusCode::NOT_MODIFIED => is_chunked,
        _ => false,
    };
    if is_unexpected {
        return Err(InvalidResponse::UnexpectedBody);
    }
    let has_no_body = *method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    // Both HTTP clients read a body with another final encoding than `chunked` until the connection
    // ends.
    let final_encoding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let ends_chunked = final_encoding.is_some_and(|value| {
        let value = value.as_bytes().trim_ascii_end();
        let start = value.len().saturating_sub(b"chunked".len());
        value[start..].eq_ignore_ascii_case(b"chunked")
    });
    let is_framed = if is_chunked {
        ends_chunked
    } else {
        length.is_some()
    };
    Ok(if has_no_body || is_framed {
        BodyEnd::Framing
    } else {
        BodyEnd::Connection
    })
}
