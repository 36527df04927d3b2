//! A scenario with one real process under scripted discovery, upstreams, of which some leave the list and go
//! on serving, and clients that send requests all the time. When the process counts as notified of a change
//! follows from when the discovery service had it.

use super::scripted::ScriptedDiscovery;
use super::*;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

/// A change counts as notified this long after discovery could have sent it, or after a stalled watch missed
/// it.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// `DrainGraceUs` of the settings.
pub const GRACE: Duration = Duration::from_millis(500);

/// What the page on sockets adds to each limit.
pub const LIMIT_ALLOWANCE: Duration = Duration::from_millis(50);

/// The time that a busy machine may need to get a request to its upstream and to read it there.
pub const DELIVERY_LAG: Duration = Duration::from_millis(300);

/// The number of clients of each process, enough for all of its upstreams to get requests.
const CLIENTS: usize = 4;

/// How long a client waits between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The outcome of one request, as its client saw it.
#[derive(Clone, Copy)]
pub struct ClientOutcome {
    /// When the answer, or the end of the connection, was read.
    pub at: Instant,
    /// Whether the answer was a 200.
    pub served: bool,
}

/// The upstreams of a scenario and the discovery service that lists them.
pub struct ListedUpstreams {
    pub discovery: ScriptedDiscovery,
    /// When requests reached the upstreams that leave.
    pub arrivals_at_leavers: Arc<Mutex<Vec<Instant>>>,
    /// The entries of all upstreams as serving, for the configuration of a process.
    known: Vec<String>,
    _upstreams: Vec<Upstream>,
}

/// A process, the upstreams that it balances over, and its clients.
pub struct Scenario {
    listed: ListedUpstreams,
    outcomes: Arc<Mutex<Vec<ClientOutcome>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    pub balancer: Balancer,
}

/// The names of the upstreams, of which the first ones leave. Those that stay are enough for a process whose
/// settings state a large fleet to have room at them.
pub const UPSTREAM_NAMES: [&str; 6] = ["s0", "s1", "s2", "s3", "s4", "s5"];

impl ListedUpstreams {
    /// Starts the upstreams and their discovery. The arrival of each request at the first `leavers` upstreams
    /// is recorded.
    pub fn start(leavers: usize) -> ListedUpstreams {
        let arrivals_at_leavers: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let upstreams = (0..UPSTREAM_NAMES.len()).map(|n| {
            let arrivals = arrivals_at_leavers.clone();
            Upstream::start(move |_| {
                if n < leavers {
                    arrivals.lock().unwrap().push(Instant::now());
                }
                ok_reply("x")
            })
        });
        let upstreams: Vec<Upstream> = upstreams.collect();
        let hosts: Vec<_> = UPSTREAM_NAMES.into_iter().zip(upstreams.iter().map(|u| u.address)).collect();
        let discovery = ScriptedDiscovery::start(&hosts);
        let known = hosts.iter().map(|(name, address)| host_entry(name, *address, 0, "SERVING")).collect();
        ListedUpstreams { discovery, arrivals_at_leavers, known, _upstreams: upstreams }
    }
}

impl std::ops::Deref for Scenario {
    type Target = ListedUpstreams;
    fn deref(&self) -> &ListedUpstreams {
        &self.listed
    }
}

impl Scenario {
    /// Starts a process whose settings state this number of instances and whose configuration lists all
    /// upstreams as serving, and then its clients.
    pub fn start(listed: ListedUpstreams, instances: u32, seed: u64) -> Scenario {
        let address = free_address();
        let text = config_text(address, listed.discovery.address, 1024, &listed.known)
            .replace(r#""NInstances":1"#, &format!(r#""NInstances":{instances}"#))
            .replace("00000000000000a1", &format!("{:016x}", 0xa1 + seed));
        let balancer = Balancer::start_with_log(address, &text);
        let (outcomes, stop) =
            (Arc::<Mutex<Vec<ClientOutcome>>>::default(), Arc::new(AtomicBool::new(false)));
        let clients = (0..CLIENTS).map(|_| {
            let (outcomes, stop) = (outcomes.clone(), stop.clone());
            thread::spawn(move || send_requests(address, &outcomes, &stop))
        });
        let clients = clients.collect();
        Scenario { listed, outcomes, stop, clients, balancer }
    }

    /// Has the process load a new configuration that names this address of discovery, and with
    /// `changes_settings` also another worth of the first class.
    pub fn reconfigure(&self, discovery: SocketAddr, changes_settings: bool) {
        let text = std::fs::read_to_string(&self.balancer.config).unwrap();
        let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
        config["discovery"] = discovery.to_string().into();
        if changes_settings {
            let worth = &mut config["settings"]["Grades"][0]["Worth"];
            *worth = (worth.as_f64().unwrap() + 1.0).into();
        }
        let new_file = format!("{}.new", self.balancer.config);
        std::fs::write(&new_file, config.to_string()).unwrap();
        std::fs::rename(new_file, &self.balancer.config).unwrap();
        self.balancer.signal("HUP");
    }

    /// The number of requests that reached upstreams that leave too late: `binds` is when a departure binds
    /// the process, to which the grace, the allowance and the lag are added.
    pub fn late_arrivals(&self, binds: Instant) -> usize {
        let latest = binds + GRACE + LIMIT_ALLOWANCE + DELIVERY_LAG;
        self.arrivals_at_leavers.lock().unwrap().iter().filter(|&&at| at > latest).count()
    }

    /// The share of the requests ended within this span that was served.
    pub fn served_share(&self, from: Instant, to: Instant) -> f64 {
        let outcomes = self.outcomes.lock().unwrap();
        let within: Vec<_> = outcomes.iter().filter(|o| (from..to).contains(&o.at)).collect();
        within.iter().filter(|o| o.served).count() as f64 / within.len().max(1) as f64
    }

    /// Waits until the process has an open watch on discovery.
    pub fn wait_for_watch(&self) {
        wait_until("a watch", || self.discovery.has_watch());
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Sends one request after the other until `stop` is set, and records their outcomes.
fn send_requests(address: SocketAddr, outcomes: &Mutex<Vec<ClientOutcome>>, stop: &AtomicBool) {
    let mut client = None;
    while !stop.load(Ordering::SeqCst) {
        let open = client.get_or_insert_with(|| Client::connect(address).expect("a connection"));
        open.send(&look_request("1.2"));
        let answer = open.read_answer();
        let served = answer.as_ref().is_some_and(|a| a.status() == 200);
        outcomes.lock().unwrap().push(ClientOutcome { at: Instant::now(), served });
        if answer.is_none() {
            client = None;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
}
