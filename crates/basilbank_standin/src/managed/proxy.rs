//! A loopback proxy that does to connections what networks do.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use socket2::{Domain, SockRef, Socket, Type};

/// How often a copying thread looks whether the proxy has ended.
const LOOK: Duration = Duration::from_millis(200);

/// Longest wait for the real end.
const CONNECT: Duration = Duration::from_millis(500);

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Bytes that a narrow link passes on at a time: a few packets, so that connections share it.
const PIECE: usize = 4096;

/// What the proxy does.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Weather {
    /// Bytes pass.
    #[default]
    Clear,
    /// Bytes pass this much later.
    Delay(Duration),
    /// What the caller sends is lost.
    CutForth,
    /// What comes back is lost.
    CutBack,
    /// Nothing passes. A connection that met this, or a cut, stays silent for good.
    Silent,
    /// New connections are reset at once; those that are open live on.
    Refuse,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    weather: Mutex<Weather>,
    /// Bytes a second that come back, over all connections; no limit without.
    rate: Mutex<Option<u32>>,
    /// Held while a piece is on the narrow link.
    link: Mutex<()>,
    open: Mutex<Vec<Weak<Link>>>,
    /// Nothing is accepted any more.
    closed: AtomicBool,
    ended: AtomicBool,
}

/// A caller's connection and the one to the target. Both are closed as the last of its threads ends.
#[derive(Debug)]
struct Link {
    caller: TcpStream,
    target: TcpStream,
    is_reset: AtomicBool,
}

impl Link {
    /// Both connections are reset as soon as the threads have ended. A shutdown for writing would be an
    /// orderly end.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Relaxed);
        for stream in [&self.caller, &self.target] {
            // One that has ended before can't be reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn is_reset(&self) -> bool {
        self.is_reset.load(Ordering::Relaxed)
    }
}

/// A proxy before one address. Dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    /// Keeps the port while nothing listens there.
    _reserved: Socket,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on loopback, before `target`.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let reserved = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = reserved.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = listen(address)?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            weather: Mutex::default(),
            rate: Mutex::default(),
            link: Mutex::default(),
            open: Mutex::default(),
            closed: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let mut proxy = Proxy { address, _reserved: reserved, shared, thread: None };
        proxy.serve(listener);
        Ok(proxy)
    }

    fn serve(&mut self, listener: TcpListener) {
        let serving = Arc::clone(&self.shared);
        self.thread = Some(thread::spawn(move || serving.accept(&listener)));
    }

    /// Nothing listens at the address any more, as after the end of a process. Open connections live on.
    pub fn close(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread waits in accept; a connection wakes it.
            let _ = TcpStream::connect(self.address);
            // A panic there leaves nothing to wait for.
            let _ = thread.join();
        }
    }

    /// Listens again after `close`.
    ///
    /// # Errors
    /// It can't listen.
    pub fn open(&mut self) -> io::Result<()> {
        if self.thread.is_some() {
            return Ok(());
        }
        let listener = listen(self.address)?;
        self.shared.closed.store(false, Ordering::Relaxed);
        self.serve(listener);
        Ok(())
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// New connections lead there from now on; those that are open are reset.
    pub fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
        self.reset();
    }

    /// Sets what it does from now on.
    pub fn set(&self, weather: Weather) {
        *lock(&self.shared.weather) = weather;
    }

    /// What it does.
    #[must_use]
    pub fn weather(&self) -> Weather {
        *lock(&self.shared.weather)
    }

    /// What comes back shares a link of so many bytes a second from now on, whatever the weather.
    pub fn narrow(&self, rate: u32) {
        *lock(&self.shared.rate) = Some(rate);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        let open = std::mem::take(&mut *lock(&self.shared.open));
        open.iter().filter_map(Weak::upgrade).for_each(|link| link.reset());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        self.close();
        self.reset();
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for caller in listener.incoming() {
            if self.closed.load(Ordering::Relaxed) {
                return;
            }
            let Ok(caller) = caller else { continue };
            if *lock(&self.weather) == Weather::Refuse {
                // One whose caller has left already can't be reset.
                let _ = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
                continue;
            }
            let shared = Arc::clone(self);
            // A connection whose other end can't be reached is closed, as a dead endpoint's would be.
            thread::spawn(move || drop(shared.join(caller)));
        }
    }

    fn join(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let at = *lock(&self.target);
        let target = TcpStream::connect_timeout(&at, CONNECT).inspect_err(|error| {
            // The other end may be reset before it is known here that it is connected.
            if error.kind() == io::ErrorKind::ConnectionReset {
                let _ = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
            }
        })?;
        for stream in [&caller, &target] {
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(LOOK))?;
        }
        let link = Arc::new(Link { caller, target, is_reset: AtomicBool::new(false) });
        let mut open = lock(&self.open);
        open.retain(|kept| kept.strong_count() != 0);
        open.push(Arc::downgrade(&link));
        drop(open);
        let (shared, back) = (Arc::clone(self), Arc::clone(&link));
        thread::spawn(move || shared.copy(&back, Weather::CutBack));
        self.copy(&link, Weather::CutForth);
        Ok(())
    }

    /// Copies one way until an end closes. Once bytes were lost none pass any more: a stream with a hole
    /// in it is no network's doing.
    fn copy(&self, link: &Link, cut: Weather) {
        let (mut from, mut to) = match cut {
            Weather::CutBack => (&link.target, &link.caller),
            _ => (&link.caller, &link.target),
        };
        let mut buffer = [0; 16 << 10];
        let mut lost = false;
        while !self.ended.load(Ordering::Relaxed) && !link.is_reset() {
            let read = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if is_timeout(&error) => continue,
                Err(_) if lost => break,
                Err(_) => return link.reset(),
            };
            let weather = *lock(&self.weather);
            lost |= weather == Weather::Silent || weather == cut;
            if lost {
                continue;
            }
            if let Weather::Delay(delay) = weather {
                thread::sleep(delay);
            }
            let rate = lock(&self.rate).filter(|_| cut == Weather::CutBack);
            if self.pass(&mut to, &buffer[..read], rate).is_err() {
                break;
            }
        }
        if link.is_reset() {
            return;
        }
        // Either may have closed already. After a loss the other end is not told.
        if !lost {
            let _ = to.shutdown(Shutdown::Write);
        }
        let _ = from.shutdown(Shutdown::Read);
    }

    fn pass(&self, to: &mut &TcpStream, bytes: &[u8], rate: Option<u32>) -> io::Result<()> {
        let Some(rate) = rate else { return to.write_all(bytes) };
        for piece in bytes.chunks(PIECE) {
            let busy = lock(&self.link);
            thread::sleep(Duration::from_secs_f64(piece.len() as f64 / f64::from(rate)));
            drop(busy);
            to.write_all(piece)?;
        }
        Ok(())
    }
}

/// Binds a socket to an address that others may be bound to as well. One that doesn't listen keeps the
/// port for them.
pub(super) fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
