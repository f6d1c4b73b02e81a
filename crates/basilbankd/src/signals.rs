//! Handling of SIGTERM and SIGINT.

use std::{io, process, thread};

use basilbank::{
    Daemon, Shutdown,
    logs::{self, LogFlush},
};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Exit code if a second signal aborts the requests in progress.
const EXIT_REQUESTS_ABORTED: i32 = 1;

/// Starts a thread that shuts the daemon down on the first signal and exits the process on the
/// second.
///
/// # Errors
/// The signal handlers can't be installed, or the thread can't be started.
pub fn spawn_handler(daemon: &Daemon, log: LogFlush) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let shutdown = daemon.handle();
    let handle_signals = move || {
        let mut received = signals.forever();
        if received.next().is_some() {
            log::info!("{}", logs::Line::new("shutdown"));
            shutdown.start();
        }
        if received.next().is_some() {
            abort_requests(&shutdown, &log);
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(handle_signals)?;
    Ok(())
}

/// Logs the number of requests in progress and exits the process.
fn abort_requests(shutdown: &Shutdown, log: &LogFlush) -> ! {
    let line = logs::Line::new("cut").with("requests", shutdown.in_progress());
    log::error!("{line}");
    log.flush();
    process::exit(EXIT_REQUESTS_ABORTED)
}
