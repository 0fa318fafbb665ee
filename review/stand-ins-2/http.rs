//! Minimal HTTP/1.1 reading and writing for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first_line.is_empty() {
            message.first_line = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_string(), value.trim().to_string());
            message.headers.push(header);
        }
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    Complete,
    BrokenOff,
}

/// Reads the body of a message into it.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> BodyEnd {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        return read_chunks(reader, &mut message.body);
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut left = length.unwrap_or(0);
    let mut buffer = [0; 16 * 1024];
    while left > 0 {
        let size = left.min(buffer.len());
        match reader.read(&mut buffer[..size]) {
            Ok(0) | Err(_) => return BodyEnd::BrokenOff,
            Ok(count) => {
                message.body.extend_from_slice(&buffer[..count]);
                left -= count;
            }
        }
    }
    BodyEnd::Complete
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> BodyEnd {
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return BodyEnd::BrokenOff,
            Ok(_) => {}
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return BodyEnd::BrokenOff;
        };
        let start = body.len();
        body.resize(start + size, 0);
        let mut crlf = [0; 2];
        if reader.read_exact(&mut body[start..]).is_err() || reader.read_exact(&mut crlf).is_err() {
            return BodyEnd::BrokenOff;
        }
        if size == 0 {
            return BodyEnd::Complete;
        }
    }
}

/// Writes a JSON response.
pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    write_json_with(stream, status, "", body)
}

/// Writes a JSON response with further header lines, each of which ends with CR and LF.
pub fn write_json_with(stream: &mut TcpStream, status: u16, lines: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{lines}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())
}
