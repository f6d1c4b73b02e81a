//! A whole small platform with real daemons on it, in one process.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use anyhow::ensure;
use basilbank_platform::{daemon, settings::Settings};
use tokio::sync::oneshot;

use super::{
    configuration::{DESK, WRITER, configuration},
    endpoint::{EndpointSpec, ManagedEndpoint},
    http::call,
    inside::Caches,
    paths::Paths,
    ports::free_port,
    proxy::Proxy,
    slow_clock::SlowClock,
    store::{ManagedStore, NarrowWay},
};

/// Starts of a daemon at other ports before it counts as failed.
const STARTS: u32 = 5;

/// Longest wait for a daemon.
const READY: Duration = Duration::from_secs(20);

/// Retry slack that a test doesn't use up.
const RETRY_SLACK: u32 = 20_000;

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct WorldSpec {
    /// Daemons.
    pub daemons: usize,
    /// Endpoints of plain services.
    pub plain: usize,
    /// Prefill endpoints.
    pub prefill: usize,
    /// Decode endpoints.
    pub decode: usize,
    /// Extra calls that all daemons together may make in a window, beyond a part of the calls.
    pub retry_slack: u32,
}

impl Default for WorldSpec {
    fn default() -> WorldSpec {
        WorldSpec { daemons: 1, plain: 2, prefill: 1, decode: 2, retry_slack: RETRY_SLACK }
    }
}

/// A daemon of a world.
struct Running {
    callers: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
    settings: PathBuf,
}

/// A store, endpoints and daemons. Dropping it ends them.
pub struct World {
    /// The store.
    pub store: ManagedStore,
    /// The plain endpoints.
    pub plain: Vec<ManagedEndpoint>,
    /// The model endpoints: first those that read prompts.
    pub model: Vec<ManagedEndpoint>,
    caches: Caches,
    daemons: Vec<Running>,
    /// Where daemons meet: the control address of the first.
    control: SocketAddr,
    /// Their port for each other. Each has a loopback address of its own, as Vms do.
    port: u16,
    /// Time that each of their decisions takes on top.
    decision_time: Duration,
    retry_slack: u32,
    /// Whether daemons that start now are told that the whole system has run before.
    is_restart: bool,
}

impl World {
    /// Starts everything, and waits until the daemons are ready.
    ///
    /// # Errors
    /// Something did not start.
    pub fn start(spec: &WorldSpec) -> anyhow::Result<World> {
        World::start_slow(spec, Duration::ZERO)
    }

    /// Starts everything, with daemons each of whose decisions takes so much longer.
    ///
    /// # Errors
    /// Something did not start.
    pub fn start_slow(spec: &WorldSpec, decision_time: Duration) -> anyhow::Result<World> {
        let store = ManagedStore::start()?;
        store.put("op/config", &configuration(1, &[]));
        let caches = Caches::default();
        let (plain, model, daemons) = (vec![], vec![], vec![]);
        let (control, port) = (free_address()?, free_port()?);
        let retry_slack = spec.retry_slack;
        let mut world = World {
            store,
            plain,
            model,
            caches,
            daemons,
            control,
            port,
            decision_time,
            retry_slack,
            is_restart: false,
        };
        for n in 0..spec.plain {
            world.add_plain(EndpointSpec::plain(&format!("plain-{n}")))?;
        }
        for n in 0..spec.prefill {
            world.add_model(EndpointSpec::model(&format!("prefill-{n}"), "prefill"))?;
        }
        for n in 0..spec.decode {
            world.add_model(EndpointSpec::model(&format!("decode-{n}"), "decode"))?;
        }
        for _ in 0..spec.daemons {
            world.add_another()?;
        }
        Ok(world)
    }

