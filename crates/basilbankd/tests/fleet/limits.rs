//! One entry's limit through several daemons.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::rig::Fleet;

/// Requests a second.
const LIMIT: f64 = 50.0;
/// How long the callers try.
const SPAN: Duration = Duration::from_secs(4);
/// How long a refused caller waits. Together they still ask for over thirty times the limit; without
/// it they would leave the machine a hundred thousand connections that have just ended.
const PAUSE: Duration = Duration::from_millis(5);
/// Callers at each daemon.
const CALLERS: usize = 3;

/// Symptom: a team gets its limit once for each daemon. Sequence: its callers use all daemons at
/// once, with many times the limit. Cause: no daemon sees what the others let through.
///
/// The bound is wide, three times the burst and one and a half times the rate by the callers' own
/// clock: a limit per daemon is above it, what a busy machine does to the daemons' clocks is not.
/// `cargo test -p basilbank_core --test limits` has the narrow bounds, in virtual time.
#[test]
fn a_limit_holds_over_all_daemons() {
    let fleet = Fleet::start(3);
    let mut catalogue = fleet.site.catalogue();
    catalogue["entries"][1]["limits"] = serde_json::json!({ "requests_per_s": LIMIT });
    let revision = fleet.site.platform.put("catalogue/site", &catalogue.to_string());
    fleet.wait_revision(&[0, 1, 2], revision);
    let (admitted, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let start = Instant::now();
    thread::scope(|scope| {
        for caller in 0..3 * CALLERS {
            let client = fleet.client(caller % 3);
            let (admitted, refused) = (&admitted, &refused);
            scope.spawn(move || {
                while start.elapsed() < SPAN {
                    let answer = client.send("GET", "/desk/stock/1", "").unwrap();
                    match answer.status().as_u16() {
                        200 => {
                            admitted.fetch_add(1, Ordering::Relaxed);
                        }
                        429 => {
                            refused.fetch_add(1, Ordering::Relaxed);
                            thread::sleep(PAUSE);
                        }
                        status => panic!("{status}"),
                    }
                }
            });
        }
    });
    let seconds = start.elapsed().as_secs_f64();
    let (admitted, refused) = (admitted.into_inner(), refused.into_inner());
    let most = 3.0 * LIMIT + 1.5 * LIMIT * seconds;
    let figures = format!("admitted={admitted} refused={refused} seconds={seconds:.1}");
    assert!(0 < admitted && (admitted as f64) < most, "{figures}");
    assert!(most < refused as f64, "{figures}");
}
