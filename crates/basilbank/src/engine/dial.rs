//! TCP connections of the HTTP client, and what their errors mean.

use std::{cell::Cell, io};

use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

use crate::excess::is_excess;

thread_local! {
    /// Whether a connection that this thread gave up had the rest of a body left.
    static HAS_EXCESS: Cell<bool> = const { Cell::new(false) };
}

/// Forgets what connections had left that this thread gave up.
pub fn forget_excess() {
    HAS_EXCESS.set(false);
}

/// Returns whether a connection that this thread gave up since then had the rest of a body left.
///
/// The HTTP client gives a connection up, or keeps it for the next call, on the thread that reads the end
/// of the answer, and keeps none that has anything left.
#[must_use]
pub fn has_excess() -> bool {
    HAS_EXCESS.get()
}

/// Makes TCP connections, and tells a failure to make one from all later failures.
///
/// The error kinds of the operating system overlap: `HostUnreachable` may come from `connect`, but
/// also from a read after the request was sent. Taken for 'nothing was sent' the latter would let
/// a call that may not be repeated run twice. So every failure to connect gets an error of its own.
#[derive(Debug, Default)]
pub struct Dial(TcpConnector);

impl Connector for Dial {
    type Out = Connection<<TcpConnector as Connector>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let connected = self.0.connect(details, chained);
        Ok(connected.map_err(|_| ureq::Error::ConnectionFailed)?.map(Connection))
    }
}

/// A connection that ends only by an orderly close.
///
/// A body with neither length nor chunks ends with its connection. ureq takes a reset for such an
/// end as well, by the error's kind, and half a body would pass for a whole one. So errors of reads
/// lose their kind here.
#[derive(Debug)]
pub struct Connection<T: Transport>(T);

impl<T: Transport> Drop for Connection<T> {
    fn drop(&mut self) {
        if is_excess(self.0.buffers().input()) {
            HAS_EXCESS.set(true);
        }
    }
}

impl<T: Transport> Transport for Connection<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout).map_err(|error| match error {
            ureq::Error::Io(error) => ureq::Error::Io(io::Error::other(error)),
            error => error,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}
