//! TCP connections of the HTTP client, and what their errors mean.

use std::io;

use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

use crate::engine::received;

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

/// A connection that ends only by an orderly close, or with an answer that has no end.
///
/// A body with neither length nor chunks ends with its connection. ureq takes a reset for such an
/// end as well, by the error's kind, and half a body would pass for a whole one. So errors of reads
/// lose their kind here.
#[derive(Debug)]
pub struct Connection<T: Transport>(T);

impl<T: Transport> Drop for Connection<T> {
    fn drop(&mut self) {
        received::record_left(self.0.buffers().input());
    }
}

impl<T: Transport> Transport for Connection<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        received::await_piece();
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let before = self.0.buffers().input().len();
        let has_come = self.0.await_input(timeout).map_err(|error| match error {
            ureq::Error::Io(error) => ureq::Error::Io(io::Error::other(error)),
            error => error,
        })?;
        let after = self.0.buffers().input().len();
        received::record_bytes(after.saturating_sub(before))?;
        Ok(has_come)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}
