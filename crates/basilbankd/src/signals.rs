//! SIGTERM and SIGINT.

use std::{io, process, thread};

use basilbank::{
    Daemon, Shutdown,
    logs::{self, LogFlush},
};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Exit code after a second signal.
const EXIT_REQUESTS_ABORTED: i32 = 1;

/// Shuts the daemon down on the first signal, and ends the process on the second.
///
/// # Errors
/// The signals can't be caught.
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

fn abort_requests(shutdown: &Shutdown, log: &LogFlush) -> ! {
    let line = logs::Line::new("cut").with("requests", shutdown.in_progress());
    log::error!("{line}");
    log.flush();
    process::exit(EXIT_REQUESTS_ABORTED)
}
