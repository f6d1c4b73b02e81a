//! A site with several daemons, each a process of its own.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use basilbank_config::Settings;
use basilbank_standin::{
    ADMIN_KEY, Client, EngineSpec, Site, SiteSpec, WholeDraft, expected_answer,
};
use rustix::process::Signal;
use serde_json::Value;
use ureq::Agent;

use crate::common::{DaemonProcess, PATIENCE, wait_until};

/// A stopped daemon answers no operator.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause of a caller between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Failed tries that a caller reports.
const SHOWN_FAILURES: usize = 8;

/// A site and its daemons, named `entry-0` and so on.
pub struct Fleet {
    /// The stand-ins.
    pub site: Site,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    settings: Vec<Settings>,
    agent: Agent,
}

/// Engines that keep KV caches for longer than a test machine pauses.
pub fn patient_engine() -> EngineSpec {
    EngineSpec { kv_life: Duration::from_secs(60), ..EngineSpec::default() }
}

/// A site of such engines.
pub fn patient_spec() -> SiteSpec {
    SiteSpec { engine: patient_engine(), ..SiteSpec::default() }
}

impl Fleet {
    /// Starts daemons at a site and waits until all have found each other.
    pub fn start(count: usize) -> Fleet {
        Fleet::with(count, &patient_spec(), |_| ())
    }

    /// The same with other engines and settings.
    pub fn with(count: usize, spec: &SiteSpec, change: impl Fn(&mut Settings)) -> Fleet {
        let site = Site::start(spec).unwrap();
        let net = new_net();
        let settings = (0..count).map(|i| {
            let mut settings = site.settings(&format!("entry-{i}"));
            settings.peers = SocketAddr::new(net(i).into(), 0);
            // All have one clock, so a key made after the start is known to be new at once.
            settings.tuning.skew = Duration::ZERO;
            change(&mut settings);
            settings
        });
        let mut settings: Vec<_> = settings.collect();
        let daemons: Vec<_> = settings.iter().map(DaemonProcess::start).collect();
        for (settings, daemon) in settings.iter_mut().zip(&daemons) {
            settings.peers = daemon.peers;
        }
        let config = Agent::config_builder().http_status_as_error(false);
        let agent = config.timeout_global(Some(ADMIN_TIMEOUT)).build().new_agent();
        let fleet = Fleet { site, daemons, settings, agent };
        fleet.list();
        fleet.wait_live(&(0..count).collect::<Vec<_>>());
        fleet
    }

    /// Puts all daemons on the platform's list.
    pub fn list(&self) {
        let vms = self.settings.iter().map(|s| (s.name.clone(), s.peers));
        self.site.list_vms(&vms.collect::<Vec<_>>());
    }

    /// A daemon's name.
    pub fn name(&self, index: usize) -> &str {
        &self.settings[index].name
    }

    /// A caller of one daemon.
    pub fn client(&self, index: usize) -> Client {
        Client::new(self.daemons[index].callers)
    }

