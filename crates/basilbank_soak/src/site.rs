//! A store, endpoints behind proxies, and daemons as processes, on one machine.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use basilbank_standin::managed::{
    BadEntry, BreakShare, Caches, DESK, Ending, EndpointSpec, FIRST_VERSION, Framing,
    ManagedEndpoint, ManagedStore, Paths, Proxy, Served, WRITER, call, configuration, key,
};

use crate::{
    plan::Routing,
    process::{Process, Program},
    routing::{self, SECOND_DESK, SECOND_WRITER},
};

/// Longest wait for a daemon's readiness.
const READY: Duration = Duration::from_secs(15);

/// Searches for a port that is free at all daemons' addresses.
const SEARCHES: u32 = 20;

/// Endpoints of the plain service, of those that read prompts, and of those that generate.
pub const ENDPOINTS: [(&str, usize); 3] = [("plain", 3), ("prefill", 2), ("decode", 3)];

/// Settings of a daemon. The bounds are those of a small site of the users.
const SETTINGS: &str = include_str!("settings.toml");

/// One endpoint with its proxy, and what earlier instances at its address served.
pub struct Place {
    /// The instance that is there now.
    pub endpoint: ManagedEndpoint,
    /// The way to it.
    pub proxy: Proxy,
    /// Its service.
    pub service: &'static str,
    /// Instances that were there.
    pub before: Vec<(String, Served)>,
    /// The version of the next instance there.
    pub version: &'static str,
    stage: Option<&'static str>,
    instances: u32,
    /// Answers since its start were marked by the end of the connection alone.
    is_unmarked: bool,
}

/// One daemon, running or not.
pub struct Daemon {
    /// The process; `None` while it is down.
    pub process: Option<Process>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// The way to the store.
    pub store: Proxy,
    /// Its ways to the endpoints.
    pub paths: Paths,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its log.
    pub log: PathBuf,
    program: Program,
}

/// All of it. Dropping it ends the daemons.
pub struct Site {
    /// The store.
    pub store: ManagedStore,
    /// The endpoints.
    pub places: Vec<Place>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The configuration's version.
    pub version: u64,
    caches: Caches,
    routes: Vec<String>,
}

impl Place {
    fn start(
        stage: &'static str,
        version: &'static str,
        number: usize,
        caches: &Caches,
    ) -> anyhow::Result<Place> {
        let (service, stage) = match stage {
            "plain" => (DESK, None),
            "second" => (SECOND_DESK, None),
            "second-prefill" => (SECOND_WRITER, Some("prefill")),
            "second-decode" => (SECOND_WRITER, Some("decode")),
            stage => (WRITER, Some(stage)),
        };
        let instance = format!("{}-{number}-0", stage.unwrap_or("plain"));
        let mut endpoint = ManagedEndpoint::start(spec(&instance, stage, version), caches)?;
        let proxy = Proxy::start(endpoint.address())?;
        endpoint.reach_at(proxy.address());
        Ok(Place {
            endpoint,
            proxy,
            service,
            before: Vec::new(),
            version,
            stage,
            instances: 1,
            is_unmarked: false,
        })
    }

    /// Whether the endpoint decodes, and is of a version.
    #[must_use]
    pub fn decodes(&self, version: &str) -> bool {
        self.stage == Some("decode") && self.endpoint.version() == version
    }

    /// Another instance takes the address.
    ///
    /// # Errors
    /// It does not start.
    pub fn replace(&mut self, caches: &Caches) -> anyhow::Result<()> {
        let (name, _) = self.endpoint.instance().rsplit_once('-').context("an instance's name")?;
        let instance = format!("{name}-{}", self.instances);
        self.instances += 1;
        let spec = spec(&instance, self.stage, self.version);
        let mut endpoint = ManagedEndpoint::start(spec, caches)?;
        endpoint.reach_at(self.proxy.address());
        self.proxy.retarget(endpoint.address());
        self.is_unmarked = false;
        let before = std::mem::replace(&mut self.endpoint, endpoint);
        self.before.push((before.instance().to_owned(), before.served()));
        Ok(())
    }

    /// The endpoint starts again under its id, at its address or at another one.
    ///
    /// # Errors
    /// It does not start.
    pub fn restart(&mut self, elsewhere: bool) -> anyhow::Result<()> {
        if std::mem::take(&mut self.is_unmarked) {
            // Its address answers again at once, so that what broke off would look whole.
            self.proxy.reset();
        }
        let served = self.endpoint.restart(0)?;
        self.before.push((self.endpoint.instance().to_owned(), served));
        if elsewhere {
            self.proxy = Proxy::start(self.endpoint.address())?;
            self.endpoint.reach_at(self.proxy.address());
        } else {
            self.proxy.retarget(self.endpoint.address());
        }
        Ok(())
    }

