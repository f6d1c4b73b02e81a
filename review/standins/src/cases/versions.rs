//! Streams go on at another version of the runners' software than the one that began them, after all
//! processes of the system were killed while the last runner of that version left.

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
const STREAMS: usize = 48;
const EVENTS: u32 = 110;
const GAP: Duration = Duration::from_millis(100);

pub fn play(record_path: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(record_path, CONFIGURATION)?;
    for n in 0..RUNNERS {
        let version = if n == 0 { "v1" } else { "v2" };
        site.start_runner(Spec::new(&format!("i-{version}-{n}"), version, GAP))?;
    }
    site.wait_listed()?;
    for n in 0..3 {
        site.add_daemon();
        site.write_settings(n, &site.seeds(&[0, 1, 2]), true)?;
    }
    (0..3).try_for_each(|n| site.start_daemon(n))?;
    (0..3).try_for_each(|n| site.wait_ready(n))?;
    // Both versions serve side by side for a while.
    pause(25_000);

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
            pause: Duration::from_millis(2_000),
        };
        let (record, sender) = (site.record.clone(), sender.clone());
        thread::spawn(move || sender.send(stream.read(&record)));
    }
    drop(sender);
    pause(1_500);
    // The last runner of v1, one of seven, is emptied and taken away: it reports that it drains, goes on
    // for drainMs and a little longer, and exits.
    site.runners[0].tell("drain")?;
    pause(2_300);
    if trouble {
        // All processes of the system are killed at the same moment, and are back after 1.5 s.
        (0..3).try_for_each(|n| site.kill_daemon(n))?;
    }
    pause(300);
    site.runners[0].kill()?;
    site.store.remove(&format!("servers/{}", site.runners[0].id));
    site.record.line(&format!("runner {} (v1) exits", site.runners[0].id));
    if trouble {
        pause(1_200);
        for n in 0..3 {
            site.write_settings(n, &site.seeds(&[0, 1, 2]), false)?;
            site.start_daemon(n)?;
        }
        (0..3).try_for_each(|n| site.wait_ready(n))?;
    }
    let seen: Vec<_> = results.iter().collect();
    site.copy_logs(&["stream_pinned", "stream_unknown", "version_gone"]);
    Ok(judge(&site, &seen))
}

/// At most two streams hold events from runners of two software versions.
fn judge(site: &Site, seen: &[Seen]) -> bool {
    let is_mixed = |seen: &&Seen| {
        let first = seen.events.first();
        seen.events.iter().any(|event| Some(&event.version) != first.map(|first| &first.version))
    };
    let mixed: Vec<_> = seen.iter().filter(is_mixed).collect();
    for stream in &mixed {
        let joint = stream.events.windows(2).find(|pair| pair[0].version != pair[1].version);
        if let Some([before, after]) = joint {
            site.record.line(&format!(
                "MIXED STREAM: event {} from {} ({}), event {} from {} ({}); ended as a whole one: {}",
                before.number,
                before.runner,
                before.version,
                after.number,
                after.runner,
                after.version,
                stream.is_whole
            ));
        }
    }
    let held = mixed.len() <= 2;
    site.record.line(&format!(
        "{} of {} streams hold events of two versions; ORDER {}",
        mixed.len(),
        seen.len(),
        if held { "held" } else { "broken" }
    ));
    held
}
