//! Upstreams whose connections come up late: a listener's queue is full until room is made in it.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// Connections may take longer than a SYN takes to be sent again, and nothing is called off meanwhile.
pub const PATIENT: [(&str, &str); 2] = [
    ("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000"),
    ("\"MayCancel\":true", "\"MayCancel\":false"),
];

/// An upstream whose connections come up when they are let up: until then its queue is full, and the kernel drops
/// what comes. What is written to those that come up later is kept.
pub struct Late {
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

/// A listener whose queue takes one connection.
pub fn narrow() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    TcpListener::from(socket)
}

/// Whether a connection to this address waits to come up: the kernel knows it, and the listener does not.
pub fn connecting_to(address: SocketAddr) -> bool {
    let to = format!("{:08X}:{:04X}", 0x0100_007fu32, address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    // The columns: number, local, remote, state; 02 is SYN_SENT.
    table.lines().filter(|l| l.split_whitespace().nth(2) == Some(&*to)).any(|l| l.contains(" 02 "))
}

impl Late {
    /// One whose queue is full.
    pub fn start() -> Late {
        Late::fill(narrow())
    }

    /// Fills the queue of a listener.
    pub fn fill(listener: TcpListener) -> Late {
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        // Until one more does not come up.
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue never fills");
        }
        Late { address, listener, fillers }
    }

    /// Whether a connection waits to come up.
    pub fn waits(&self) -> bool {
        connecting_to(self.address)
    }

    /// Lets connections come up; what the first one that is not a filler brings until it ends or falls silent.
    pub fn let_up(self) -> Receiver<Vec<u8>> {
        let (send, brought) = channel();
        thread::spawn(move || {
            let mine: Vec<_> = self.fillers.iter().map(|f| f.local_addr().unwrap()).collect();
            loop {
                let (mut stream, peer) = self.listener.accept().unwrap();
                if mine.contains(&peer) {
                    continue;
                }
                stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
                let mut got = Vec::new();
                let mut part = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut part) {
                    got.extend_from_slice(&part[..n]);
                }
                if send.send(got).is_err() {
                    return;
                }
            }
        });
        brought
    }
}

/// What came to a late upstream; nothing, too, where no connection came up at all.
pub fn brought(by: &Receiver<Vec<u8>>) -> String {
    let got = by.recv_timeout(Duration::from_secs(4)).unwrap_or_default();
    String::from_utf8_lossy(&got).into_owned()
}
