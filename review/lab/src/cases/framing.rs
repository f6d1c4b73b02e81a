//! The head of an answer is spoilt where it tells the length of the body.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

use super::{parts_of, start_runner, start_store, stream_body, stream_head};
use crate::{http::ask, runner::event, world::Site};

const DAEMON: u8 = 11;
const EVENTS: u64 = 12;
/// Streams, one each 60 ms; those in the middle third meet the trouble.
const STREAMS: u64 = 300;
/// One in so many answers is spoilt, at two of four runners.
const SPOILT_EVERY: u32 = 20;

pub fn play(site: &Site, trouble: bool) -> Vec<String> {
    let store = start_store(site);
    let mut runners = Vec::new();
    for host in 21..=25 {
        let stage = if host == 21 { "prefill" } else { "decode" };
        runners.push(start_runner(site, &store, host, stage, "v1"));
    }
    let daemon = site.start(DAEMON, "hall-a", &[DAEMON], true);
    site.wait_ready(DAEMON);
    let faults = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        if number == STREAMS / 3 && trouble {
            // Half of the runners are in trouble for a while.
            runners[1].spoil_every.store(SPOILT_EVERY, Ordering::SeqCst);
            runners[2].spoil_every.store(SPOILT_EVERY, Ordering::SeqCst);
        }
        if number == STREAMS * 2 / 3 {
            runners.iter().for_each(|runner| runner.spoil_every.store(0, Ordering::SeqCst));
        }
        let (front, record, faults) = (site.net.front(DAEMON), site.record.clone(), faults.clone());
        callers.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number);
            let prefix = if number % 2 == 0 { "/lohu930/" } else { "/pufi791/" };
            record.note(&format!("client sends {id} to {prefix}"));
            let head = stream_head(prefix, &id, number as usize, EVENTS, "");
            let seen =
                ask(front, &head, &stream_body(&parts_of(number as usize)), Duration::from_secs(3));
            let body = String::from_utf8_lossy(&seen.body).into_owned();
            let expected: String = (1..=EVENTS).map(|n| event("v1", n, &id)).collect();
            let shown: String = body.chars().take(60).collect();
            record.note(&format!(
                "client gets {} for {id}, whole {}, {} bytes: {shown:?}",
                seen.status,
                seen.whole,
                seen.body.len()
            ));
            // A part of the runner's body that ends early is no fault here: it doesn't look complete.
            let is_sound = if seen.whole { body == expected } else { expected.starts_with(&body) };
            if seen.status == 200 && !is_sound {
                let fault =
                    format!("MIXED: {id} gets 200 with bytes that are not of the body: {shown:?}");
                if let Ok(mut faults) = faults.lock() {
                    faults.push(fault);
                }
            }
        }));
        thread::sleep(Duration::from_millis(60));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(daemon);
    faults.lock().map(|faults| faults.clone()).unwrap_or_default()
}
