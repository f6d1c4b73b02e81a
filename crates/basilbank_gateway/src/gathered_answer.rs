//! Answers that are read to their end before they are passed on.

use basilbank_forward::prelude::*;
use bytes::Bytes;

use basilbank::callers::body_budget::AnswerClaim;

/// The part of an answer that has come. Its memory counts in the budget for bodies.
#[derive(Debug)]
pub struct GatheredAnswer {
    bytes: Vec<u8>,
    claim: AnswerClaim,
    max_bytes: usize,
}

impl GatheredAnswer {
    /// Creates an answer of at most this many bytes.
    #[must_use]
    pub fn new(claim: AnswerClaim, max_bytes: usize) -> GatheredAnswer {
        GatheredAnswer { bytes: Vec::new(), claim, max_bytes }
    }

    /// Adds a piece as soon as there is memory for it.
    ///
    /// # Errors
    /// Returns an error if the answer is longer than allowed.
    pub async fn push(&mut self, data: &[u8]) -> Result<(), Damage> {
        let length = self.bytes.len() + data.len();
        if self.max_bytes < length {
            return Err(Damage::Endless);
        }
        if self.bytes.capacity() < length {
            let capacity = (2 * self.bytes.capacity()).clamp(length, self.max_bytes);
            self.claim.resize(capacity).await;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the answer, which counts in the budget until its last clone is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.claim.attach(self.bytes.into())
    }
}
