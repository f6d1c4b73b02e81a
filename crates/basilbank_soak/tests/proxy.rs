//! The proxy does to connections what it says.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{Proxy, Weather};
use socket2::SockRef;
use test_case::test_case;

/// Longest wait for bytes that should not come.
const QUIET: Duration = Duration::from_millis(300);

/// Longest wait for what should come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Says back whatever it is told.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut byte = [0];
                while matches!(stream.read(&mut byte), Ok(1)) && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    address
}

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream
}

/// What comes back for a byte.
fn say(mut stream: &TcpStream) -> Result<u8, ErrorKind> {
    stream.write_all(b"x").map_err(|e| e.kind())?;
    let mut byte = [0];
    stream.read_exact(&mut byte).map(|()| byte[0]).map_err(|e| e.kind())
}

/// Whether nothing comes back for a byte.
fn is_silent(stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(QUIET)).expect("a limit");
    matches!(say(stream), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn clear_weather_passes_bytes_and_a_delay_holds_them_up() {
    let proxy = Proxy::start(echo()).expect("a proxy");
    let stream = connect(&proxy);
    assert_eq!(say(&stream), Ok(b'x'));
    proxy.set(Weather::Delay(Duration::from_millis(40)));
    let begun = Instant::now();
    assert_eq!(say(&stream), Ok(b'x'));
    assert!(Duration::from_millis(80) <= begun.elapsed(), "both ways");
}

#[test]
fn a_narrow_link_is_shared_by_what_comes_back() {
    let proxy = Proxy::start(echo()).expect("a proxy");
    proxy.narrow(20);
    let begun = Instant::now();
    let others: Vec<_> = (0..2).map(|_| connect(&proxy)).collect();
    thread::scope(|scope| {
        for stream in &others {
            scope.spawn(|| assert_eq!(say(stream), Ok(b'x')));
        }
    });
    assert!(Duration::from_millis(100) <= begun.elapsed(), "one after the other");
}

#[test_case(Weather::Silent)]
#[test_case(Weather::CutForth)]
#[test_case(Weather::CutBack)]
fn a_connection_that_was_cut_stays_silent_and_a_new_one_works(weather: Weather) {
    let proxy = Proxy::start(echo()).expect("a proxy");
    let stream = connect(&proxy);
    assert_eq!(say(&stream), Ok(b'x'));
    proxy.set(weather);
    assert!(is_silent(&stream));
    proxy.set(Weather::Clear);
    assert!(is_silent(&stream));
    assert_eq!(say(&connect(&proxy)), Ok(b'x'));
}

#[test]
fn a_reset_ends_open_connections_and_no_others() {
    let proxy = Proxy::start(echo()).expect("a proxy");
    let stream = connect(&proxy);
    assert_eq!(say(&stream), Ok(b'x'));
    proxy.reset();
    let mut seen = say(&stream);
    // The write may still succeed.
    if seen.is_ok() {
        seen = say(&stream);
    }
    assert!(!matches!(seen, Ok(_) | Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{seen:?}");
    assert_eq!(say(&connect(&proxy)), Ok(b'x'));
}

#[test]
fn new_connections_lead_to_the_new_target() {
    let (first, second) = (echo(), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let proxy = Proxy::start(first).expect("a proxy");
    assert_eq!(say(&connect(&proxy)), Ok(b'x'));
    proxy.retarget(second.local_addr().expect("an address"));
    let _stream = connect(&proxy);
    second.set_nonblocking(false).expect("blocking");
    assert!(second.accept().is_ok());
}

/// How a connection to a proxy ends when the other end of it closes its own.
fn end_of(end: impl Fn(TcpStream)) -> io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = Proxy::start(listener.local_addr().expect("an address")).expect("a proxy");
    let mut stream = TcpStream::connect(proxy.address()).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    end(listener.accept().expect("a connection").0);
    stream.read(&mut [0])
}

#[test]
fn an_orderly_end_and_a_reset_are_passed_on_as_what_they_are() {
    assert_eq!(end_of(drop).ok(), Some(0));
    let reset = end_of(|stream| {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the option");
    });
    assert_eq!(reset.map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
}

#[test]
fn a_reset_reaches_callers_as_a_reset() {
    let proxy = Proxy::start(echo()).expect("a proxy");
    let mut stream = connect(&proxy);
    assert_eq!(say(&stream), Ok(b'x'));
    proxy.reset();
    let end = stream.read(&mut [0]);
    assert_eq!(end.map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
}

#[test]
fn a_closed_proxy_refuses_connections_until_it_is_opened() {
    let mut proxy = Proxy::start(echo()).expect("a proxy");
    let stream = connect(&proxy);
    assert_eq!(say(&stream), Ok(b'x'));
    proxy.close();
    let refused = TcpStream::connect(proxy.address()).map_err(|e| e.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    assert_eq!(say(&stream), Ok(b'x'), "open connections live on");
    proxy.open().expect("its port");
    assert_eq!(say(&connect(&proxy)), Ok(b'x'));
}
