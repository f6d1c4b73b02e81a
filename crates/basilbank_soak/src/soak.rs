//! One play of one seed, from start to verdict.

use std::{
    collections::HashMap,
    fs,
    path::{Path, PathBuf},
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::call;
use rustix::process::Signal;

use crate::{
    callers::{Callers, Record},
    checks::{Coverage, Evidence, PlannedEvidence, still_at_work},
    plan::{Sizes, plan, planned},
    play::Play,
    process::Program,
    site::{ENDPOINTS, Site, wait_ready},
};

/// Longest time after the last fault until all daemons are ready.
const RECOVER: Duration = Duration::from_secs(8);

/// Pause before the calls that must all be served: entries and endpoints' questions settle.
const SETTLE: Duration = Duration::from_millis(2500);

/// Calls of each kind at each daemon at the end.
const LAST_CALLS: u32 = 8;

/// The settings' grace, and a second for the process's end.
const GRACE: Duration = Duration::from_secs(9);

/// Memory that a daemon may have at its peak: the users' bound at their size.
const PEAK_KB: u64 = 32 << 10;

/// How endpoints' streams may go on after the last caller has left.
const STILL: Duration = Duration::from_millis(1500);

/// What happens in a play.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum PlayKind {
    /// Faults of all kinds.
    #[default]
    Faults,
    /// Planned work alone, and silences of sound endpoints.
    Planned,
    /// Planned work alone.
    PlannedWithoutSilence,
}

/// What to play.
#[derive(Clone, Debug)]
pub struct Soak {
    /// What happens.
    pub kind: PlayKind,
    /// How each daemon is started.
    pub programs: Vec<Program>,
    /// Callers.
    pub callers: usize,
    /// How long they call.
    pub traffic: Duration,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Calls.
    pub calls: usize,
    /// What is wrong; empty is a pass.
    pub findings: Vec<String>,
    /// What was done.
    pub done: Vec<String>,
    /// The callers' records, if something is wrong.
    pub records: Vec<String>,
    /// How often a play of planned work came to the cases that it is for.
    pub coverage: Option<Coverage>,
}

impl Soak {
    /// Plays a seed.
    ///
    /// # Errors
    /// The site did not start.
    pub fn play(&self, seed: u64) -> anyhow::Result<Verdict> {
        fs::create_dir_all(&self.folder)?;
        let mut site = Site::start(&self.programs, &self.folder)?;
        let sizes = Sizes {
            daemons: site.daemons.len(),
            endpoints: site.places.len(),
            plain: ENDPOINTS[0].1,
            prefill: ENDPOINTS[1].1,
            traffic: self.traffic,
        };
        let addresses: Vec<_> = site.daemons.iter().map(|daemon| daemon.callers).collect();
        let (start, plan): (fn(_, _, &[_]) -> _, _) = match self.kind {
            PlayKind::Faults => (Callers::start, plan(seed, sizes)),
            PlayKind::Planned => (Callers::start_planned, planned(seed, sizes, true)),
            PlayKind::PlannedWithoutSilence => {
                (Callers::start_planned, planned(seed, sizes, false))
            }
        };
        let mut callers = start(seed, self.callers, &addresses);
        let mut play = Play::new(&mut site, &plan, Arc::clone(&callers.switches));
        let end = Instant::now() + self.traffic;
        play.run(end)?;
        callers.finish();
        let Play { begun, spans, serving, work, drains, unstarted, mut findings, done, .. } = play;
        findings.extend(still_at_work(&site, STILL));
        findings.extend(recovered(&site));
        findings.extend(stopped(&mut site));
        let records = callers.records.lock().unwrap_or_else(PoisonError::into_inner);
        let served = site.places.iter().flat_map(|place| place.all_served());
        // The last calls are no callers' records.
        let served = served.map(|(name, mut served)| {
            served.ran.retain(|request| request.header("x-attempt-id") != Some(LAST_ID));
            (name, served)
        });
        let served = served.collect();
        let evidence = Evidence { records: &records, served, spans: &spans, serving: &serving };
        findings.extend(evidence.drained(&drains));
        findings.extend(evidence.killed_at_start(&unstarted));
        let mut coverage = None;
        if self.kind == PlayKind::Faults {
            findings.extend(evidence.findings());
        } else {
            let planned = PlannedEvidence { seen: evidence, work: &work };
            findings.extend(planned.findings());
            coverage = Some(planned.coverage());
        }
        findings.extend(panics(&site));
        let lines = if findings.is_empty() { Vec::new() } else { lines(&records, begun) };
        Ok(Verdict { calls: records.len(), findings, done, records: lines, coverage })
    }

