//! Connections to backend servers on which a response that broke off is not taken for complete.
//!
//! ureq takes a reset as the end of a body without a length. This transport reports it as an error,
//! also if the server closed its sending direction first.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Error, Timeout};

use crate::response_head::{SETTLE_TIME, SHORT_REQUEST_BYTES, UNSENT_MAX_BYTES};

/// Opens connections to backend servers.
#[derive(Debug)]
pub(crate) struct BackendConnector;

impl Connector for BackendConnector {
    type Out = BackendTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let address: SocketAddr = *details.addrs.first().ok_or(Error::HostNotFound)?;
        let stream = match io_timeout(details.timeout)? {
            Some(timeout) => TcpStream::connect_timeout(&address, timeout),
            None => TcpStream::connect(address),
        };
        let stream = stream.map_err(|error| match error.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(Timeout::Connect),
            _ => Error::Io(error),
        })?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_MAX_BYTES)?;
        let config = details.config;
        Ok(Some(BackendTransport {
            stream,
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
            sent_bytes: 0,
        }))
    }
}

/// Connection to a backend server.
#[derive(Debug)]
pub(crate) struct BackendTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    sent_bytes: usize,
}

/// Timeout of the next call on a socket; `None` without one.
fn io_timeout(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    match timeout.not_zero() {
        Some(left) => Ok(Some(*left)),
        None if timeout.after.is_not_happening() => Ok(None),
        None => Err(Error::Timeout(timeout.reason)),
    }
}

fn to_error(error: io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        // ureq takes these kinds as the end of a body without a length.
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => {
            Error::Io(io::Error::other(error))
        }
        _ => Error::Io(error),
    }
}

impl BackendTransport {
    /// Fails if the connection failed after the server closed its sending direction.
    fn confirm_end(&self) -> io::Result<()> {
        if self.sent_bytes > SHORT_REQUEST_BYTES {
            thread::sleep(SETTLE_TIME);
        }
        self.stream.take_error()?.map_or(Ok(()), Err)
    }
}

impl Transport for BackendTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.stream.set_write_timeout(io_timeout(timeout)?)?;
        let output = &self.buffers.output()[..amount];
        let written = self.stream.write_all(output);
        self.sent_bytes += amount;
        written.map_err(|error| to_error(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.stream.set_read_timeout(io_timeout(timeout)?)?;
        let input = self.buffers.input_append_buf();
        let read_bytes = loop {
            match self.stream.read(input) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => break read.map_err(|error| to_error(error, timeout))?,
            }
        };
        self.buffers.input_appended(read_bytes);
        if read_bytes == 0 {
            self.confirm_end()
                .map_err(|error| to_error(error, timeout))?;
        }
        Ok(read_bytes > 0)
    }

    /// Connections are not reused.
    fn is_open(&mut self) -> bool {
        false
    }
}

impl Drop for BackendTransport {
    fn drop(&mut self) {
        // The server may have closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
