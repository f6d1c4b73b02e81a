//! A daemon as a process of its own.

use std::{
    fs::{self, File},
    io::{self, Read, Seek, SeekFrom},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// How often an end is looked for.
const LOOK: Duration = Duration::from_millis(10);

/// Ids of the daemons that run, for a soak that is told to end in the middle.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all daemons that run: when the soak itself is ended by a signal, nothing else would.
pub fn kill_all() {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    running.iter().for_each(|id| send(*id, Signal::KILL));
}

fn send(id: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        // It may have ended before.
        let _ = kill_process(pid, signal);
    }
}

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Its arguments before the settings file.
    pub arguments: Vec<String>,
}

/// What a daemon's log says once it listens.
const STARTED: &str = "event=started";

/// A running daemon. Dropping it kills it: it would outlive the soak otherwise.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
    /// Where its part of the log begins.
    log_start: u64,
    /// Since when it runs.
    pub started: Instant,
    /// It was sent SIGTERM.
    pub leaving: bool,
}

impl Process {
    /// Starts a daemon that writes its log to the end of a file.
    ///
    /// # Errors
    /// It does not start.
    pub fn start(program: &Program, settings: &Path, log: &Path) -> io::Result<Process> {
        let output = File::options().create(true).append(true).open(log)?;
        let (log_start, started) = (output.metadata()?.len(), Instant::now());
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        Ok(Process { child, log: log.to_owned(), log_start, started, leaving: false })
    }

    /// Whether it has said that it listens.
    ///
    /// # Errors
    /// Its log can't be read.
    pub fn has_listened(&self) -> io::Result<bool> {
        let mut log = File::open(&self.log)?;
        log.seek(SeekFrom::Start(self.log_start))?;
        let mut text = Vec::new();
        log.read_to_end(&mut text)?;
        Ok(String::from_utf8_lossy(&text).contains(STARTED))
    }

    /// Sends it a signal.
    pub fn signal(&mut self, signal: Signal) {
        self.leaving |= signal == Signal::TERM;
        send(self.child.id(), signal);
    }

    /// How it ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; `None` when it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            match self.ended() {
                Some(status) => return Some(status),
                None if end <= Instant::now() => return None,
                None => thread::sleep(LOOK),
            }
        }
    }

    /// Its peak memory in kilobytes, while it runs.
    #[must_use]
    pub fn peak_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let id = self.child.id();
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).retain(|running| *running != id);
        // One that has ended needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