    /// Removes settings and logs.
    ///
    /// # Errors
    /// They can't be removed.
    pub fn clean(&self) -> std::io::Result<()> {
        fs::remove_dir_all(&self.folder)
    }
}

/// One line for each call, in order, with times since the play's beginning.
fn lines(records: &HashMap<String, Record>, begun: Instant) -> Vec<String> {
    let mut records: Vec<_> = records.values().collect();
    records.sort_by_key(|record| record.begun);
    let line = |record: &Record| {
        let at = record.begun.saturating_duration_since(begun).as_millis();
        let took = (record.ended - record.begun).as_millis();
        let Record { id, kind, daemon, seen, events, .. } = record;
        format!("{at:>6} ms  {id} {kind:?} daemon {daemon} took {took} ms {seen:?} {events} events")
    };
    records.into_iter().map(line).collect()
}

/// The id of the last calls.
const LAST_ID: &str = "last";

/// Every daemon serves every kind of call again.
fn recovered(site: &Site) -> Vec<String> {
    let mut findings = Vec::new();
    for (number, daemon) in site.daemons.iter().enumerate() {
        if !wait_ready(daemon.ready, RECOVER) {
            findings.push(format!("RECOVER daemon {number} is not ready"));
        }
    }
    thread::sleep(SETTLE);
    for (number, daemon) in site.daemons.iter().enumerate() {
        let newest = site.newest_route().map(|prefix| format!("GET {prefix}1"));
        let lines = ["POST /stock/1", "GET /sheet/1", "POST /draft/1"];
        for line in lines.into_iter().chain(newest.as_deref()) {
            for _ in 0..LAST_CALLS {
                let status = last_call(daemon.callers, line);
                if status != Some(200) {
                    findings.push(format!("RECOVER daemon {number} gave {status:?} to {line}"));
                }
            }
        }
    }
    findings
}

fn last_call(to: std::net::SocketAddr, line: &str) -> Option<u16> {
    let mut headers =
        vec![("host", "shop.example"), ("x-attempt-id", LAST_ID), ("x-deadline-remaining", "4000")];
    if line.contains("draft") {
        headers.extend([("x-token-counts", "1000,5"), ("x-prompt-prefix", "ab:1000")]);
    }
    call(to, line, &headers, b"x").ok().map(|answer| answer.status)
}

/// SIGTERM to all: each ends by itself in time, and none has used too much memory.
fn stopped(site: &mut Site) -> Vec<String> {
    let mut findings = Vec::new();
    for (number, daemon) in site.daemons.iter_mut().enumerate() {
        let Some(process) = &mut daemon.process else { continue };
        match process.peak_kb() {
            Some(peak) if PEAK_KB < peak => {
                findings.push(format!("MEMORY daemon {number} had {peak} KB"));
            }
            _ => {}
        }
        process.signal(Signal::TERM);
    }
    for (number, daemon) in site.daemons.iter_mut().enumerate() {
        let Some(process) = &mut daemon.process else { continue };
        match process.wait(GRACE) {
            Some(status) if status.success() => {}
            Some(status) => findings.push(format!("STOP daemon {number} ended with {status}")),
            None => findings.push(format!("STOP daemon {number} still runs after {GRACE:?}")),
        }
    }
    findings
}

fn panics(site: &Site) -> Vec<String> {
    let mut findings = Vec::new();
    for (number, daemon) in site.daemons.iter().enumerate() {
        let text = read(&daemon.log);
        findings.extend(
            text.lines()
                .filter(|line| line.contains("panicked"))
                .map(|line| format!("PANIC daemon {number}: {line}")),
        );
    }
    findings
}

fn read(path: &Path) -> String {
    // A daemon that wrote nothing has no log.
    fs::read_to_string(path).unwrap_or_default()
}
