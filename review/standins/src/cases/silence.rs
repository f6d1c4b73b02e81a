//! Streams are cut off in their middle because their sound runner falls silent for a second or so, while
//! the settings of their machine have just changed.

use std::io;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use super::{CONFIGURATION, pause};
use crate::client::{Seen, Stream};
use crate::runner::Spec;
use crate::site::Site;

const RUNNERS: usize = 2;
const STREAMS: usize = 100;
const EVENTS: u32 = 70;
const GAP: Duration = Duration::from_millis(60);

/// How long the runner is silent.
const SILENCE_MS: u64 = 1_200;

pub fn play(record_path: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(record_path, CONFIGURATION)?;
    for n in 0..RUNNERS {
        site.start_runner(Spec::new(&format!("i-{n}"), "v1", GAP))?;
    }
    site.wait_listed()?;
    for n in 0..3 {
        site.add_daemon();
        site.write_settings(n, &site.seeds(&[0, 1, 2]), true)?;
    }
    (0..3).try_for_each(|n| site.start_daemon(n))?;
    (0..3).try_for_each(|n| site.wait_ready(n))?;
    pause(12_000);

    let (sender, results) = mpsc::channel();
    for n in 0..STREAMS {
        let fronts = (0..3).map(|k| site.front((n + k) % 3)).collect();
        let stream = Stream {
            name: format!("s{n}"),
            path: "/pufi791/".to_owned(),
            events: EVENTS,
            deadline: Duration::from_secs(14),
            fronts,
            tries: 1,
            pause: Duration::ZERO,
        };
        let (record, sender) = (site.record.clone(), sender.clone());
        thread::spawn(move || sender.send(stream.read(&record)));
        pause(10);
    }
    drop(sender);
    // Planned work: the settings files change, and the machines are told.
    for n in 0..3 {
        site.write_settings(n, &site.seeds(&[0, 1, 2]), false)?;
        site.hang_up(n)?;
    }
    pause(500);
    if trouble {
        site.runners[0].signal("STOP")?;
        site.record.line(&format!("runner {} falls silent", site.runners[0].id));
        pause(SILENCE_MS);
        site.runners[0].signal("CONT")?;
        site.record.line(&format!("runner {} goes on", site.runners[0].id));
    }
    let seen: Vec<_> = results.iter().collect();
    site.copy_logs(&["outcome=broken", "outcome=timed_out", "event=reloaded", "version_gone"]);
    Ok(judge(&site, &seen))
}

/// Around planned work no channel ends without a complete answer once the request has been passed on to
/// a runner.
fn judge(site: &Site, seen: &[Seen]) -> bool {
    let cut: Vec<_> =
        seen.iter().filter(|seen| !seen.is_whole && !seen.events.is_empty()).collect();
    for stream in &cut {
        let last =
            stream.events.last().map(|event| format!("{} from {}", event.number, event.runner));
        site.record.line(&format!(
            "LOST: the channel ended after event {} of {EVENTS}, status {:?}",
            last.unwrap_or_default(),
            stream.statuses
        ));
    }
    let held = cut.is_empty();
    site.record.line(&format!(
        "{} of {} streams were cut off in their middle; LOST {}",
        cut.len(),
        seen.len(),
        if held { "held" } else { "broken" }
    ));
    held
}
