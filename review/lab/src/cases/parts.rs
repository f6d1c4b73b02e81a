//! Requests that share a part which crashes runners, the 17th of their prompts.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

use super::{prompt_head, start_runner, start_store, stream_body};
use crate::{http::ask, world::Site};

const DAEMONS: [u8; 2] = [11, 12];
const BAD: u64 = 0x91bd_3f06;
/// The bound of the settings in seconds.
const CONTACT_S: f64 = 3.0;
/// Crashes after which the part has to be kept from runners, and what may reach them later.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;
/// Parts that all prompts have in common, before the one that crashes runners or its sound neighbour.
const COMMON: u64 = 16;
/// Seconds between two sound requests, and between two with the part.
const SOUND_EVERY: f64 = 0.25;
const BAD_EVERY: f64 = 1.0 / 3.0;
/// How often a client repeats at once what failed.
const REPEATS: u64 = 1;

pub fn play(site: &Site, trouble: bool) -> Vec<String> {
    let store = start_store(site);
    let mut runners = Vec::new();
    for host in 21..=29 {
        let stage = if host <= 23 { "prefill" } else { "decode" };
        let runner = start_runner(site, &store, host, stage, "v1");
        runner.bad_part.store(BAD, Ordering::SeqCst);
        runners.push(runner);
    }
    let daemons = DAEMONS.map(|host| site.start(host, "hall-a", &DAEMONS, true));
    DAEMONS.iter().for_each(|host| site.wait_ready(*host));
    let served = Arc::new(Mutex::new((0, 0)));
    let (mut callers, mut number) = (Vec::new(), 0u64);
    let (mut next_sound, mut next_bad) = (0.0, 5.0);
    let start = site.record.seconds();
    while site.record.seconds() < start + 30.0 {
        let at = site.record.seconds() - start;
        let is_bad = trouble && next_bad <= at;
        if !is_bad && at < next_sound {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        match is_bad {
            true => next_bad += BAD_EVERY,
            false => next_sound += SOUND_EVERY,
        }
        number += 1;
        let (net, record, served) = (site.net, site.record.clone(), served.clone());
        callers.push(thread::spawn(move || {
            // They share their caller and all other parts.
            let second = if is_bad { BAD } else { 0x4e21_7c55 };
            let common: Vec<String> =
                (0..COMMON).map(|n| format!("{:08x}:10", 0x5c1e_07a0 + n)).collect();
            let parts = format!("{},{second:x}:40,{number:08x}:260", common.join(","));
            let kind = if is_bad { "with the part" } else { "sound" };
            let mut whole = false;
            for attempt in 0..=REPEATS {
                let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number * 16 + attempt);
                let to = DAEMONS[((number / 2 + attempt) % 2) as usize];
                record.note(&format!("client sends {id} to daemon {to}, {kind}"));
                let head = prompt_head("/pufi791/", &id, &parts, 20, "");
                let seen = ask(net.front(to), &head, &stream_body(&parts), Duration::from_secs(3));
                whole = seen.whole && seen.status == 200;
                record
                    .note(&format!("client gets {} for {id}, {kind}, whole {whole}", seen.status));
                if whole {
                    break;
                }
            }
            if let (false, Ok(mut served)) = (is_bad, served.lock()) {
                *served = (served.0 + usize::from(whole), served.1 + 1);
            }
        }));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(daemons);
    let all = |pick: &dyn Fn(usize) -> Vec<f64>| -> Vec<f64> {
        let mut all: Vec<f64> = (0..runners.len()).flat_map(pick).collect();
        all.sort_by(f64::total_cmp);
        all
    };
    let crashes = all(&|n| runners[n].crashes.lock().map(|c| c.clone()).unwrap_or_default());
    let mut late: Vec<String> = Vec::new();
    if let Some(fifth) = crashes.get(CRASHES - 1) {
        for runner in &runners {
            let bad = runner.bad.lock().map(|bad| bad.clone()).unwrap_or_default();
            let after = bad.into_iter().filter(|(at, _)| fifth + CONTACT_S < *at);
            late.extend(after.map(|(_, id)| id));
        }
    }
    late.sort();
    late.dedup();
    let (whole, sent) = served.lock().map(|served| *served).unwrap_or_default();
    site.record
        .note(&format!("{} crashes; {whole} of {sent} sound requests served whole", crashes.len()));
    println!("{} crashes; {whole} of {sent} sound requests served whole", crashes.len());
    match late.len() {
        ..=ALLOWED => Vec::new(),
        count => vec![format!(
            "BUDGET: {count} requests with the part reach runners later than {CONTACT_S} s after the \
             fifth of {} crashes",
            crashes.len()
        )],
    }
}