    /// The endpoint frames its answers in a way from now on, and breaks a share of them off.
    pub fn end_answers(&mut self, ending: Ending, share: BreakShare) {
        self.is_unmarked |= ending.framing == Some(Framing::Connection);
        self.endpoint.end_some(ending, share);
    }

    /// The endpoint starts again under its id, at its address, with another version.
    ///
    /// # Errors
    /// It does not start.
    pub fn restart_as(&mut self, version: &'static str) -> anyhow::Result<()> {
        self.version = version;
        let served = self.endpoint.restart_as(0, version)?;
        self.before.push((self.endpoint.instance().to_owned(), served));
        self.proxy.retarget(self.endpoint.address());
        Ok(())
    }

    /// All instances that were here, with what they served.
    #[must_use]
    pub fn all_served(&self) -> Vec<(String, Served)> {
        let now = (self.endpoint.instance().to_owned(), self.endpoint.served());
        self.before.iter().cloned().chain([now]).collect()
    }
}

/// The key of another writer's entry beside a place's.
fn foreign(place: usize) -> String {
    key(&format!("foreign-{place}"))
}

fn spec(instance: &str, stage: Option<&'static str>, version: &'static str) -> EndpointSpec {
    EndpointSpec { stage, version, ..EndpointSpec::plain(instance) }
}

impl Site {
    /// Starts everything, and waits until the daemons are ready. Files go to `folder`.
    ///
    /// # Errors
    /// Something did not start.
    pub fn start(programs: &[Program], folder: &Path) -> anyhow::Result<Site> {
        let caches = Caches::default();
        let store = ManagedStore::start()?;
        store.put("op/config", &configuration(1, &[]));
        let mut places = Vec::new();
        for (stage, count) in ENDPOINTS {
            for number in 0..count {
                places.push(Place::start(stage, FIRST_VERSION, number, &caches)?);
            }
        }
        let daemons = daemons(programs, folder, &store, &caches)?;
        let routes = Vec::new();
        let mut site = Site { store, places, daemons, version: 1, caches, routes };
        for place in 0..site.places.len() {
            site.open_paths(place)?;
            site.list(place, "ready");
        }
        for daemon in &mut site.daemons {
            daemon.start()?;
        }
        for daemon in 0..site.daemons.len() {
            let ready = site.daemons[daemon].ready;
            ensure!(wait_ready(ready, READY), "daemon {daemon} is not ready");
        }
        Ok(site)
    }

    /// Opens a path from each daemon to an endpoint, unless there is one.
    ///
    /// # Errors
    /// It can't listen.
    pub fn open_paths(&mut self, place: usize) -> std::io::Result<()> {
        let listed = self.places[place].proxy.address();
        for daemon in &mut self.daemons {
            if daemon.paths.to(listed).is_none() {
                daemon.paths.add(listed)?;
            }
        }
        Ok(())
    }

    /// An endpoint more, of a version, is listed.
    ///
    /// # Errors
    /// It does not start.
    pub fn join(&mut self, stage: &'static str, version: &'static str) -> anyhow::Result<()> {
        let place = self.places.len();
        self.places.push(Place::start(stage, version, place, &self.caches)?);
        self.open_paths(place)?;
        self.list(place, "ready");
        Ok(())
    }

    /// An endpoint's process ends: connections to it are refused, and open ones are closed.
    pub fn end(&mut self, place: usize) {
        let listed = self.places[place].proxy.address();
        for daemon in &mut self.daemons {
            daemon.paths.close(listed);
        }
        self.places[place].endpoint.end();
    }

    /// Connections to an endpoint are refused no more.
    ///
    /// # Errors
    /// A path can't listen.
    pub fn reopen(&mut self, place: usize) -> std::io::Result<()> {
        let listed = self.places[place].proxy.address();
        self.daemons.iter_mut().try_for_each(|daemon| daemon.paths.open(listed))
    }

    /// Writes an endpoint's entry.
    pub fn list(&self, place: usize, state: &str) {
        let place = &self.places[place];
        let name = key(place.endpoint.instance());
        self.store.put(&name, &place.endpoint.entry(place.service, state));
    }

    /// Removes an endpoint's entry.
    pub fn unlist(&self, place: usize) {
        self.store.remove(&key(self.places[place].endpoint.instance()));
    }

    /// Another instance takes an endpoint's address, and is listed.
    ///
    /// # Errors
    /// It does not start.
    pub fn replace(&mut self, place: usize) -> anyhow::Result<()> {
        self.places[place].replace(&self.caches)?;
        self.list(place, "ready");
        Ok(())
    }

