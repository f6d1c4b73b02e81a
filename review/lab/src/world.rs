//! Where a case is played: addresses, the record, and daemons as processes.

use std::{
    fs::File,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::ask;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn new(path: &Path) -> Record {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        Record(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn seconds(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        if let Ok(mut file) = self.0.lock() {
            let _ = writeln!(file, "{:8.3} {text}", self.seconds());
        }
    }

    /// Sleeps until so many seconds after the start.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.seconds();
        if 0.0 < left {
            sleep(Duration::from_secs_f64(left));
        }
    }
}

/// The processes that were started and have not been ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case without a verdict, and all processes that it started.
pub fn cannot_run(why: &str) -> ! {
    println!("cannot run: {why}");
    for id in STARTED.lock().map(|started| started.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(2);
}

/// Loopback addresses and ports of one case that nobody uses.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
    third: u8,
    pub base: u16,
}

impl Net {
    pub fn free() -> Net {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut random = (u64::from(std::process::id()) << 32) ^ since.as_nanos() as u64;
        for _ in 0..200 {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let net = Net {
                second: 16 + (random >> 33) as u8 % 200,
                third: (random >> 41) as u8,
                base: 20000 + ((random >> 24) % 8000) as u16,
            };
            let ports = [net.base, net.base + 4, net.base + 6, net.base + 10, 9100, 8080];
            let is_free =
                |host: u8| ports.iter().all(|port| TcpListener::bind(net.at(host, *port)).is_ok());
            if [1, 11, 12, 13].into_iter().all(is_free) {
                return net;
            }
        }
        cannot_run("no free loopback addresses");
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        self.at(host, self.base + 4)
    }

    pub fn ready(&self, host: u8) -> SocketAddr {
        self.at(host, self.base)
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        self.at(host, self.base + 6)
    }

    /// The first port for what daemons say to each other.
    pub fn peer_port(&self) -> u16 {
        self.base + 10
    }
}

/// A daemon as a process of its own.
pub struct Daemon {
    child: Child,
}

pub struct Site {
    pub net: Net,
    pub record: Record,
    pub root: PathBuf,
    pub dir: PathBuf,
    pub store: SocketAddr,
}

impl Site {
    /// Settings as those of a machine of kitafuji-quotes.
    pub fn settings(&self, host: u8, zone: &str, seeds: &[u8], bootstrap: bool) -> String {
        let net = self.net;
        let seeds: Vec<_> =
            seeds.iter().map(|seed| format!("\"{}\"", net.control(*seed))).collect();
        format!(
            "node = \"front-{host}\"\nrole = \"router\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"sapporo\"\n\
             portRange = [{first},{last}]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             countsLoss = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n\
             [zones]\nhall-a = \"sapporo\"\nhall-b = \"sapporo\"\nhall-c = \"sapporo\"\nhall-d = \"sapporo\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 110\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeMs = 250\n\
             skewMaxMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nrecoverS = 12\n\
             transitMs = 120\nreuseWindowS = 7.8\nrequireFence = false\nleaseMs = 3000\nthawMs = 300\n\
             [platform]\naddr = \"{store}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            ip = net.ip(host),
            first = net.peer_port(),
            last = net.peer_port() + 15,
            seeds = seeds.join(","),
            front = net.front(host),
            ready = net.ready(host),
            control = net.control(host),
            store = self.store,
        )
    }

    /// Starts a daemon by the command of the deploy file.
    pub fn start(&self, host: u8, zone: &str, seeds: &[u8], bootstrap: bool) -> Daemon {
        let settings = self.dir.join(format!("front-{host}.toml"));
        if std::fs::write(&settings, self.settings(host, zone, seeds, bootstrap)).is_err() {
            cannot_run("settings");
        }
        let log = self.dir.join(format!("front-{host}.log"));
        let child = spawn(&self.root, &settings, &log);
        self.record.note(&format!("daemon {host} starts, seeds {seeds:?}, bootstrap {bootstrap}"));
        Daemon { child }
    }

    /// Waits until a daemon says that it is ready.
    pub fn wait_ready(&self, host: u8) {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let head = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            if ask(self.net.ready(host), head, b"", Duration::from_secs(1)).status == 200 {
                self.record.note(&format!("daemon {host} is ready"));
                return;
            }
            sleep(Duration::from_millis(50));
        }
        cannot_run("a daemon does not get ready");
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).unwrap_or_default();
    let run = deploy.lines().find_map(|line| line.trim().strip_prefix("run = \""));
    let run = run.and_then(|run| run.split('"').next()).unwrap_or_else(|| cannot_run("no command"));
    let mut words = run.split(' ');
    let program = root.join(words.next().unwrap_or_default());
    let file = File::options().create(true).append(true).open(log);
    let file = file.unwrap_or_else(|_| cannot_run("log"));
    let other = file.try_clone().unwrap_or_else(|_| cannot_run("log"));
    let mut command = Command::new(program);
    command.args(words).current_dir(root).env_clear().env("BASILBANK_BOOT", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stdout(file).stderr(other);
    let child = command.spawn();
    let child = child.unwrap_or_else(|error| cannot_run(&format!("the daemon: {error}")));
    if let Ok(mut started) = STARTED.lock() {
        started.push(child.id());
    }
    child
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|id| *id != self.child.id());
        }
    }
}
