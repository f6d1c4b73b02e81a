//! Streams that end with their channel look complete although their runner, which had said that it
//! leaves, was gone in their middle.

use std::io;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use super::{CONFIGURATION, pause};
use crate::client::{Seen, Stream};
use crate::runner::Spec;
use crate::site::Site;

const RUNNERS: usize = 7;
const STREAMS: usize = 70;
const EVENTS: u32 = 70;
const GAP: Duration = Duration::from_millis(100);

pub fn play(record_path: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(record_path, CONFIGURATION)?;
    let runner = |n: usize| Spec { unframed: true, ..Spec::new(&format!("i-{n}"), "v1", GAP) };
    (0..RUNNERS).try_for_each(|n| site.start_runner(runner(n)))?;
    site.wait_listed()?;
    for n in 0..3 {
        site.add_daemon();
        site.write_settings(n, &site.seeds(&[0, 1, 2]), true)?;
    }
    (0..3).try_for_each(|n| site.start_daemon(n))?;
    (0..3).try_for_each(|n| site.wait_ready(n))?;
    pause(3_000);

    let (sender, results) = mpsc::channel();
    for n in 0..STREAMS {
        let fronts = (0..3).map(|k| site.front((n + k) % 3)).collect();
        let stream = Stream {
            name: format!("s{n}"),
            path: "/pufi791/".to_owned(),
            events: EVENTS,
            deadline: Duration::from_secs(14),
            fronts,
            tries: 2,
            pause: Duration::from_millis(300),
        };
        let (record, sender) = (site.record.clone(), sender.clone());
        thread::spawn(move || sender.send(stream.read(&record)));
    }
    drop(sender);
    pause(1_500);
    // One of seven runners leaves.
    site.runners[0].tell("drain")?;
    if trouble {
        // It is gone two seconds after the notice.
        pause(2_000);
        site.runners[0].kill()?;
        site.store.remove(&format!("servers/{}", site.runners[0].id));
        site.record.line(&format!("runner {} is gone (SIGKILL)", site.runners[0].id));
        // Another one comes four seconds later.
        pause(4_000);
        site.start_runner(runner(RUNNERS))?;
    } else {
        site.runners[0].tell("leave")?;
    }
    let seen: Vec<_> = results.iter().collect();
    site.copy_logs(&["stream_end"]);
    Ok(judge(&site, &seen))
}

/// No stream ends as complete before its last event.
fn judge(site: &Site, seen: &[Seen]) -> bool {
    let is_cut = |seen: &&Seen| seen.is_whole && seen.events.len() < EVENTS as usize;
    let cut: Vec<_> = seen.iter().filter(is_cut).collect();
    for stream in &cut {
        site.record.line(&format!(
            "CUT STREAM: ended as a whole one after {} of {EVENTS} events",
            stream.events.len()
        ));
    }
    let held = cut.is_empty();
    site.record.line(&format!(
        "{} of {} streams ended as whole ones before their last event; ORDER {}",
        cut.len(),
        seen.len(),
        if held { "held" } else { "broken" }
    ));
    held
}