    /// Writes an entry of another writer in place of an endpoint's.
    pub fn spoil(&self, place: usize, bad: BadEntry) {
        self.list_bad(place, &key(self.places[place].endpoint.instance()), bad);
    }

    /// Writes an entry of another writer beside an endpoint's, with its address.
    pub fn list_foreign(&self, place: usize, bad: BadEntry) {
        self.list_bad(place, &foreign(place), bad);
    }

    /// Removes what other writers wrote beside endpoints' entries.
    pub fn unlist_foreign(&self) {
        (0..self.places.len()).for_each(|place| self.store.remove(&foreign(place)));
    }

    fn list_bad(&self, place: usize, key: &str, bad: BadEntry) {
        let place = &self.places[place];
        bad.put(&self.store, key, place.endpoint.entry(place.service, "ready"));
    }

    /// Writes a configuration with some routes more.
    pub fn configure(&mut self, more: usize) {
        self.version += 1;
        let version = self.version;
        self.routes.extend((1..more).map(|n| format!("/added-{version}-{n}/")));
        self.routes.push(format!("/added-{version}/"));
        let routes: Vec<_> = self.routes.iter().map(String::as_str).collect();
        self.store.put("op/config", &configuration(self.version, &routes));
    }

    /// Writes a configuration in which routes are as planned work wants them.
    pub fn reconfigure(&mut self, routing: Routing) {
        self.version += 1;
        self.store.put("op/config", &routing::configuration(self.version, routing));
    }

    /// The prefix of the route that was added last.
    #[must_use]
    pub fn newest_route(&self) -> Option<&str> {
        self.routes.last().map(String::as_str)
    }
}

impl Daemon {
    /// Starts its process.
    ///
    /// # Errors
    /// It does not start.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let process = Process::start(&self.program, &self.settings, &self.log)?;
        self.process = Some(process);
        Ok(())
    }

    /// The file that moves its clock.
    #[must_use]
    pub fn clock_file(&self) -> PathBuf {
        self.settings.with_extension("clock")
    }
}

/// Waits until a daemon says that it is ready; false when it does not.
#[must_use]
pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        // Nothing listens there before the daemon has begun.
        let connected = TcpStream::connect_timeout(&address, Duration::from_millis(200)).is_ok();
        if connected && call(address, "GET /ready", &[], b"").is_ok_and(|a| a.status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn daemons(
    programs: &[Program],
    folder: &Path,
    store: &ManagedStore,
    caches: &Caches,
) -> anyhow::Result<Vec<Daemon>> {
    let ips: Vec<_> = (1..=programs.len()).map(|n| Ipv4Addr::new(127, 77, 0, n as u8)).collect();
    let [callers, ready, control, peers] = common_ports(&ips)?;
    let daemon = |(n, program): (usize, &Program)| {
        let ip = ips[n];
        let paths = Paths::start(store, caches)?;
        let proxy = Proxy::start(paths.store())?;
        let settings = folder.join(format!("daemon-{n}.toml"));
        let text = SETTINGS
            .replace("{name}", &format!("vm-{n}"))
            .replace("{ip}", &ip.to_string())
            .replace("{seed}", &ips[0].to_string())
            .replace("{callers}", &callers.to_string())
            .replace("{ready}", &ready.to_string())
            .replace("{control}", &control.to_string())
            .replace("{peers}", &peers.to_string())
            .replace("{store}", &proxy.address().to_string());
        fs::write(&settings, text)?;
        Ok(Daemon {
            process: None,
            callers: SocketAddr::from((ip, callers)),
            ready: SocketAddr::from((ip, ready)),
            store: proxy,
            paths,
            log: folder.join(format!("daemon-{n}.log")),
            settings,
            program: program.clone(),
        })
    };
    programs.iter().enumerate().map(daemon).collect()
}

/// Ports that are free at all addresses: daemons have the same ones, as on the users' platform.
fn common_ports(ips: &[Ipv4Addr]) -> anyhow::Result<[u16; 4]> {
    for _ in 0..SEARCHES {
        let sockets: Vec<_> =
            (0..4).map(|_| TcpListener::bind((ips[0], 0))).collect::<Result<_, _>>()?;
        let mut ports = [0; 4];
        for (port, socket) in ports.iter_mut().zip(&sockets) {
            *port = socket.local_addr()?.port();
        }
        drop(sockets);
        let free = |ip: &Ipv4Addr| {
            ports.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && UdpSocket::bind((*ip, ports[3])).is_ok()
        };
        if ips.iter().all(free) {
            return Ok(ports);
        }
    }
    anyhow::bail!("no free ports")
}