    /// Kills a daemon at once.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].signal(Signal::KILL);
        self.daemons[index].wait_exit();
    }

    /// Starts a new process in a dead one's place: its name and its peers' address.
    pub fn replace(&mut self, index: usize) {
        self.daemons[index] = DaemonProcess::start(&self.settings[index]);
    }

    /// What a daemon tells its operators; `None` when it does not answer.
    pub fn admin(&self, index: usize, path: &str) -> Option<Value> {
        let url = format!("http://{}{path}", self.daemons[index].admin);
        let bearer = format!("Bearer {ADMIN_KEY}");
        let mut answer = self.agent.get(url).header("authorization", bearer).call().ok()?;
        serde_json::from_str(&answer.body_mut().read_to_string().ok()?).ok()
    }

    /// The rows of one of a daemon's lists.
    pub fn rows(&self, index: usize, path: &str) -> Vec<Value> {
        let answer = self.admin(index, path);
        answer.and_then(|a| a["items"].as_array().cloned()).unwrap_or_default()
    }

    /// Waits until each of these daemons is ready, may decide, and takes just these to be alive.
    pub fn wait_live(&self, live: &[usize]) {
        let names: Vec<_> = live.iter().map(|i| self.name(*i).to_owned()).collect();
        for daemon in live {
            wait_until("the live daemons know each other", || {
                let status = self.admin(*daemon, "/admin/status").unwrap_or_default();
                status["ready"] == true
                    && status["decides"] == true
                    && self.live_names(*daemon) == names
            });
        }
    }

    fn live_names(&self, daemon: usize) -> Vec<String> {
        let rows = self.rows(daemon, "/admin/peers");
        let live = rows.iter().filter(|row| row["live"] == true && row["leaving"] == false);
        let mut names: Vec<_> = live.map(|row| row["name"].as_str().unwrap().to_owned()).collect();
        names.sort();
        names
    }

    /// The revision that a daemon has in force.
    pub fn revision(&self, daemon: usize) -> u64 {
        let status = self.admin(daemon, "/admin/status");
        status.and_then(|s| s["catalogue"].as_u64()).unwrap_or_default()
    }

    /// Waits until these daemons have a revision in force.
    pub fn wait_revision(&self, daemons: &[usize], revision: u64) {
        for daemon in daemons {
            wait_until("the catalogue is in force", || self.revision(*daemon) == revision);
        }
    }

    /// The daemon that a daemon takes for an endpoint's steward.
    pub fn steward(&self, daemon: usize, endpoint: &str) -> usize {
        let rows = self.rows(daemon, "/admin/endpoints");
        let row = rows.iter().find(|row| row["name"] == endpoint).unwrap();
        let steward = row["steward"].as_str().unwrap();
        self.settings.iter().position(|s| s.name == steward).unwrap()
    }
}

/// The peers' addresses of a new fleet's daemons, which no other fleet or process has.
///
/// A daemon that takes a dead one's place needs its port. On an address that others use too, any
/// connection of theirs may have been given that port meanwhile.
fn new_net() -> impl Fn(usize) -> Ipv4Addr {
    static COUNTER: AtomicU8 = AtomicU8::new(1);
    let fleet = COUNTER.fetch_add(1, Ordering::Relaxed);
    let process = (std::process::id() % 250) as u8 + 2;
    move |daemon| Ipv4Addr::new(127, process, fleet, daemon as u8 + 1)
}

/// A caller that may use several daemons, as the callers' page has it: it goes on to another one when
/// one refuses or does not answer.
pub fn draft_somewhere(callers: &[SocketAddr], prompt: &str) -> WholeDraft {
    draft_at(|turn| callers[turn % callers.len()], prompt)
}

/// The same; each try asks anew where to connect.
pub fn draft_at(callers: impl Fn(usize) -> SocketAddr, prompt: &str) -> WholeDraft {
    let start = Instant::now();
    let mut failures = Vec::new();
    for turn in 0.. {
        let daemon = callers(turn);
        let began = start.elapsed();
        match Client::new(daemon).whole(prompt, 100) {
            Ok(draft) => return draft,
            Err(error) => {
                let ended = start.elapsed();
                failures.push(format!("{began:?} to {ended:?} at {daemon}: {error:#}"));
            }
        }
        if PATIENCE < start.elapsed() {
            break;
        }
        thread::sleep(RETRY_INTERVAL);
    }
    let last = failures.split_off(failures.len().saturating_sub(SHOWN_FAILURES));
    panic!("no draft of {prompt:?} within {PATIENCE:?}, the last tries: {last:#?}")
}

/// Drafts of several callers at once, each with its own prompt; all must be right.
pub fn drafts_at_once(callers: &[SocketAddr], label: &str, count: usize) {
    thread::scope(|scope| {
        for i in 0..count {
            scope.spawn(move || {
                let prompt = format!("{label} {i} length=12");
                let mut turns = callers.to_vec();
                turns.rotate_left(i % callers.len());
                let draft = draft_somewhere(&turns, &prompt);
                assert_eq!(draft.text, expected_answer(&prompt, 100).concat());
            });
        }
    });
}

/// A new idempotency key that says when it was made (UUIDv7).
pub fn new_key(tail: u32) -> String {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    format!("{:08x}-{:04x}-7abc-8def-{tail:012x}", ms >> 16, ms & 0xffff)
}
