//! What must hold, by what callers and endpoints saw.

mod overload;
mod planned;
mod versions;

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use basilbank_standin::managed::{Arrival, Request, Served};

pub use self::planned::{Coverage, PlannedEvidence};
use crate::{
    callers::{Kind, Record, Seen, body},
    play::{Drain, Serving, Span, Trouble, Unstarted},
    site::Site,
};

/// Statuses that say that a call has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Longest time of a call: what its caller waits, and the margin of the users' rules.
const LONGEST: Duration = Duration::from_millis(4500);

/// How long after its caller's patience a call's answer is too late.
const LATE: Duration = Duration::from_millis(500);

/// How long after trouble its effects may be seen.
const AFTER: Duration = Duration::from_millis(1500);

/// Connections that a daemon may close in one play as a call is on its way.
const CROSSED: usize = 3;

/// The settings' bound of calls beyond the first.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 400.0;

/// The settings' time in which daemons act on news.
const CONTACT: Duration = Duration::from_secs(3);

/// The window in which an endpoint's calls are counted, and how many more than one and a half times its limit
/// it bears in it.
const WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SLACK: f64 = 5.0;

/// How long a daemon may send calls to an endpoint after an answer said that it leaves.
const DRAIN: Duration = Duration::from_secs(2);

/// When an endpoint's pause begins, after it has asked for it, and the requests that it bears in it.
const PAUSE_BEGINS: Duration = Duration::from_millis(500);
const PAUSE_SLACK: usize = 2;

/// Calls that may fail at daemons that are cut off, whatever others serve: a number, and one in so many.
const CUT_SLACK: usize = 10;
const CUT_SHARE: usize = 50;

/// All that was seen in a play.
pub struct Evidence<'a> {
    /// Calls by id.
    pub records: &'a HashMap<String, Record>,
    /// What each instance of an endpoint served.
    pub served: Vec<(String, Served)>,
    /// Times of trouble.
    pub spans: &'a [Span],
    /// Times in which decode endpoints served.
    pub serving: &'a [Serving],
}

