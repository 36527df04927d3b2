//! The processes of a drill: the program on a file of its own, and what is done to it.

use rustix::process::{kill_process, Pid, Signal};
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What a member is to the drill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Not started yet, killed, or ended.
    Gone,
    /// It runs.
    Runs,
    /// It is stopped.
    Stopped,
    /// It was told to end.
    Ending,
}

/// One member.
pub struct Member {
    pub name: String,
    /// Where it takes datagrams, requests and operators' calls.
    pub link: SocketAddr,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub file: PathBuf,
    pub life: Life,
    child: Option<Child>,
    /// How often it was started.
    pub starts: u32,
}

/// Addresses that are free now; each process gets a loopback host of its own, so that no other takes its port.
pub fn free_addresses(at: usize) -> io::Result<[SocketAddr; 3]> {
    let host = format!("127.{}.{}.{}:0", 32 + at / 250, std::process::id() % 250 + 1, at % 250 + 1);
    let at: SocketAddr = host.parse().map_err(io::Error::other)?;
    // Bound, not listening: a copy that a forked process still holds would take a member's connections.
    let bound = |kind: Type| {
        let socket = Socket::new(Domain::for_address(at), kind, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        Ok::<Socket, io::Error>(socket)
    };
    let sockets = [bound(Type::DGRAM)?, bound(Type::STREAM)?, bound(Type::STREAM)?];
    let address = |s: &Socket| s.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"));
    Ok([address(&sockets[0])?, address(&sockets[1])?, address(&sockets[2])?])
}

impl Member {
    pub fn new(name: String, addresses: [SocketAddr; 3], file: PathBuf) -> Member {
        let [link, listen, admin] = addresses;
        Member { name, link, listen, admin, file, life: Life::Gone, child: None, starts: 0 }
    }

    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        self.kill();
        self.starts += 1;
        let log = File::options().append(true).create(true).open(self.file.with_extension("log"))?;
        let child = Command::new(program)
            .arg("serve")
            .arg(&self.file)
            .env_remove("GW_CONFIG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.life = Life::Runs;
        Ok(())
    }

    pub fn signal(&mut self, signal: Signal, then: Life) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        kill_process(Pid::from_child(child), signal)?;
        self.life = then;
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.life = Life::Gone;
    }

    /// Whether it ended without being told to.
    pub fn has_crashed(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        let told = self.life == Life::Ending;
        self.life = Life::Gone;
        (!told || !status.success()).then(|| status.to_string())
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Member {
    /// Its process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}
