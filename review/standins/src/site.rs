//! A small deployment on loopback addresses: a store, runners, and daemons with the deploy file's
//! command, each as a process. Dropping it ends them.

use std::fs;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::record::Record;
use crate::runner::Spec;
use crate::store::Store;

/// Ports of a machine, the same on all.
#[derive(Clone, Copy)]
struct Ports {
    first: u16,
}

impl Ports {
    const METRICS: u16 = 9100;

    fn ready(self) -> u16 {
        self.first
    }

    fn front(self) -> u16 {
        self.first + 1
    }

    fn control(self) -> u16 {
        self.first + 2
    }

    fn range(self) -> (u16, u16) {
        (self.first + 3, self.first + 18)
    }
}

pub struct Daemon {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    process: Option<Child>,
}

pub struct RunnerProcess {
    pub id: String,
    process: Child,
    input: ChildStdin,
}

pub struct Site {
    pub record: Record,
    record_path: PathBuf,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub runners: Vec<RunnerProcess>,
    net: (u8, u8),
    ports: Ports,
    folder: PathBuf,
}

impl Site {
    /// Starts the store, with a configuration.
    pub fn start(record_path: &Path, configuration: &str) -> io::Result<Site> {
        let record = Record::open(record_path)?;
        let folder = std::env::temp_dir().join(format!("basilbank-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (net, ports) = free_net()?;
        let store_ip = Ipv4Addr::new(127, net.0, net.1, 200);
        let store = Store::start(SocketAddr::new(store_ip.into(), ports.front()))?;
        store.put("op/config", configuration.as_bytes());
        let (daemons, runners) = (vec![], vec![]);
        let record_path = record_path.to_owned();
        Ok(Site { record, record_path, store, daemons, runners, net, ports, folder })
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    /// Returns the control addresses of daemons, by their numbers, as a list of seeds.
    pub fn seeds(&self, numbers: &[u8]) -> Vec<SocketAddr> {
        let address = |n: &u8| SocketAddr::new(self.ip(n + 1).into(), self.ports.control());
        numbers.iter().map(address).collect()
    }

    /// Adds a daemon that doesn't run yet.
    pub fn add_daemon(&mut self) {
        let number = self.daemons.len() as u8;
        let name = format!("front-hall-a-{}", number + 1);
        let settings = self.folder.join(format!("{name}.toml"));
        self.daemons.push(Daemon { name, ip: self.ip(number + 1), settings, process: None });
    }

    /// Writes a daemon's settings file, as DEPLOY.md has it.
    pub fn write_settings(
        &self,
        n: usize,
        seeds: &[SocketAddr],
        bootstrap: bool,
    ) -> io::Result<()> {
        let Daemon { name, ip, settings, .. } = &self.daemons[n];
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let (first, last) = self.ports.range();
        let (front, ready, control) =
            (self.ports.front(), self.ports.ready(), self.ports.control());
        let text = format!(
            r#"node = "{name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "hall-a"
region = "sapporo"
portRange = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
countsLoss = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
hall-a = "sapporo"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 110
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
skewMaxMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
transitMs = 120
reuseWindowS = 7.8
requireFence = false
leaseMs = 3000
thawMs = 300
[platform]
addr = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            store = self.store.address,
        );
        // A reader never finds half a file.
        let draft = settings.with_extension("draft");
        fs::write(&draft, text)?;
        fs::rename(draft, settings)
    }

    /// Starts a daemon with the deploy file's command.
    pub fn start_daemon(&mut self, n: usize) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.daemons[n].name)))?;
        let daemon = &mut self.daemons[n];
        let process = Command::new("target/release/basilbankd")
            .args(["--platform", "--metrics", &Ports::METRICS.to_string()])
            .env("BASILBANK_BOOT", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("daemon {} starts", daemon.name));
        daemon.process = Some(process);
        Ok(())
    }

    /// Waits until a daemon says that it is ready.
    pub fn wait_ready(&self, n: usize) -> io::Result<()> {
        let ready = SocketAddr::new(self.daemons[n].ip.into(), self.ports.ready());
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let answer = exchange(ready, request, Duration::from_secs(1), |_| {});
            if answer.is_ok_and(|(head, _)| head.status() == 200) {
                self.record.line(&format!("daemon {} is ready", self.daemons[n].name));
                return Ok(());
            }
            if end < Instant::now() {
                return Err(io::Error::other("a daemon is not ready"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns where clients connect to a daemon.
    pub fn front(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.daemons[n].ip.into(), self.ports.front())
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill_daemon(&mut self, n: usize) -> io::Result<()> {
        let daemon = &mut self.daemons[n];
        if let Some(mut process) = daemon.process.take() {
            process.kill()?;
            process.wait()?;
            self.record.line(&format!("daemon {} killed (SIGKILL)", daemon.name));
        }
        Ok(())
    }

    /// Tells a daemon by SIGHUP that its settings file has changed.
    pub fn hang_up(&self, n: usize) -> io::Result<()> {
        let Some(process) = &self.daemons[n].process else { return Ok(()) };
        signal(process, "HUP")?;
        self.record.line(&format!("daemon {} gets SIGHUP", self.daemons[n].name));
        Ok(())
    }

    /// Starts a runner; `spec.listen` and `spec.store` are set here.
    pub fn start_runner(&mut self, spec: Spec) -> io::Result<()> {
        let ip = self.ip(100 + self.runners.len() as u8);
        let listen = SocketAddr::new(ip.into(), self.ports.front());
        let spec = Spec { listen, store: self.store.address, ..spec };
        let mut process = Command::new(std::env::current_exe()?)
            .arg("runner")
            .arg(&self.record_path)
            .args(spec.to_args())
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        let input = process.stdin.take().ok_or_else(|| io::Error::other("no input"))?;
        let Spec { id, version, .. } = spec;
        self.record.line(&format!("runner {id} ({version}) starts"));
        self.runners.push(RunnerProcess { id, process, input });
        Ok(())
    }

    /// Waits until all runners are listed.
    pub fn wait_listed(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(10);
        while self.store.listed().len() < self.runners.len() {
            if end < Instant::now() {
                return Err(io::Error::other("a runner is not listed"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Returns the last lines of the daemons' logs that hold one of these words.
    pub fn copy_logs(&self, words: &[&str]) {
        for daemon in &self.daemons {
            let path = self.folder.join(format!("{}.log", daemon.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                self.record.line(&format!("log of {}: {line}", daemon.name));
            }
        }
    }
}

impl RunnerProcess {
    /// Sends a command: `drain` or `leave`.
    pub fn tell(&mut self, command: &str) -> io::Result<()> {
        writeln!(self.input, "{command}")
    }

    /// Sends the process a signal: `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        signal(&self.process, name)
    }

    pub fn kill(&mut self) -> io::Result<()> {
        self.process.kill()?;
        self.process.wait().map(drop)
    }
}

/// Sends a signal by the shell's own command.
fn signal(process: &Child, name: &str) -> io::Result<()> {
    let command = format!("kill -{name} {}", process.id());
    match Command::new("sh").args(["-c", &command]).status()?.success() {
        true => Ok(()),
        false => Err(io::Error::other("a signal could not be sent")),
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for n in 0..self.daemons.len() {
            let _ = self.kill_daemon(n);
        }
        for runner in &mut self.runners {
            let _ = runner.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Finds a network 127.x.y.0 and ports that are free on it.
fn free_net() -> io::Result<((u8, u8), Ports)> {
    let start = std::process::id();
    for n in 0..200 {
        let number = start.wrapping_add(n * 7919);
        let net = (20 + (number % 200) as u8, (number / 200 % 250) as u8);
        let ports = Ports { first: 7600 + (number % 50) as u16 * 20 };
        let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 1));
        let is_free =
            |port| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        let (first, last) = (ports.first, ports.range().1);
        if (first..=last).all(is_free) && is_free(Ports::METRICS) {
            return Ok((net, ports));
        }
    }
    Err(io::Error::other("no free ports"))
}