impl Evidence<'_> {
    /// What is wrong: the rule's name first.
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let runs = self.runs();
        let mut findings = Vec::new();
        self.unasked(&mut findings);
        self.orders(&mut findings);
        self.budget(&runs, &mut findings);
        self.crashes(&mut findings);
        self.crashes_by_part(&mut findings);
        self.crowds(&mut findings);
        self.limits(&mut findings);
        self.leaving(&mut findings);
        self.pauses(&mut findings);
        self.cut_off(&mut findings);
        self.kv_versions(&mut findings);
        self.resumed(&mut findings);
        for record in self.records.values() {
            let ran = runs.get(record.id.as_str()).copied().unwrap_or(0);
            findings.extend(self.call(record, ran));
        }
        self.crossed(&runs, &mut findings);
        findings.sort();
        findings
    }

    /// How often each call ran.
    fn runs(&self) -> HashMap<&str, usize> {
        let mut runs = HashMap::new();
        for request in self.served.iter().flat_map(|(_, served)| &served.ran) {
            *runs.entry(request.header("x-attempt-id").unwrap_or_default()).or_default() += 1;
        }
        runs
    }

    fn call(&self, record: &Record, ran: usize) -> Option<String> {
        let most = if matches!(record.kind, Kind::Stock | Kind::Once) { 1 } else { 2 };
        if most < ran {
            return Some(format!("TWICE {} ran {ran} times", of(record)));
        }
        match &record.seen {
            Seen::Wrong(what) => Some(format!("MIXED {}: {what}", of(record))),
            Seen::OtherVersion(what) => Some(format!("ORDER {}: {what}", of(record))),
            Seen::Status(status) if PROMISES.contains(status) && ran != 0 => {
                Some(format!("REFUSED {} got {status} and ran", of(record)))
            }
            Seen::Nothing if !self.excused(record) => {
                Some(format!("ANSWER {} got none", of(record)))
            }
            Seen::Closed if ran != 0 && !self.excused(record) => {
                Some(format!("LOST {} ran, and its connection ended without an answer", of(record)))
            }
            Seen::Status(_)
                if LONGEST.max(record.patience + LATE) < record.ended - record.begun
                    && !self.excused(record) =>
            {
                Some(format!("LATE {} took {:?}", of(record), record.ended - record.begun))
            }
            _ => None,
        }
    }

    /// Its daemon was down or stood still on the way.
    fn excused(&self, record: &Record) -> bool {
        self.spans.iter().any(|span| {
            span.daemon == record.daemon
                && matches!(span.trouble, Trouble::Down | Trouble::Paused)
                && span.from <= record.ended
                && span.to.is_none_or(|to| record.begun <= to + AFTER)
        })
    }

    /// Connections that were closed as a call was on its way, without it being passed on. New ones may be
    /// closed unread by a daemon that is behind.
    fn crossed(&self, runs: &HashMap<&str, usize>, findings: &mut Vec<String>) {
        let mut closed: HashMap<usize, usize> = HashMap::new();
        let leaves = |record: &Record| {
            self.spans.iter().any(|span| {
                span.daemon == record.daemon
                    && span.trouble == Trouble::Leaving
                    && span.from <= record.ended
                    && span.to.is_none_or(|to| record.begun <= to)
            })
        };
        for record in self.records.values() {
            let ran = runs.contains_key(record.id.as_str());
            let is_kept = record.seen == Seen::Closed && !record.is_first;
            if is_kept && !ran && !self.excused(record) && !leaves(record) {
                *closed.entry(record.daemon).or_default() += 1;
            }
        }
        for (daemon, count) in closed.into_iter().filter(|(_, count)| CROSSED < *count) {
            findings.push(format!("LOST daemon {daemon} closed {count} connections in use"));
        }
    }

    fn unasked(&self, findings: &mut Vec<String>) {
        for (instance, served) in &self.served {
            for request in &served.ran {
                let id = request.header("x-attempt-id").unwrap_or_default();
                let asked = self.records.get(id).is_some_and(|record| is_asked(record, request));
                if !asked {
                    let line = format!("{} {}", request.method, request.target);
                    findings.push(format!("UNASKED {instance} ran {line} as {id:?}"));
                }
            }
        }
    }

    /// One holder gives orders, and its fencing numbers rise.
    fn orders(&self, findings: &mut Vec<String>) {
        let orders = |served: &Served| served.orders.clone();
        let all = self.served.iter().flat_map(|(_, served)| orders(served));
        let holders: HashSet<_> = all.map(|order| order["holder"].to_string()).collect();
        if 1 < holders.len() {
            findings.push(format!("ONE orders of {holders:?}"));
        }
        for (instance, served) in &self.served {
            let fences: Vec<_> = served.orders.iter().map(|o| o["fence"].as_u64()).collect();
            if fences.windows(2).any(|pair| pair[1] <= pair[0]) {
                findings.push(format!("ONE {instance} saw fences {fences:?}"));
            }
        }
    }

    fn budget(&self, runs: &HashMap<&str, usize>, findings: &mut Vec<String>) {
        let extra: usize = runs.values().map(|ran| ran - 1).sum();
        let bound = RETRY_RATIO * self.records.len() as f64 + RETRY_SLACK;
        if bound < extra as f64 {
            findings.push(format!("BUDGET {extra} calls beyond the first of {bound}"));
        }
    }
}

