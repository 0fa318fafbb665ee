//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, Write};
use std::net::TcpStream;

/// Head of a message; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its last line.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    if reader.read_line(&mut head.line)? == 0 {
        return Ok(None);
    }
    head.line = head.line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_string();
            head.headers.push((name.to_ascii_lowercase(), value));
        }
    }
}

/// Reads one chunk of a chunked body; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Reads a body with a length or in chunks; without either it is empty.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding") == Some("chunked") {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
        return Ok(body);
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Message with a body of known length. `headers` are whole lines with their ends.
pub fn message(line: &str, headers: &str, body: &str) -> String {
    format!(
        "{line}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn write(mut stream: &TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes())
}
