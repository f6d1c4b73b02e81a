//! Endpoints that answer a long upload before it is written, and break their answer off.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use basilbank_standin::managed::{Answer, BreakKind, World, WorldSpec, call, configuration};
use socket2::SockRef;
use test_case::test_case;

use crate::support::{eventually, next_id};

/// Bytes of an upload: more than sockets hold.
const UPLOAD_BYTES: usize = 4 << 20;

/// Receive buffer of the endpoint's sockets, in bytes.
const RECEIVE_BYTES: usize = 4 << 10;

/// An endpoint whose answers to uploads break off.
struct EarlyEndpoint {
    address: SocketAddr,
    uploads: Arc<AtomicUsize>,
}

/// What it writes to an upload, and how it goes on.
#[derive(Clone, Copy)]
struct Early {
    status: u16,
    /// Lines of the head that frame the body, and the blank line.
    framing: &'static str,
    /// Time from the part of the body to the break.
    delay: Duration,
    end: BreakKind,
}

impl EarlyEndpoint {
    fn start(early: Early) -> EarlyEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES).expect("an option");
        let address = listener.local_addr().expect("an address");
        let uploads = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&uploads);
        // It ends with the test's process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counted = Arc::clone(&counted);
                thread::spawn(move || drop(serve(&stream, early, &counted)));
            }
        });
        EarlyEndpoint { address, uploads }
    }

    fn uploads(&self) -> usize {
        self.uploads.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: &TcpStream, early: Early, uploads: &AtomicUsize) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut line, mut id) = (String::new(), String::new());
        reader.read_line(&mut line)?;
        let is_upload = line.starts_with("POST");
        while !line.trim().is_empty() {
            line.clear();
            reader.read_line(&mut line)?;
            if let Some(value) = line.strip_prefix("x-attempt-id: ") {
                value.trim().clone_into(&mut id);
            }
        }
        if !is_upload {
            stream.write_all(b"HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\n{}")?;
            continue;
        }
        uploads.fetch_add(1, Ordering::SeqCst);
        let Early { status, framing, delay, end } = early;
        let head = format!("HTTP/1.1 {status} x\r\nx-attempt-id: {id}\r\nx-server-seal: seal\r\n");
        stream.write_all((head + framing + "the first part").as_bytes())?;
        thread::sleep(delay);
        match end {
            BreakKind::Reset => SockRef::from(stream).set_linger(Some(Duration::ZERO))?,
            BreakKind::Close => stream.shutdown(Shutdown::Both)?,
            // It is done, and reads the rest, as sound ones do.
            BreakKind::Silence => {
                stream.shutdown(Shutdown::Write)?;
                std::io::copy(&mut reader, &mut std::io::sink())?;
            }
        }
        return Ok(());
    }
}

fn upload(world: &World, path: &str) -> Answer {
    let id = next_id();
    let headers =
        [("host", "shop.example"), ("x-attempt-id", &id), ("x-deadline-remaining", "4000")];
    let body = vec![b'x'; UPLOAD_BYTES];
    call(world.callers(0), &format!("POST {path}"), &headers, &body).expect("an answer")
}

/// A world that takes long uploads, whose plain endpoints are these and `sound` others.
fn world_of(early: &[&EarlyEndpoint], sound: usize) -> World {
    let spec = WorldSpec { plain: early.len() + sound, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    for (n, endpoint) in early.iter().enumerate() {
        world.plain[n].reach_at(endpoint.address);
        world.list_plain(n);
    }
    let mut longer = configuration(3, &[]);
    longer["limits"]["maxBodyBytes"] = (2 * UPLOAD_BYTES).into();
    world.store.put("op/config", &longer);
    world
}

/// Guards against the first part of an answer that passes for the whole, as the upload is still written.
#[test_case("\r\n", 0, BreakKind::Reset; "unmarked and reset at once")]
#[test_case("\r\n", 50, BreakKind::Reset; "unmarked and reset")]
#[test_case("\r\n", 50, BreakKind::Close; "unmarked and closed")]
#[test_case("content-length: 99\r\n\r\n", 50, BreakKind::Reset; "a length and reset")]
#[test_case("connection: close\r\n\r\n", 50, BreakKind::Reset; "unmarked, closing and reset")]
fn an_early_answer_that_breaks_off_is_not_whole(framing: &'static str, ms: u64, end: BreakKind) {
    let early = Early { status: 200, framing, delay: Duration::from_millis(ms), end };
    let endpoint = EarlyEndpoint::start(early);
    let world = world_of(&[&endpoint], 0);
    eventually("an upload comes to the endpoint", || {
        let answer = upload(&world, "/stock/1");
        assert_ne!(answer.status, 200, "{}", answer.text());
        endpoint.uploads() != 0
    });
    let answer = upload(&world, "/stock/1");
    assert!(answer.whole && answer.status != 200, "{} {}", answer.status, answer.text());
    assert!(answer.status != 503 || endpoint.uploads() == 1, "{}", answer.text());
}

/// Guards against the same where the call goes on at another endpoint.
#[test]
fn an_upload_that_may_be_repeated_goes_on_elsewhere() {
    let delay = Duration::from_millis(50);
    let early = Early { status: 200, framing: "\r\n", delay, end: BreakKind::Reset };
    let endpoint = EarlyEndpoint::start(early);
    let world = world_of(&[&endpoint], 1);
    eventually("an upload comes to the endpoint", || {
        let answer = upload(&world, "/sheet/1");
        let text = answer.text();
        assert!(answer.status != 200 || text.ends_with("by plain-1"), "{text}");
        answer.status == 200 && endpoint.uploads() != 0
    });
}

/// Guards against a sound failure that is lost because it came before the upload was written.
#[test]
fn an_early_failure_is_passed_on() {
    let delay = Duration::from_millis(50);
    let early = Early { status: 413, framing: "\r\n", delay, end: BreakKind::Silence };
    let endpoint = EarlyEndpoint::start(early);
    let world = world_of(&[&endpoint], 0);
    eventually("it is passed on", || {
        let answer = upload(&world, "/stock/1");
        (answer.status, answer.whole, answer.text().as_str()) == (413, true, "the first part")
            && endpoint.uploads() != 0
    });
}