impl Evidence<'_> {
    /// An endpoint's limit is for all daemons together.
    fn limits(&self, findings: &mut Vec<String>) {
        for (instance, served) in &self.served {
            let Some(first) = served.limited.first().map(|(at, ..)| *at) else { continue };
            let counts = |(at, _, id): &&(Instant, f64, String)| {
                first + CONTACT < *at && self.in_touch(id, *at)
            };
            let calls: Vec<_> = served.limited.iter().filter(counts).collect();
            for (n, (begin, rate, _)) in calls.iter().enumerate() {
                let in_window = |call: &&&(Instant, f64, String)| call.0 < *begin + WINDOW;
                let got = calls[n..].iter().take_while(in_window).count();
                let allowed = rate * WINDOW.as_secs_f64() * 1.5 + LIMIT_SLACK;
                if allowed < got as f64 {
                    let what = format!("{got} calls in {WINDOW:?}, allowed {allowed}");
                    findings.push(format!("LIMIT {instance} got {what}"));
                    break;
                }
            }
        }
    }

    /// A daemon that has passed on an answer which says that an endpoint leaves sends it nothing new.
    fn leaving(&self, findings: &mut Vec<String>) {
        for (instance, served) in &self.served {
            let mut told = HashMap::new();
            for (_, id) in &served.ran_leaving {
                let Some(record) = self.records.get(id) else { continue };
                let answered = *told.entry(record.daemon).or_insert(record.ended);
                let is_late = answered + DRAIN < record.begun;
                if is_late && !self.was_stopped(record.daemon, answered, record.begun) {
                    let what = format!("{:?} after an answer had said so", record.begun - answered);
                    findings.push(format!("DRAIN {instance} leaves and got {} {what}", of(record)));
                }
            }
        }
    }

    /// An endpoint runs nothing after its drain time that a daemon in touch has sent it. One that has just
    /// started may have read that it is ready in a store that came back from a copy.
    #[must_use]
    pub fn drained(&self, drains: &[Drain]) -> Vec<String> {
        let is_late = |id: &&String| {
            self.records.get(*id).is_none_or(|record| self.in_touch(&record.id, record.begun))
        };
        let late =
            |drain: &Drain| (drain.instance.clone(), drain.late.iter().filter(is_late).count());
        let found = drains.iter().map(late).filter(|(_, count)| *count != 0);
        found
            .map(|(name, count)| format!("DRAIN {name} ran {count} calls after its drain time"))
            .collect()
    }

    /// A SIGTERM kills a process only before it has set its handlers, so that none of its callers has had a
    /// connection.
    #[must_use]
    pub fn killed_at_start(&self, unstarted: &[Unstarted]) -> Vec<String> {
        let finding = |process: &Unstarted| {
            let connected = self.records.values().find(|record| {
                let is_during = process.from <= record.begun && record.begun <= process.to;
                record.daemon == process.daemon
                    && record.is_first
                    && is_during
                    && record.seen != Seen::Unreachable
            })?;
            let what = format!("ended with {} and had accepted {}", process.status, of(connected));
            Some(format!("STOP daemon {} {what}", process.daemon))
        };
        unstarted.iter().filter_map(finding).collect()
    }

    /// A daemon that an endpoint has asked for a pause sends it hardly anything until its end.
    fn pauses(&self, findings: &mut Vec<String>) {
        for (instance, served) in &self.served {
            for asked in &served.asked_pauses {
                let Some(record) = self.records.get(&asked.id) else { continue };
                let (from, to) = (asked.at + PAUSE_BEGINS, asked.at + asked.pause);
                let is_of = |id: &str| {
                    self.records.get(id).is_some_and(|other| other.daemon == record.daemon)
                };
                let in_pause =
                    |arrival: &&Arrival| from < arrival.at && arrival.at < to && is_of(&arrival.id);
                let got = served.arrived.iter().filter(in_pause).count();
                if PAUSE_SLACK < got && !self.was_stopped(record.daemon, asked.at, to) {
                    let what = format!("{got} requests in a pause of {:?}", asked.pause);
                    findings.push(format!("BUDGET {instance} got {what}, asked by {}", of(record)));
                    break;
                }
            }
        }
    }

    /// Callers at daemons that are cut off from endpoints are served nearly as often as others, while a daemon
    /// that isn't cut off is there to make their calls.
    fn cut_off(&self, findings: &mut Vec<String>) {
        let is_cut = |record: &Record, after: Duration| {
            self.spans.iter().any(|span| {
                span.daemon == record.daemon
                    && span.trouble == Trouble::NoPaths
                    && span.from + after <= record.begun
                    && span.to.is_none_or(|to| record.begun < to)
            })
        };
        let in_cut = |at: Instant| {
            let mut cuts = self.spans.iter().filter(|span| span.trouble == Trouble::NoPaths);
            cuts.any(|span| span.from + CONTACT <= at && span.to.is_none_or(|to| at < to))
        };
        let (mut cut, mut others) = ((0, 0), (0, 0));
        for record in self.records.values() {
            let is_meant =
                !matches!(record.kind, Kind::Left | Kind::Deadly | Kind::DeadlyPart | Kind::Crowd)
                    && record.seen != Seen::Left
                    && record.resumed.is_none();
            let is_meant = is_meant && self.has_path(record);
            if !is_meant || !in_cut(record.begun) || !self.in_touch(&record.id, record.begun) {
                continue;
            }
            let served = usize::from(record.seen == Seen::Served);
            if is_cut(record, CONTACT) {
                cut = (cut.0 + 1, cut.1 + served);
            } else if !is_cut(record, Duration::ZERO) {
                others = (others.0 + 1, others.1 + served);
            }
        }
        let part = |(all, served): (usize, usize)| served as f64 / all.max(1) as f64;
        let failed = cut.0 - cut.1;
        let borne = CUT_SLACK + (cut.0 + others.0) / CUT_SHARE;
        if borne < failed && part(cut) < part(others) * 2.0 / 3.0 {
            let what = format!("{} of {} calls, others {} of {}", cut.1, cut.0, others.1, others.0);
            findings.push(format!("RECOVER daemons that were cut off served {what}"));
        }
    }

    /// The daemon of a call could reach the endpoints as the call came and as it ended, by itself or by one in
    /// touch.
    fn has_path(&self, record: &Record) -> bool {
        [record.begun, record.ended].into_iter().all(|at| self.had_path(record.daemon, at))
    }

    fn had_path(&self, daemon: usize, at: Instant) -> bool {
        let is_cut = |daemon: usize| {
            self.spans.iter().any(|span| {
                span.daemon == daemon
                    && span.trouble == Trouble::NoPaths
                    && span.from <= at
                    && span.to.is_none_or(|to| at < to)
            })
        };
        let is_there =
            |daemon: usize| !is_cut(daemon) && !self.was_stopped(daemon, at - CONTACT, at);
        !is_cut(daemon) || self.records.values().any(|other| is_there(other.daemon))
    }

    /// The daemon was killed or stood still between two moments.
    fn was_stopped(&self, daemon: usize, from: Instant, to: Instant) -> bool {
        self.spans.iter().any(|span| {
            span.daemon == daemon
                && span.trouble.stops()
                && span.from <= to
                && span.to.is_none_or(|end| from <= end)
        })
    }

    /// The daemon of a call could read the store for some time before.
    fn had_store(&self, record: &Record, at: Instant) -> bool {
        !self.spans.iter().any(|span| {
            span.daemon == record.daemon
                && span.trouble == Trouble::NoStore
                && span.from <= at
                && span.to.is_none_or(|to| at <= to + CONTACT)
        })
    }

    /// The daemon that sent a call had no trouble of its own for some time before.
    fn in_touch(&self, id: &str, at: Instant) -> bool {
        let Some(record) = self.records.get(id) else { return false };
        !self.spans.iter().any(|span| {
            span.daemon == record.daemon
                && span.trouble.stops()
                && span.from <= at
                && span.to.is_none_or(|to| at <= to + CONTACT)
        })
    }
}

fn of(record: &Record) -> String {
    format!("{} ({:?}, daemon {}, {})", record.id, record.kind, record.daemon, record.line)
}

fn is_asked(record: &Record, request: &Request) -> bool {
    let line = format!("{} {}", request.method, request.target);
    line == record.line && request.body == body(record.kind, record.name()).as_bytes()
}

/// Endpoints that still send streams although no caller is left.
#[must_use]
pub fn still_at_work(site: &Site, limit: Duration) -> Vec<String> {
    let end = Instant::now() + limit;
    loop {
        let active = site.places.iter().map(|place| (place, place.endpoint.served().active));
        let busy: Vec<_> = active.filter(|(_, active)| *active != 0).collect();
        if busy.is_empty() || end <= Instant::now() {
            let finding = |(place, active): &(&crate::site::Place, u32)| {
                format!("GONE {} still sends {active} streams", place.endpoint.instance())
            };
            return busy.iter().map(finding).collect();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
