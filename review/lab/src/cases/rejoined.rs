//! Streams that clients take up again after all machines were killed, beside two versions.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use super::{parts_of, start_runner, start_store, stream_body, stream_head};
use crate::{
    http::{Wire, ask},
    world::Site,
};

const DAEMONS: [u8; 3] = [11, 12, 13];
const STREAMS: u64 = 36;
/// Pieces of a stream that is cut, and of a new one.
const LONG: u64 = 400;
const SHORT: u64 = 20;
const CUT_AT: f64 = 3.5;
const DOWN_S: f64 = 1.0;
/// The bound of the settings: from then on the machines are in touch.
const CONTACT_S: f64 = 3.0;
/// When clients take their streams up, after the cut: a few tries within their deadline.
const TRIES: [f64; 4] = [0.3, 1.8, 4.9, 7.0];
const LEAST: usize = 12;

/// Reads a stream until it breaks off or the time has come at which its client closes the channel.
fn begin(site: &Site, to: u8, number: u64, id: &str) -> u64 {
    let head = stream_head("/pufi791/", id, number as usize, LONG, "");
    let Ok(stream) = TcpStream::connect(site.net.front(to)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut wire = Wire::new(stream);
    let body = stream_body(&parts_of(number as usize));
    if wire.stream.write_all(head.as_bytes()).is_err() || wire.stream.write_all(&body).is_err() {
        return 0;
    }
    let ended = loop {
        match wire.fill() {
            Ok(0) => break true,
            Err(error) if !is_pause(&error) => break true,
            _ if CUT_AT + 0.5 < site.record.seconds() => break false,
            _ => {}
        }
    };
    let text = String::from_utf8_lossy(wire.read()).into_owned();
    let last = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).max();
    site.record.note(&format!("client {number}: {id} cut {ended}, last event {last:?}"));
    last.unwrap_or(0)
}

fn is_pause(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

pub fn play(site: &Site, trouble: bool) -> Vec<String> {
    let store = start_store(site);
    let mut runners = Vec::new();
    for (first, version) in [(21, "v1"), (31, "v2")] {
        runners.push(start_runner(site, &store, first, "prefill", version));
        for host in first + 1..first + 4 {
            runners.push(start_runner(site, &store, host, "decode", version));
        }
    }
    let mut daemons: Vec<_> =
        DAEMONS.iter().map(|host| site.start(*host, "hall-a", &DAEMONS, true)).collect();
    DAEMONS.iter().for_each(|host| site.wait_ready(*host));
    site.record.wait_until(1.0);
    let taken: Arc<Mutex<Vec<bool>>> = Arc::default();
    let started = if trouble { CUT_AT + DOWN_S + 0.3 } else { 0.0 };
    let in_touch = started + CONTACT_S;
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let taken = taken.clone();
            scope.spawn(move || {
                let began = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number * 16);
                let last = begin(site, DAEMONS[(number % 3) as usize], number, &began);
                if last == 0 {
                    return;
                }
                for (attempt, after) in (1u64..).zip(TRIES) {
                    site.record.wait_until(CUT_AT + after + 0.02 * number as f64);
                    let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number * 16 + attempt);
                    let to = DAEMONS[((number + attempt) % 3) as usize];
                    let at = site.record.seconds();
                    let more = format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n");
                    let head = stream_head("/pufi791/", &id, number as usize, LONG, &more);
                    let body = stream_body(&parts_of(number as usize));
                    let seen = ask(site.net.front(to), &head, &body, Duration::from_secs(2));
                    let goes_on = seen.status == 200 && !seen.body.is_empty();
                    site.record.note(&format!(
                        "client {number} gets {} for {id} at daemon {to}, goes on {goes_on} {}",
                        seen.status, seen.error
                    ));
                    if let (true, Ok(mut taken)) = (in_touch <= at, taken.lock()) {
                        taken.push(goes_on);
                    }
                    if goes_on {
                        break;
                    }
                }
            });
            sleep(Duration::from_millis(20));
        }
        if trouble {
            site.record.wait_until(CUT_AT);
            site.record.note("all machines are killed");
            daemons.clear();
            site.record.wait_until(CUT_AT + DOWN_S);
            daemons =
                DAEMONS.iter().map(|host| site.start(*host, "hall-a", &DAEMONS, false)).collect();
        }
    });
    let new: Arc<Mutex<Vec<bool>>> = Arc::default();
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let new = new.clone();
            scope.spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_0001_0000u64 + number * 16);
                let to = DAEMONS[(number % 3) as usize];
                let unlike = (number + 1000) as usize;
                let head = stream_head("/pufi791/", &id, unlike, SHORT, "");
                let body = stream_body(&parts_of(unlike));
                let seen = ask(site.net.front(to), &head, &body, Duration::from_secs(3));
                let begins = seen.status == 200 && !seen.body.is_empty();
                site.record.note(&format!("new client {number} gets {} for {id}", seen.status));
                if let Ok(mut new) = new.lock() {
                    new.push(begins);
                }
            });
            sleep(Duration::from_millis(20));
        }
    });
    drop((daemons, runners));
    let count = |all: &Arc<Mutex<Vec<bool>>>| {
        let all = all.lock().map(|all| all.clone()).unwrap_or_default();
        (all.iter().filter(|yes| **yes).count(), all.len())
    };
    let ((go_on, taken), (begin, new)) = (count(&taken), count(&new));
    let text = format!(
        "{go_on} of {taken} streams that are taken up in touch go on, {begin} of {new} new ones begin"
    );
    site.record.note(&text);
    println!("{text}");
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    match LEAST <= taken && share(go_on, taken) < share(begin, new) / 2.0 {
        true => vec![format!("LOST: {text}")],
        false => Vec::new(),
    }
}
