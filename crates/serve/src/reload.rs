//! A new configuration, on SIGHUP: discovery is followed to where the file now says it answers. What else the
//! file says holds from the next start on.

use crate::Proxy;
use garnettally_config::platform::Config;
use slog::{error, info};
use std::net::SocketAddr;

/// What the file said last.
pub struct Reload {
    discovery: Option<SocketAddr>,
}

impl Reload {
    pub fn new(discovery: Option<SocketAddr>) -> Reload {
        Reload { discovery }
    }
}

impl Proxy {
    /// SIGHUP has come. Connections and requests go on as they are; with a file that can't be used, all does.
    pub fn reload(&mut self) {
        let config = match Config::from_environment() {
            Ok(config) => config,
            Err(e) => return error!(self.net.log, "the new configuration is not used"; "error" => e),
        };
        info!(self.net.log, "configuration read again; all but discovery waits for a restart");
        // `GW_DISCOVERY` was given for the file of that time: a change in the file is the later word.
        if let Some(address) =
            config.discovery_in_file.filter(|_| config.discovery_in_file != self.reload.discovery)
        {
            self.reload.discovery = config.discovery_in_file;
            self.follow_discovery(address);
        }
    }
}
