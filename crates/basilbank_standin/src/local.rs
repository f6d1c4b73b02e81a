//! Addresses and processes of this machine.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener},
};

use anyhow::Context;

/// An address of loopback that nobody listens on just now.
///
/// # Errors
/// There is no free port.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

/// A figure of a process's `/proc/PID/status`, in the unit that it has there.
///
/// # Errors
/// There is no such process or figure.
pub fn process_figure(pid: u32, name: &str) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).context("no such process")?;
    let line = text.lines().find(|line| line.starts_with(name)).context("no such figure")?;
    let number = line.split_whitespace().nth(1).context("no value")?;
    Ok(number.parse()?)
}
