//! Requesters: each request on a channel of its own.

use std::collections::VecDeque;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{message, read_body, read_chunk, read_head, write};

/// What a requester saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Status; 0 without a head.
    pub status: u16,
    pub is_signed: bool,
    pub body: Vec<u8>,
    /// Whether the answer was complete by its framing.
    pub is_complete: bool,
    pub took: Duration,
    /// Whether it was sent on a channel that had carried another request before.
    pub is_kept_channel: bool,
}

/// Request of a requester.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
    pub deadline_ms: u64,
}

/// Host of all routes.
pub const HOST: &str = "rounds.example";

/// Longest time for which a requester reuses an idle channel: four fifths of `idle_timeout_ms`.
const IDLE_MAX: Duration = Duration::from_secs(12);

/// Channels that requesters keep open between their requests; the longest idle one is used first.
#[derive(Debug, Default)]
pub struct KeptChannels(Mutex<VecDeque<(TcpStream, Instant)>>);

impl KeptChannels {
    fn take(&self) -> Option<TcpStream> {
        let mut channels = self.0.lock().expect("channels");
        channels.retain(|(_, idle_since)| idle_since.elapsed() < IDLE_MAX);
        channels.pop_front().map(|(stream, _)| stream)
    }

    fn put(&self, stream: TcpStream) {
        let mut channels = self.0.lock().expect("channels");
        channels.push_back((stream, Instant::now()));
    }
}

/// Sends one request on a kept channel, or on a new one, and reads its answer until the time budget
/// is over. The channel is kept if the answer is complete.
pub fn send(entry: SocketAddr, request: &Request<'_>, kept: &KeptChannels) -> Seen {
    let started_at = Instant::now();
    let mut seen = Seen::default();
    let _ = exchange(entry, request, started_at, kept, &mut seen);
    seen.took = started_at.elapsed();
    seen
}

fn exchange(
    entry: SocketAddr,
    request: &Request<'_>,
    started_at: Instant,
    kept: &KeptChannels,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let budget = Duration::from_millis(request.deadline_ms);
    let stream = match kept.take() {
        Some(stream) => {
            seen.is_kept_channel = true;
            stream
        }
        None => TcpStream::connect_timeout(&entry, Duration::from_secs(1))?,
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(budget))?;
    let headers = format!(
        "Host: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{}",
        request.id, request.deadline_ms, request.headers
    );
    let line = format!("{} {} HTTP/1.1", request.method, request.path);
    write(&stream, &message(&line, &headers, request.body))?;
    let mut reader = BufReader::new(&stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    seen.status = head.status();
    seen.is_signed = head.get("response-signature").is_some();
    if head.get("transfer-encoding") == Some("chunked") {
        while started_at.elapsed() < budget {
            match read_chunk(&mut reader)? {
                Some(chunk) => seen.body.extend_from_slice(&chunk),
                None => {
                    seen.is_complete = true;
                    break;
                }
            }
        }
    } else {
        seen.body = read_body(&mut reader, &head)?;
        seen.is_complete = true;
    }
    if seen.is_complete && head.get("connection").is_none() {
        kept.put(stream);
    }
    Ok(())
}
