//! What a daemon adds to calls, and what it holds for open streams.

use std::{
    fs,
    io::{self, BufRead, BufReader, Write},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use basilbank::Daemon;
use basilbank_standin::{Client, EngineSpec, Faults, Site, SiteSpec};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{demo::wait_ready, local::process_figure, serve::write_settings};

const DRAFTS: usize = 20;
const TOKENS: u32 = 100;
const PLAIN_CALLS: usize = 1000;
const STREAMS: usize = 200;
const START: Duration = Duration::from_secs(60);

/// A daemon that somebody else starts, so that its memory can be told from the stand-ins'.
#[derive(Clone, Debug)]
pub struct Separate {
    /// Its settings are written here.
    pub settings: PathBuf,
    /// Its process id is read from here.
    pub pid: PathBuf,
}

/// Microseconds.
struct Latencies(Histogram<u64>);

/// One site and a caller of its daemon.
struct Bench {
    site: Site,
    client: Client,
    direct: ureq::Agent,
}

/// Measures and prints one `name=value` line for each figure.
///
/// # Errors
/// Something did not start, or a call failed.
pub fn run(separate: Option<&Separate>) -> anyhow::Result<()> {
    let engine = EngineSpec::default().with_slots(STREAMS);
    let spec = SiteSpec { prefills: 2, decodes: 2, plains: 1, engine };
    let site = Site::start(&spec)?;
    let (callers, own) = match separate {
        Some(separate) => (write_settings(&site, &separate.settings)?, None),
        None => {
            let mut settings = site.settings("entry-1");
            "error".clone_into(&mut settings.log.level);
            let daemon = Daemon::start(settings)?;
            site.list_vms(&[("entry-1".to_owned(), daemon.peers())]);
            (daemon.callers(), Some(daemon))
        }
    };
    let direct = ureq::Agent::new_with_defaults();
    let bench = Bench { site, client: Client::new(callers), direct };
    let pid = separate.map(|s| wait_for_pid(&s.pid)).transpose()?;
    wait_ready(&bench.client)?;
    bench.measure_tokens()?;
    bench.measure_plain()?;
    if let Some(pid) = pid {
        bench.measure_memory(pid)?;
    }
    if let Some(daemon) = own {
        daemon.shutdown();
        daemon.wait()?;
    }
    Ok(())
}

fn wait_for_pid(file: &Path) -> anyhow::Result<u32> {
    let start = Instant::now();
    loop {
        if let Ok(text) = fs::read_to_string(file)
            && let Ok(pid) = text.trim().parse()
        {
            return Ok(pid);
        }
        ensure!(start.elapsed() < START, "no process id in {}", file.display());
        thread::sleep(Duration::from_millis(20));
    }
}

impl Bench {
    /// From a token's generation at the engine until the caller has it; directly and through the
    /// daemon in turns.
    fn measure_tokens(&self) -> anyhow::Result<()> {
        let (mut direct, mut routed) = (Latencies::new()?, Latencies::new()?);
        for i in 0..DRAFTS {
            let (request, arrived) = self.direct_draft(i)?;
            self.record(&mut direct, &request, &arrived)?;
            let mut stream = self.client.stream(&format!("measure length={TOKENS}"), TOKENS)?;
            let mut arrived = Vec::new();
            while stream.next().transpose()?.is_some() {
                arrived.push(Instant::now());
            }
            self.record(&mut routed, &stream.request, &arrived)?;
        }
        report("token", &direct, &routed)
    }

    fn record(
        &self,
        latencies: &mut Latencies,
        request: &str,
        arrived: &[Instant],
    ) -> anyhow::Result<()> {
        let all = self.site.decodes.iter().map(|engine| engine.token_times(request));
        let made = all.max_by_key(Vec::len).unwrap_or_default();
        ensure!(made.len() == TOKENS as usize && made.len() == arrived.len(), "tokens are missing");
        for (made, arrived) in made.iter().zip(arrived) {
            latencies.add(arrived.saturating_duration_since(*made))?;
        }
        Ok(())
    }

    /// Drafts at the engines without a daemon.
    fn direct_draft(&self, number: usize) -> anyhow::Result<(String, Vec<Instant>)> {
        let request = format!("{number:016x}");
        let (prefill, decode) = (self.site.prefills[0].address(), self.site.decodes[0].address());
        let owner = json!({ "vm": "0000000000000001", "incarnation": 1 });
        let body = json!({
            "request": request, "attempt": 0, "owner": owner, "model": "writer",
            "prompt": format!("measure length={TOKENS}"),
        });
        let mut answer =
            self.direct.post(format!("http://{prefill}/prefill")).send(body.to_string())?;
        let kv: Value = serde_json::from_str(&answer.body_mut().read_to_string()?)?;
        let body = json!({
            "request": request, "attempt": 0, "owner": owner, "model": "writer",
            "source": prefill, "handle": kv["handle"], "max_tokens": TOKENS,
        });
        let answer = self.direct.post(format!("http://{decode}/decode")).send(body.to_string())?;
        let mut reader = BufReader::new(answer.into_body().into_reader());
        let mut arrived = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            ensure!(line.ends_with('\n'), "a direct draft was cut off");
            if line.starts_with("{\"done\"") {
                return Ok((request, arrived));
            }
            if line.starts_with("{\"offset\"") {
                arrived.push(Instant::now());
            }
        }
    }

    fn measure_plain(&self) -> anyhow::Result<()> {
        let (mut direct, mut routed) = (Latencies::new()?, Latencies::new()?);
        let url = format!("http://{}/desk/stock/OAK-40", self.site.plains[0].address());
        for _ in 0..PLAIN_CALLS {
            let start = Instant::now();
            self.direct.get(&url).call()?.body_mut().read_to_string()?;
            direct.add(start.elapsed())?;
            let start = Instant::now();
            let (status, _) = self.client.json("GET", "/desk/stock/OAK-40", "")?;
            routed.add(start.elapsed())?;
            ensure!(status == 200, "a plain call was answered {status}");
        }
        report("plain", &direct, &routed)
    }

    /// The daemon's memory before, while and after streams are held open.
    fn measure_memory(&self, pid: u32) -> anyhow::Result<()> {
        let mut out = io::stdout();
        let mut figure = |when: &str| -> anyhow::Result<()> {
            writeln!(out, "rss_{when}_kb={}", process_figure(pid, "VmRSS:")?)?;
            writeln!(out, "threads_{when}={}", process_figure(pid, "Threads:")?)?;
            Ok(())
        };
        figure("idle")?;
        let hold = |stall_after| {
            for engine in &self.site.decodes {
                engine.set_faults(Faults { stall_after, ..Faults::default() });
            }
        };
        hold(Some(10));
        let mut streams = Vec::new();
        for i in 0..STREAMS {
            let mut stream = self.client.stream(&format!("stream {i} length=20"), 20)?;
            stream.next().context("no token")??;
            streams.push(stream);
        }
        figure(&format!("{STREAMS}_streams"))?;
        hold(None);
        for stream in streams {
            ensure!(stream.rest()?.len() == 19, "a held stream was cut short");
        }
        figure("after")
    }
}

impl Latencies {
    fn new() -> anyhow::Result<Latencies> {
        Ok(Latencies(Histogram::new(3)?))
    }

    fn add(&mut self, latency: Duration) -> anyhow::Result<()> {
        Ok(self.0.record(u64::try_from(latency.as_micros())?)?)
    }
}

fn report(name: &str, direct: &Latencies, routed: &Latencies) -> anyhow::Result<()> {
    let mut out = io::stdout();
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let [direct, routed] = [direct, routed].map(|l| l.0.value_at_quantile(quantile));
        writeln!(out, "{name}_direct_{label}_us={direct}")?;
        writeln!(out, "{name}_routed_{label}_us={routed}")?;
        writeln!(out, "{name}_added_{label}_us={}", routed.saturating_sub(direct))?;
    }
    writeln!(out, "{name}_count={}", routed.0.len())?;
    Ok(())
}
