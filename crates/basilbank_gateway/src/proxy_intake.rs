//! Reads what peers send for calls that this daemon makes for them, within the bound on bodies.

use std::io;

use basilbank::callers::body_budget::{BodyBudget, BodyClaim};
use basilbank_wire::{
    MAX_PROXY_FRAME_BYTES, PROXY_LENGTH_BYTES, ProxyCodec, ProxyMessage, ProxyRequest,
};
use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

/// What a peer has sent.
#[derive(Debug)]
pub enum Received {
    /// A request, and its part of the budget.
    Request(Box<ProxyRequest>, BodyClaim),
    /// A message that only this daemon sends.
    Other,
    /// A message that there was no memory for. It was skipped.
    NoMemory,
}

/// Reads messages whose frames fit into the budget, and skips the others.
///
/// The length of a frame is known before the rest of it arrives, and a peer sends all of it at once,
/// so the whole length is reserved. A peer that doesn't is disconnected after a while.
#[derive(Debug)]
pub struct BudgetedCodec {
    codec: ProxyCodec,
    budget: BodyBudget,
    /// The part of the budget for the frame that is being read.
    claim: Option<BodyClaim>,
    /// Number of bytes of a frame that are still to be skipped.
    skipping: usize,
}

impl BudgetedCodec {
    /// Creates a codec for one connection.
    #[must_use]
    pub fn new(budget: BodyBudget) -> BudgetedCodec {
        BudgetedCodec { codec: ProxyCodec::default(), budget, claim: None, skipping: 0 }
    }

    fn skip(&mut self, source: &mut BytesMut) -> Option<Received> {
        let bytes = self.skipping.min(source.len());
        source.advance(bytes);
        self.skipping -= bytes;
        (self.skipping == 0).then_some(Received::NoMemory)
    }
}

impl Decoder for BudgetedCodec {
    type Item = Received;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Received>> {
        if self.skipping != 0 {
            return Ok(self.skip(source));
        }
        if self.claim.is_none() {
            let Some(length) = source.first_chunk::<PROXY_LENGTH_BYTES>() else { return Ok(None) };
            let length = u32::from_be_bytes(*length) as usize;
            if MAX_PROXY_FRAME_BYTES < length {
                return Err(io::ErrorKind::InvalidData.into());
            }
            match self.budget.admit(length) {
                Ok(claim) => self.claim = Some(claim),
                Err(_) => {
                    self.skipping = PROXY_LENGTH_BYTES + length;
                    return Ok(self.skip(source));
                }
            }
        }
        let Some(message) = self.codec.decode(source)? else { return Ok(None) };
        // The message refers to the buffer's memory, which the connection would keep.
        if source.is_empty() {
            *source = BytesMut::new();
        }
        Ok(self.claim.take().map(|claim| match message {
            ProxyMessage::Request(request) => Received::Request(Box::new(request), claim),
            _ => Received::Other,
        }))
    }
}
