//! A listener whose new connections come up late.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::process::bind_listener;

/// A server whose queue of new connections can be kept full.
pub struct LateListener {
    listener: TcpListener,
    pub address: SocketAddr,
    is_late: AtomicBool,
}

impl LateListener {
    pub fn start() -> Self {
        let (listener, address) = bind_listener();
        listener.set_nonblocking(true).expect("set");
        LateListener { listener, address, is_late: AtomicBool::new(false) }
    }

    /// From now on new connections don't come up, until `reopen`. Returns the connection that fills the queue.
    pub fn fill_queue(&self) -> TcpStream {
        self.is_late.store(true, Ordering::SeqCst);
        // The accepting thread checks the flag before it accepts.
        thread::sleep(Duration::from_millis(20));
        rustix::net::listen(&self.listener, 0).expect("listening");
        TcpStream::connect(self.address).expect("the only place in the queue")
    }

    pub fn reopen(&self) {
        rustix::net::listen(&self.listener, 128).expect("listening");
        self.is_late.store(false, Ordering::SeqCst);
    }

    pub fn accept(&self) -> TcpStream {
        loop {
            if !self.is_late.load(Ordering::SeqCst) {
                match self.listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("set");
                        return stream;
                    }
                    Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}
