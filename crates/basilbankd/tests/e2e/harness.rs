//! Runs the real daemon as a process.

use std::{
    collections::HashMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::{ADMIN_KEY, Client, Engine, EngineSpec, Faults, Site, SiteSpec};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// A test that waits longer for a condition fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// A daemon's process. Dropping it kills the process.
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where peers are heard.
    pub peers: SocketAddr,
}

/// A site whose engines keep KV caches for longer than a test machine pauses.
pub fn patient_site() -> Site {
    let engine = EngineSpec { kv_life: Duration::from_secs(60), ..EngineSpec::default() };
    Site::start(&SiteSpec { engine, ..SiteSpec::default() }).unwrap()
}

/// A site with one daemon that is ready, and a caller of it.
pub fn patient_daemon() -> (Site, DaemonProcess, Client) {
    let site = patient_site();
    let daemon = DaemonProcess::start(&site, "entry-1");
    site.list_vms(&[("entry-1".to_owned(), daemon.peers)]);
    let client = daemon.ready_client();
    (site, daemon, client)
}

/// A site with some daemons that are ready and know each other.
pub fn patient_daemons(count: usize) -> (Site, Vec<DaemonProcess>) {
    let site = patient_site();
    let names: Vec<String> = (1..=count).map(|i| format!("entry-{i}")).collect();
    let daemons: Vec<_> = names.iter().map(|name| DaemonProcess::start(&site, name)).collect();
    let vms: Vec<_> = names.into_iter().zip(daemons.iter().map(|d| d.peers)).collect();
    site.list_vms(&vms);
    for daemon in &daemons {
        daemon.ready_client();
        wait_until("the daemons know each other", || daemon.live_peers() == count);
    }
    (site, daemons)
}

impl DaemonProcess {
    /// Starts a daemon at a site and waits until it says where it listens.
    pub fn start(site: &Site, name: &str) -> DaemonProcess {
        let text = Site::settings_text(&site.settings(name));
        let settings = settings_file(name);
        fs::write(&settings, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_basilbankd"))
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = Arc::clone(&log);
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = DaemonProcess { child, log, callers: none, admin: none, peers: none };
        wait_until("the daemon says where it listens", || daemon.logged("event=started"));
        let started = daemon.line("event=started").unwrap();
        daemon.callers = address(&started, "callers");
        daemon.admin = address(&started, "admin");
        daemon.peers = address(&started, "peers");
        daemon
    }

    /// A caller, once the daemon has its catalogue.
    pub fn ready_client(&self) -> Client {
        let client = Client::new(self.callers);
        let ready = || client.json("GET", "/v1/models", "").is_ok_and(|(status, _)| status == 200);
        wait_until("the daemon has its catalogue", ready);
        client
    }

    /// Whether a line with this was logged.
    pub fn logged(&self, part: &str) -> bool {
        self.line(part).is_some()
    }

    fn line(&self, part: &str) -> Option<String> {
        self.log.lock().unwrap().iter().find(|line| line.contains(part)).cloned()
    }

    /// How many daemons it knows to be alive, itself included.
    pub fn live_peers(&self) -> usize {
        let call = ureq::get(format!("http://{}/admin/peers", self.admin))
            .header("authorization", format!("Bearer {ADMIN_KEY}"))
            .call();
        let Ok(mut answer) = call else { return 0 };
        let Ok(text) = answer.body_mut().read_to_string() else { return 0 };
        let peers: Value = serde_json::from_str(&text).unwrap();
        peers["items"].as_array().unwrap().iter().filter(|peer| peer["live"] == true).count()
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process has ended by itself.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the process ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_file(name: &str) -> PathBuf {
    static COUNTER: AtomicU32 = AtomicU32::new(0);
    let number = COUNTER.fetch_add(1, Ordering::Relaxed);
    let file = format!("{name}-{}-{number}.json", std::process::id());
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file)
}

fn address(line: &str, key: &str) -> SocketAddr {
    let pairs: HashMap<&str, &str> =
        line.split_whitespace().filter_map(|pair| pair.split_once('=')).collect();
    pairs[key].parse().unwrap()
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Switches the same faults at all engines.
pub fn set_faults(engines: &[Engine], faults: &Faults) {
    for engine in engines {
        engine.set_faults(faults.clone());
    }
}

/// Lets streams go on up to this many tokens only; `None` lets them go on.
pub fn pause_after(site: &Site, tokens: Option<u32>) {
    set_faults(&site.decodes, &Faults { stall_after: tokens, ..Faults::default() });
}

/// Waits until no engine holds a slot, a stream or a KV cache.
pub fn wait_all_free(site: &Site) {
    let held = || site.prefills.iter().chain(&site.decodes).map(Engine::held).sum::<usize>();
    wait_until("the engines hold nothing", || held() == 0);
}
