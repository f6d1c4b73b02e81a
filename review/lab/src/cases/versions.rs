//! Streams go on at a runner that has started again with another version of its software.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use super::{parts_of, start_runner, start_store, stream_body, stream_head};
use crate::{
    http::{Seen, ask},
    world::Site,
};

const DAEMONS: [u8; 2] = [11, 12];
const STREAMS: u64 = 32;
const EVENTS: u64 = 150;

/// The events of a stream: number and version of each.
fn events(seen: &Seen) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(&seen.body).into_owned();
    let mut events = Vec::new();
    for part in text.split("\n\n").filter(|part| part.contains("data: ")) {
        let number = part.lines().find_map(|line| line.strip_prefix("id: "));
        let version = part.lines().find_map(|line| line.strip_prefix("data: "));
        let version = version.and_then(|data| data.split(' ').next()).unwrap_or("");
        events.push((number.and_then(|n| n.parse().ok()).unwrap_or(0), version.to_owned()));
    }
    events
}

pub fn play(site: &Site, trouble: bool) -> Vec<String> {
    let store = start_store(site);
    let others =
        [(21, "prefill", "v1"), (22, "prefill", "v2"), (25, "decode", "v2"), (26, "decode", "v2")]
            .map(|(host, stage, version)| start_runner(site, &store, host, stage, version));
    // Those that are released: they start again under their ids, one after the other.
    let released = [23, 24].map(|host| start_runner(site, &store, host, "decode", "v1"));
    let daemons = DAEMONS.map(|host| site.start(host, "hall-a", &DAEMONS, true));
    DAEMONS.iter().for_each(|host| site.wait_ready(*host));
    let mixed = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let (net, record, mixed) = (site.net, site.record.clone(), mixed.clone());
        callers.push(thread::spawn(move || {
            let (mut all, mut began, mut versions) = (Vec::new(), String::new(), BTreeSet::new());
            for attempt in 0..2u64 {
                let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number * 16 + attempt);
                let last = all.last().map_or(0, |(n, _): &(u64, String)| *n);
                let more = match last {
                    0 => String::new(),
                    last => format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n"),
                };
                let to = DAEMONS[((number + attempt) % 2) as usize];
                record.note(&format!("client {number} sends {id} to daemon {to} after {last}"));
                let head = stream_head("/pufi791/", &id, number as usize, EVENTS, &more);
                let seen = ask(
                    net.front(to),
                    &head,
                    &stream_body(&parts_of(number as usize)),
                    Duration::from_secs(3),
                );
                let came = if seen.status == 200 { events(&seen) } else { Vec::new() };
                if began.is_empty() && !came.is_empty() {
                    began = id.clone();
                }
                versions.extend(came.iter().map(|(_, version)| version.clone()));
                let whole = seen.whole && seen.status == 200;
                record.note(&format!(
                    "client {number} gets {} for {id}, whole {whole}, {} events, {:?} {}",
                    seen.status,
                    came.len(),
                    versions,
                    seen.error
                ));
                all.extend(came);
                if whole {
                    break;
                }
                let pause = seen.head.get("retry-after").and_then(|text| text.parse().ok());
                sleep(Duration::from_secs_f64(pause.unwrap_or(0.3f64).min(1.5)));
            }
            if 1 < versions.len()
                && let Ok(mut mixed) = mixed.lock()
            {
                mixed.push(format!("client {number}: {versions:?}"));
            }
        }));
        sleep(Duration::from_millis(50));
    }
    let begun = site.record.seconds();
    if trouble {
        site.record.note("the store is busy");
        store.set_down(true);
    }
    for (number, runner) in released.iter().enumerate() {
        site.record.wait_until(begun + 0.1 + 2.5 * number as f64);
        runner.crash();
        sleep(Duration::from_millis(1000));
        runner.start_again("v2");
    }
    site.record.wait_until(begun + 4.5);
    store.set_down(false);
    site.record.note("the store answers");
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop((daemons, others));
    let mixed = mixed.lock().map(|mixed| mixed.clone()).unwrap_or_default();
    match mixed.len() {
        ..=2 => Vec::new(),
        _ => mixed.iter().map(|one| format!("ORDER: events of two versions: {one}")).collect(),
    }
}
