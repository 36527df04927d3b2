//! The processes of a drill: each runs the program with its own configuration file, and gets faults from
//! outside.

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The state of a member's process, as the drill knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process has not been started, was killed, or has exited.
    NotRunning,
    /// The process was started or continued, and neither ended nor suspended since.
    Running,
    /// The process is suspended by SIGSTOP.
    Stopped,
    /// The process got SIGTERM and has not exited yet.
    Terminating,
}

/// One member of the fleet: its addresses, its configuration file and its process.
pub struct Member {
    pub name: String,
    /// The address on which the member receives the fleet's datagrams.
    pub link: SocketAddr,
    /// The address on which the member accepts requests.
    pub listen: SocketAddr,
    /// The address on which the member accepts operators' calls.
    pub admin: SocketAddr,
    /// The member's configuration file; its log and state folder have the same path with other extensions.
    pub config_file: PathBuf,
    pub state: ProcessState,
    /// The member's process, until its exit has been seen.
    child: Option<Child>,
    /// The number of times that the member's process was started.
    pub start_count: u32,
}

/// Returns three addresses that are free now, for the member with this index. Each member gets a loopback
/// host of its own, so that no other process takes its ports.
pub fn free_addresses(index: usize) -> io::Result<[SocketAddr; 3]> {
    let host = format!("127.{}.{}.{}:0", 32 + index / 250, std::process::id() % 250 + 1, index % 250 + 1);
    let address: SocketAddr = host.parse().map_err(io::Error::other)?;
    // Bound, but not listening: a forked process may have inherited a copy of the socket, and a listening
    // copy would accept a member's connections.
    let bind = |kind: Type| {
        let socket = Socket::new(Domain::for_address(address), kind, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok::<Socket, io::Error>(socket)
    };
    let sockets = [bind(Type::DGRAM)?, bind(Type::STREAM)?, bind(Type::STREAM)?];
    let local_address =
        |s: &Socket| s.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"));
    Ok([local_address(&sockets[0])?, local_address(&sockets[1])?, local_address(&sockets[2])?])
}

impl Member {
    pub fn new(name: String, addresses: [SocketAddr; 3], config_file: PathBuf) -> Member {
        let [link, listen, admin] = addresses;
        Member {
            name,
            link,
            listen,
            admin,
            config_file,
            state: ProcessState::NotRunning,
            child: None,
            start_count: 0,
        }
    }

    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        self.kill();
        self.start_count += 1;
        let log = File::options().append(true).create(true).open(self.config_file.with_extension("log"))?;
        let child = Command::new(program)
            .arg("serve")
            .arg(&self.config_file)
            .env_remove("GW_CONFIG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.state = ProcessState::Running;
        Ok(())
    }

    pub fn signal(&mut self, signal: Signal, next_state: ProcessState) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        kill_process(Pid::from_child(child), signal)?;
        self.state = next_state;
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.state = ProcessState::NotRunning;
    }

    /// The exit status of a process that exited unasked or with a failure, else `None`. A process that gets
    /// SIGTERM before it was `ready` may not handle the signal yet, and is then ended by it: that is no
    /// failure.
    pub fn unexpected_exit(&mut self, ready: bool) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        let terminated = self.state == ProcessState::Terminating;
        self.state = ProcessState::NotRunning;
        let ended_by_signal = terminated && !ready && status.signal() == Some(Signal::TERM.as_raw());
        (!ended_by_signal && (!terminated || !status.success())).then(|| status.to_string())
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Member {
    /// Limits the size of files that the running process may write, in bytes; `None` removes the limit.
    pub fn limit_file_size(&self, max_bytes: Option<u64>) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let limit = Rlimit { current: max_bytes, maximum: None };
        prlimit(Some(Pid::from_child(child)), Resource::Fsize, limit)?;
        Ok(())
    }

    /// The folder in which the member stores its state.
    pub fn state_folder(&self) -> PathBuf {
        self.config_file.with_extension("state")
    }

    /// Appends an incomplete record to the newest file of the member's state.
    pub fn append_torn_record(&self) -> io::Result<()> {
        let newest = std::fs::read_dir(self.state_folder())?
            .filter_map(|f| f.ok().map(|f| f.path()))
            .filter(|p| p.file_name().and_then(|n| n.to_str()).is_some_and(|n| n.starts_with("records.")))
            .max_by_key(|p| p.extension().and_then(|e| e.to_str()?.parse::<u64>().ok()));
        let Some(path) = newest else { return Ok(()) };
        // The record starts with a length of 200 bytes, and fewer bytes follow.
        File::options().append(true).open(path)?.write_all(&[0, 0, 0, 200, 0, 0, 0, 0, 9, 9, 9])
    }

    /// Copies the state folder aside or, with `restore`, replaces the state folder by that copy.
    pub fn copy_state(&self, restore: bool) -> io::Result<()> {
        let (original, copy) = (self.state_folder(), self.config_file.with_extension("kept"));
        let (from, to) = if restore { (copy, original) } else { (original, copy) };
        let _ = std::fs::remove_dir_all(&to);
        std::fs::create_dir_all(&to)?;
        for entry in std::fs::read_dir(from)? {
            let path = entry?.path();
            if let Some(name) = path.file_name() {
                std::fs::copy(&path, to.join(name))?;
            }
        }
        Ok(())
    }

    /// The id of the member's process, if there is one.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}
