//! A loopback proxy that does to connections what networks do.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use socket2::SockRef;

/// How often a copying thread looks whether the proxy has ended.
const LOOK: Duration = Duration::from_millis(200);

/// Longest wait for the real end.
const CONNECT: Duration = Duration::from_millis(500);

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
    open: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
}

/// A proxy before one address. Dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on loopback, before `target`.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            weather: Mutex::default(),
            rate: Mutex::default(),
            link: Mutex::default(),
            open: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let serving = Arc::clone(&shared);
        let thread = thread::spawn(move || serving.accept(&listener));
        Ok(Proxy { address, shared, thread: Some(thread) })
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

    /// What comes back shares a link of so many bytes a second from now on, whatever the weather.
    pub fn narrow(&self, rate: u32) {
        *lock(&self.shared.rate) = Some(rate);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            // One that has ended before can't be reset.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        // The thread waits in accept; a connection wakes it.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            // A panic there leaves nothing to wait for.
            let _ = thread.join();
        }
        self.reset();
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for caller in listener.incoming() {
            if self.ended.load(Ordering::Relaxed) {
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
            thread::spawn(move || drop(shared.join(&caller)));
        }
    }

    fn join(self: &Arc<Self>, caller: &TcpStream) -> io::Result<()> {
        let target = *lock(&self.target);
        let end = TcpStream::connect_timeout(&target, CONNECT)?;
        for stream in [caller, &end] {
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(LOOK))?;
            lock(&self.open).push(stream.try_clone()?);
        }
        let (shared, from, to) = (Arc::clone(self), end.try_clone()?, caller.try_clone()?);
        thread::spawn(move || shared.copy(from, to, Weather::CutBack));
        self.copy(caller.try_clone()?, end, Weather::CutForth);
        Ok(())
    }

    /// Copies until an end closes. Once bytes were lost none pass any more: a stream with a hole in it
    /// is no network's doing.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, cut: Weather) {
        let mut buffer = [0; 16 << 10];
        let mut lost = false;
        while !self.ended.load(Ordering::Relaxed) {
            let read = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if is_timeout(&error) => continue,
                Err(_) => break,
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
        // Either may have closed already. After a loss the other end is not told.
        if !lost {
            let _ = to.shutdown(Shutdown::Write);
        }
        let _ = from.shutdown(Shutdown::Read);
    }

    fn pass(&self, to: &mut TcpStream, bytes: &[u8], rate: Option<u32>) -> io::Result<()> {
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

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
