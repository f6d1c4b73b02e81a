//! Ports for daemons, of which no two processes take the same one.

use std::{
    io,
    net::{Ipv4Addr, TcpListener, UdpSocket},
    ops::Range,
    process,
    sync::{Mutex, PoisonError},
};

/// Where the ports begin. All are below those that the system gives to outgoing connections: one of
/// these would take a port before its daemon listens, and keep it for a minute.
const FIRST_PORT: u16 = 10_000;

/// Ports of a block. The first one is listened at for as long as the block is taken.
const BLOCK_PORTS: u16 = 100;

/// Number of blocks.
const BLOCKS: u16 = 200;

/// Maximum number of blocks that one process takes. It uses their ports again after that.
const MAX_BLOCKS: usize = 16;

/// Maximum number of ports that are tried at once.
const MAX_TRIES: u32 = BLOCK_PORTS as u32 * MAX_BLOCKS as u32;

/// Ports that are taken in blocks. Each block belongs to one `Ports` of all processes until that is
/// dropped.
#[derive(Debug, Default)]
pub struct Ports {
    blocks: Vec<TcpListener>,
    /// Times that a block was used again.
    repeats: usize,
    left: Range<u16>,
}

impl Ports {
    /// Without a block.
    #[must_use]
    pub const fn new() -> Ports {
        Ports { blocks: Vec::new(), repeats: 0, left: 0..0 }
    }

    /// A port that is free for datagrams and for connections, and that nobody else takes.
    ///
    /// # Errors
    /// No port is free.
    pub fn take(&mut self) -> io::Result<u16> {
        for _ in 0..MAX_TRIES {
            match self.left.next() {
                Some(port) if is_free(port) => return Ok(port),
                Some(_) => {}
                None => self.left = self.next_block()?,
            }
        }
        Err(io::Error::other("no port is free"))
    }

    fn next_block(&mut self) -> io::Result<Range<u16>> {
        let index = match self.take_block() {
            Some(block) => {
                self.blocks.push(block);
                self.blocks.len() - 1
            }
            None => {
                self.repeats += 1;
                self.repeats % self.blocks.len().max(1)
            }
        };
        let no_block = || io::Error::other("no block of ports is free");
        let block = self.blocks.get(index).ok_or_else(no_block)?;
        let first = block.local_addr()?.port();
        Ok(first + 1..first + BLOCK_PORTS)
    }

    fn take_block(&self) -> Option<TcpListener> {
        if MAX_BLOCKS <= self.blocks.len() {
            return None;
        }
        // Processes that start at the same time begin at different blocks.
        let start = (process::id() % u32::from(BLOCKS)) as u16;
        let mut firsts = (0..BLOCKS).map(|n| FIRST_PORT + (start + n) % BLOCKS * BLOCK_PORTS);
        firsts.find_map(|first| TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok())
    }
}

/// A port from those of this process.
///
/// # Errors
/// No port is free.
pub(super) fn free_port() -> io::Result<u16> {
    static PORTS: Mutex<Ports> = Mutex::new(Ports::new());
    PORTS.lock().unwrap_or_else(PoisonError::into_inner).take()
}

fn is_free(port: u16) -> bool {
    let address = (Ipv4Addr::LOCALHOST, port);
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
