//! Upstreams whose connections are established late: the queue of the listener is full until the test makes
//! room.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// Changes of the settings: connections may take longer than a SYN takes to be sent again, and attempts are
/// not cancelled meanwhile.
pub const LONG_DIAL_WITHOUT_CANCEL: [(&str, &str); 2] = [
    ("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000"),
    ("\"MayCancel\":true", "\"MayCancel\":false"),
];

/// An upstream that accepts no connection until the test allows it: until then the queue of its listener is
/// full, and the kernel drops each SYN. What is written to the connections accepted later is recorded.
pub struct FullQueueUpstream {
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the queue.
    fillers: Vec<TcpStream>,
}

/// A listener whose queue has room for one connection.
pub fn listen_with_short_queue() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    TcpListener::from(socket)
}

/// Whether a connection to this address is being established: the kernel has sent a SYN that is not answered
/// yet.
pub fn is_connecting_to(address: SocketAddr) -> bool {
    let remote = format!("{:08X}:{:04X}", 0x0100_007fu32, address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    // The columns are number, local address, remote address and state; the state 02 is SYN_SENT.
    table.lines().filter(|l| l.split_whitespace().nth(2) == Some(&*remote)).any(|l| l.contains(" 02 "))
}

impl FullQueueUpstream {
    /// Starts an upstream whose queue is full.
    pub fn start() -> FullQueueUpstream {
        FullQueueUpstream::fill_queue(listen_with_short_queue())
    }

    /// Fills the queue of a listener.
    pub fn fill_queue(listener: TcpListener) -> FullQueueUpstream {
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        // Connects until one more connection is not established.
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue never fills");
        }
        FullQueueUpstream { address, listener, fillers }
    }

    /// Whether a connection to this upstream is waiting to be established.
    pub fn has_waiting_connection(&self) -> bool {
        is_connecting_to(self.address)
    }

    /// Accepts connections from now on. The receiver gets what each connection that is not a filler has sent
    /// until it ended or sent nothing for 0.3 s.
    pub fn accept_connections(self) -> Receiver<Vec<u8>> {
        let (send, received) = channel();
        thread::spawn(move || {
            let fillers: Vec<_> = self.fillers.iter().map(|f| f.local_addr().unwrap()).collect();
            loop {
                let (mut stream, peer) = self.listener.accept().unwrap();
                if fillers.contains(&peer) {
                    continue;
                }
                stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
                let mut bytes = Vec::new();
                let mut part = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut part) {
                    bytes.extend_from_slice(&part[..n]);
                }
                if send.send(bytes).is_err() {
                    return;
                }
            }
        });
        received
    }
}

/// What the first connection accepted late has sent; empty also if no connection is established within 4 s.
pub fn received_text(from: &Receiver<Vec<u8>>) -> String {
    let bytes = from.recv_timeout(Duration::from_secs(4)).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}
