//! Signals to a daemon on the users' platform that has just started.

use std::{
    fs::{self, File},
    hint,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use test_case::test_case;

/// Starts: the signal comes at another moment of each.
const STARTS: usize = 40;

/// Exit code of a daemon that could not start, for example because a port is taken.
const FAILED: i32 = 1;

const SETTINGS: &str = r#"
node = "vm"
zone = "hall-a"
ip = "127.0.0.1"
portRange = [{peers}, {peers}]
seeds = []
bootstrap = true

[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"

[platform]
addr = "127.0.0.1:1"

[bounds]
graceS = 0.7
retryRatio = 0.2
retrySlack = 400
retryWindowS = 10
"#;

/// Keeps processes from being spawned while a thread holds listeners. A child has copies of them until it
/// runs its own program, so that their ports accept connections although they were closed here.
fn lock_listeners() -> MutexGuard<'static, ()> {
    static LISTENERS: Mutex<()> = Mutex::new(());
    LISTENERS.lock().unwrap_or_else(PoisonError::into_inner)
}

fn free_ports() -> [u16; 4] {
    let _guard = lock_listeners();
    let listeners = [(); 4].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().port())
}

fn settings() -> (SocketAddr, String) {
    let [callers, ready, control, peers] = free_ports();
    let text = SETTINGS
        .replace("{callers}", &callers.to_string())
        .replace("{ready}", &ready.to_string())
        .replace("{control}", &control.to_string())
        .replace("{peers}", &peers.to_string());
    (SocketAddr::from((Ipv4Addr::LOCALHOST, callers)), text)
}

fn start(settings: &Path, log: Stdio) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilbankd"));
    command.args(["--platform", "--settings"]).arg(settings);
    let _guard = lock_listeners();
    command.stdout(log).stderr(Stdio::null()).spawn().unwrap()
}

fn send(child: &Child, signal: Signal) {
    let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
    kill_process(pid, signal).unwrap();
}

fn make_pipe(path: &Path) {
    let mut child = {
        let _guard = lock_listeners();
        Command::new("mkfifo").arg(path).spawn().unwrap()
    };
    assert!(child.wait().unwrap().success());
}

/// Sends SIGTERM as soon as a daemon listens for callers. Returns how it ended; `None` if it could not
/// listen.
fn terminate_at_once(settings: &Path) -> Option<ExitStatus> {
    let (address, text) = self::settings();
    fs::write(settings, text).unwrap();
    let mut child = start(settings, Stdio::null());
    while TcpStream::connect(address).is_err() {
        if let Some(status) = child.try_wait().unwrap() {
            assert_eq!(status.code(), Some(FAILED), "a daemon ended before it listened");
            return None;
        }
        hint::spin_loop();
    }
    send(&child, Signal::TERM);
    Some(child.wait().unwrap())
}

/// Guards against callers that are accepted and then reset: their daemon is killed by a SIGTERM for which
/// no handler is registered yet.
#[test]
fn a_daemon_that_listens_shuts_down_on_sigterm() {
    let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("platform-start.toml");
    let ended: Vec<_> = (0..STARTS).filter_map(|_| terminate_at_once(&settings)).collect();
    let killed = ended.iter().filter(|status| !status.success()).count();
    assert!(!ended.is_empty());
    assert_eq!(killed, 0, "of {} were killed: {ended:?}", ended.len());
}

/// Guards against callers that are cut off by SIGKILL: their daemon counts on a grace period that has
/// been shortened since its start.
#[test]
fn a_shutdown_ends_within_the_grace_period_in_force() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("grace.toml");
    let (address, text) = settings();
    let with_grace =
        |grace| text.replace("graceS = 0.7", &format!("graceS = {grace}")).into_bytes();
    fs::write(&path, with_grace("60.0")).unwrap();
    let mut child = start(&path, Stdio::piped());
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut wait_for = |event: &str| lines.any(|line| line.unwrap().contains(event));
    assert!(wait_for("event=started"));
    let caller = TcpStream::connect(address).unwrap();
    fs::write(&path, with_grace("0.7")).unwrap();
    send(&child, Signal::HUP);
    assert!(wait_for("event=reloaded"));
    let signalled = Instant::now();
    send(&child, Signal::TERM);
    assert!(child.wait().unwrap().success());
    // After 15 s a caller without a request is disconnected.
    assert!(signalled.elapsed() < Duration::from_secs(10), "{:?}", signalled.elapsed());
    drop(caller);
}

#[test_case(Signal::TERM, false; "sigterm ends it before it listens")]
#[test_case(Signal::HUP, true; "sighup leaves it alone")]
fn a_signal_before_the_settings_are_read(signal: Signal, is_started: bool) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{signal:?}.toml"));
    // It may be there from an earlier run.
    let _ = fs::remove_file(&path);
    make_pipe(&path);
    let (_, text) = settings();
    let mut child = start(&path, Stdio::piped());
    // This waits until the daemon reads its settings.
    let mut pipe = File::options().write(true).open(&path).unwrap();
    fs::remove_file(&path).unwrap();
    fs::write(&path, &text).unwrap();
    send(&child, signal);
    // A daemon that the signal has killed doesn't read on.
    let _ = pipe.write_all(text.as_bytes());
    drop(pipe);
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let has_started = lines.any(|line| line.unwrap().contains("event=started"));
    if has_started {
        send(&child, Signal::TERM);
    }
    assert!(child.wait().unwrap().success());
    assert_eq!(has_started, is_started);
}
