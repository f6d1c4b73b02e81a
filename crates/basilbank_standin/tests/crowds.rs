//! A daemon to which most new connections of a data centre go, at several times what it can serve.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{World, WorldSpec, call};

/// Time that each decision takes on top: the daemon serves some hundred calls a second.
const DECISION: Duration = Duration::from_millis(1);

/// What callers say they wait, and how long they listen.
const PATIENCE: Duration = Duration::from_millis(800);

/// Callers, each with one connection at a time and a new one for each call: many times what the daemon
/// can serve in their patience.
const CALLERS: usize = 600;

/// Time until a caller whose connection was closed unread comes back: its next try meets another
/// daemon.
const ELSEWHERE: Duration = Duration::from_millis(200);

/// Callers that show what is served in a quiet time.
const QUIET: usize = 4;

const LASTS: Duration = Duration::from_secs(4);

/// The least share of the calls that are read which is served, of that in a quiet time.
const SHARE: f64 = 0.75;

/// What came of calls.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    served: u32,
    /// Read, and not served in time.
    failed: u32,
    /// The connection was refused, or closed without an answer.
    unread: u32,
}

impl Seen {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from((self.served + self.failed).max(1))
    }
}

/// A call over a new connection.
fn call_once(to: SocketAddr, seen: &Mutex<Seen>) {
    let begun = Instant::now();
    let answer = exchange(to);
    let late = PATIENCE < begun.elapsed();
    let is_unread = match &answer {
        Ok(text) => text.is_empty(),
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    let is_served = answer.is_ok_and(|text| text.starts_with(b"HTTP/1.1 200"));
    {
        let mut seen = seen.lock().expect("no panic");
        match (late, is_served, is_unread) {
            (false, true, _) => seen.served += 1,
            (false, _, true) => seen.unread += 1,
            _ => seen.failed += 1,
        }
    }
    if is_unread {
        thread::sleep(ELSEWHERE);
    }
}

fn exchange(to: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let request = "GET /sheet/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a1\r\n\
                   x-deadline-remaining: 800\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes())?;
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes)?;
    bytes.truncate(read);
    Ok(bytes)
}

fn crowd(to: SocketAddr, callers: usize) -> Seen {
    let seen = Mutex::new(Seen::default());
    let end = Instant::now() + LASTS;
    thread::scope(|scope| {
        for _ in 0..callers {
            scope.spawn(|| {
                while Instant::now() < end {
                    call_once(to, &seen);
                }
            });
        }
    });
    seen.into_inner().expect("no panic")
}

/// The longest time of some calls one after the other.
fn longest(mut call: impl FnMut()) -> Duration {
    let end = Instant::now() + LASTS / 2;
    let mut longest = Duration::ZERO;
    while Instant::now() < end {
        let begun = Instant::now();
        call();
        longest = longest.max(begun.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    longest
}

#[test]
fn what_a_crowded_daemon_reads_it_serves() {
    let spec = WorldSpec { plain: 4, ..WorldSpec::default() };
    let world = World::start_slow(&spec, DECISION).expect("a world");
    let (to, ready) = (world.callers(0), world.ready(0));
    let quiet = crowd(to, QUIET);
    let mut kept = TcpStream::connect(to).expect("a connection");
    kept.set_read_timeout(Some(PATIENCE * 4)).expect("an option");
    let mut old_call = || {
        let line = "GET /sheet/2 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: k1\r\n\
                    x-deadline-remaining: 4000\r\n\r\n";
        kept.write_all(line.as_bytes()).expect("the old connection lives");
        let read = kept.read(&mut [0; 4096]).expect("an answer");
        assert!(0 < read, "the old connection was closed");
    };
    old_call();
    let (crowded, old, control) = thread::scope(|scope| {
        let crowded = scope.spawn(|| crowd(to, CALLERS));
        thread::sleep(LASTS / 4);
        let control = scope.spawn(|| {
            longest(|| {
                assert_eq!(call(ready, "GET /ready", &[], b"").expect("an answer").status, 200);
            })
        });
        let old = longest(old_call);
        (crowded.join().expect("seen"), old, control.join().expect("answers"))
    });
    assert!(quiet.served / 2 < crowded.served, "{quiet:?}, {crowded:?}");
    assert!(SHARE * quiet.share() <= crowded.share(), "{quiet:?}, {crowded:?}");
    assert!(old < PATIENCE && control < PATIENCE, "old {old:?}, control {control:?}");
    assert_eq!(call(ready, "GET /ready", &[], b"").expect("an answer").status, 200);
}