    /// Where callers connect to a daemon.
    #[must_use]
    pub fn callers(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].callers
    }

    /// Where a daemon says whether it is ready.
    #[must_use]
    pub fn ready(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].ready
    }

    /// The address that identifies a daemon in the list of seeds.
    #[must_use]
    pub fn control(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].control
    }

    /// Starts a plain endpoint, and lists it.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_plain(&mut self, spec: EndpointSpec) -> anyhow::Result<()> {
        let endpoint = ManagedEndpoint::start(spec, &self.caches)?;
        self.list(&endpoint, DESK, "ready");
        self.plain.push(endpoint);
        Ok(())
    }

    /// Starts a model endpoint, and lists it.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_model(&mut self, spec: EndpointSpec) -> anyhow::Result<()> {
        let endpoint = ManagedEndpoint::start(spec, &self.caches)?;
        self.list(&endpoint, WRITER, "ready");
        self.model.push(endpoint);
        Ok(())
    }

    /// Lists a plain endpoint as draining.
    pub fn drain_plain(&self, n: usize) {
        self.list(&self.plain[n], DESK, "draining");
    }

    /// Lists a model endpoint as draining.
    pub fn drain_model(&self, n: usize) {
        self.list(&self.model[n], WRITER, "draining");
    }

    /// Lists a plain endpoint as ready.
    pub fn list_plain(&self, n: usize) {
        self.list(&self.plain[n], DESK, "ready");
    }

    /// Lists a model endpoint as ready.
    pub fn list_model(&self, n: usize) {
        self.list(&self.model[n], WRITER, "ready");
    }

    fn list(&self, endpoint: &ManagedEndpoint, service: &str, state: &str) {
        self.store.put(&key(endpoint.instance()), &endpoint.entry(service, state));
    }

    /// Takes an instance off the list.
    pub fn unlist(&self, instance: &str) {
        self.store.remove(&key(instance));
    }

    /// Writes a configuration with more routes to the plain service: their prefixes.
    pub fn configure(&self, version: u64, more: &[&str]) {
        self.store.put("op/config", &configuration(version, more));
    }

    /// Starts one more daemon, and waits until it is ready.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_another(&mut self) -> anyhow::Result<()> {
        self.add_daemon(self.store.address())
    }

    /// Starts one more daemon, as after a restart of the whole system, and waits until it is ready.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_restarted(&mut self) -> anyhow::Result<()> {
        self.is_restart = true;
        self.add_daemon(self.store.address())
    }

    /// Starts one more daemon that reaches the store over a narrow link, and waits until it is ready.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_behind(&mut self, way: &NarrowWay) -> anyhow::Result<()> {
        self.add_daemon(way.address())
    }

    /// Starts one more daemon that reaches the store through a proxy, and waits until it is ready.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_through(&mut self, way: &Proxy) -> anyhow::Result<()> {
        self.add_daemon(way.address())
    }

    /// Starts one more daemon that the others never hear of, nor it of them, and waits until it is ready.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_apart(&mut self) -> anyhow::Result<()> {
        let control = std::mem::replace(&mut self.control, free_address()?);
        let started = self.add_daemon(self.store.address());
        self.control = control;
        started
    }

    /// Starts one more daemon that has a path of its own to each endpoint there is, and waits until it
    /// is ready.
    ///
    /// # Errors
    /// It did not start.
    pub fn add_with_paths(&mut self) -> anyhow::Result<Paths> {
        let mut paths = Paths::start(&self.store, &self.caches)?;
        for endpoint in self.plain.iter().chain(&self.model) {
            paths.add(endpoint.listed_at())?;
        }
        self.add_daemon(paths.store())?;
        Ok(paths)
    }

    /// Replaces a text in a daemon's settings file, and gives no signal.
    ///
    /// # Errors
    /// The file can't be read or written.
    pub fn change_settings(&self, daemon: usize, from: &str, to: &str) -> io::Result<()> {
        let path = &self.daemons[daemon].settings;
        let text = fs::read_to_string(path)?.replace(from, to);
        fs::write(path, text)
    }

    /// Starts the shutdown of a daemon.
    pub fn terminate(&mut self, daemon: usize) {
        if let Some(stop) = self.daemons[daemon].stop.take() {
            // A daemon that has ended hears nothing.
            let _ = stop.send(());
        }
    }

    /// Waits until a daemon that was terminated has ended.
    ///
    /// # Errors
    /// It failed.
    pub fn wait_ended(&mut self, daemon: usize) -> anyhow::Result<()> {
        let Some(thread) = self.daemons[daemon].thread.take() else { return Ok(()) };
        thread.join().map_err(|_| anyhow::anyhow!("the daemon panicked"))?
    }

    /// Starts a daemon at free ports. Another process may take one of them between the search and the
    /// daemon's own listening; the daemon ends then, and is started again at others.
    fn add_daemon(&mut self, store: SocketAddr) -> anyhow::Result<()> {
        for _ in 1..STARTS {
            if self.start_daemon(store)? {
                return Ok(());
            }
            // Others meet at the first one's, and have the same port.
            if self.daemons.is_empty() {
                (self.control, self.port) = (free_address()?, free_port()?);
            }
        }
        ensure!(self.start_daemon(store)?, "the daemon does not start");
        Ok(())
    }

    /// True when the daemon is ready, false when it ended at once.
    fn start_daemon(&mut self, store: SocketAddr) -> anyhow::Result<bool> {
        let first = self.daemons.is_empty();
        let (control, port) = (self.control, self.port);
        let own = if first { control } else { free_address()? };
        let (callers, ready) = (free_address()?, free_address()?);
        let text = format!(
            "node = \"vm-{n}\"\nzone = \"hall-a\"\nip = \"127.0.0.{last}\"\nportRange = [{port}, {port}]\n\
             seeds = [\"{control}\"]\nbootstrap = {first_start}\n[listen]\nfront = \"{callers}\"\n\
             ready = \"{ready}\"\ncontrol = \"{own}\"\n[platform]\naddr = \"{store}\"\n\
             [bounds]\ngraceS = 8\nretryRatio = 0.2\nretrySlack = {slack}\nretryWindowS = 10\n",
            n = self.daemons.len(),
            last = self.daemons.len() + 1,
            slack = self.retry_slack,
            first_start = !self.is_restart,
        );
        static FILES: AtomicU32 = AtomicU32::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("basilbank-world-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, &text)?;
        let (stop, stopped) = oneshot::channel();
        let (path, decision_time) = (settings.clone(), self.decision_time);
        let thread = thread::spawn(move || {
            let parsed = Settings::read(&path)?;
            let clock = Box::new(SlowClock::new(decision_time));
            daemon::run_until(&path, parsed, None, clock, async { drop(stopped.await) })
        });
        if !wait_ready(ready, &thread)? {
            return Ok(false);
        }
        let (stop, thread) = (Some(stop), Some(thread));
        let running = Running { callers, ready, control: own, stop, thread, settings };
        self.daemons.push(running);
        Ok(true)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.stop.take();
            // The file may have been removed by the system's own cleaning.
            let _ = fs::remove_file(&daemon.settings);
        }
    }
}

/// False when the daemon ended before it was ready.
fn wait_ready<T>(ready: SocketAddr, daemon: &JoinHandle<T>) -> anyhow::Result<bool> {
    let end = Instant::now() + READY;
    loop {
        if daemon.is_finished() {
            return Ok(false);
        }
        if call(ready, "GET /ready", &[], b"").is_ok_and(|answer| answer.status == 200) {
            return Ok(true);
        }
        ensure!(Instant::now() < end, "the daemon is not ready");
        thread::sleep(Duration::from_millis(10));
    }
}

/// The key of an instance's entry in the store.
#[must_use]
pub fn key(instance: &str) -> String {
    format!("servers/{instance}")
}

fn free_address() -> anyhow::Result<SocketAddr> {
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()?)))
}
