//! TCP proxy that counts the bytes that it passes on.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

#[derive(Clone, Default)]
pub struct Proxy {
    bytes_count: Arc<AtomicUsize>,
}

impl Proxy {
    /// Passes connections to `listen` on to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let proxy = Self::default();
        let listener = TcpListener::bind(listen).expect("a free port");
        let served = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (caller.set_nodelay(true), server.set_nodelay(true));
                let pair = (caller.try_clone(), server.try_clone());
                let (Ok(caller_copy), Ok(server_copy)) = pair else { continue };
                let (one, other) = (served.clone(), served.clone());
                thread::spawn(move || one.pass_on(caller, server));
                thread::spawn(move || other.pass_on(server_copy, caller_copy));
            }
        });
        proxy
    }

    /// Bytes that were passed on.
    pub fn bytes_count(&self) -> usize {
        self.bytes_count.load(Ordering::SeqCst)
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
            self.bytes_count.fetch_add(count, Ordering::SeqCst);
        }
        let _ = to.shutdown(Shutdown::Both);
    }
}
