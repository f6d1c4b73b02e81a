//! The product's core with a clock around it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use basilbank_core::{prelude::*, reduce};
use prost::Message as _;

use crate::world::{Brain, PACKET_OVERHEAD};

thread_local! {
    static SPENT: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static EVENTS: Cell<u64> = const { Cell::new(0) };
    static PACKETS: Cell<Sent> = const { Cell::new(Sent { messages: 0, bytes: 0 }) };
    static SENT: RefCell<BTreeMap<&'static str, Sent>> = const { RefCell::new(BTreeMap::new()) };
}

/// Messages of one kind.
#[derive(Clone, Copy, Default)]
pub struct Sent {
    /// How many.
    pub messages: u64,
    /// Their bytes, with all headers.
    pub bytes: u64,
}

struct Timed(State);

/// A core whose time is counted.
pub fn brain(local: Local, now: Now) -> Box<dyn Brain> {
    Box::new(Timed(State::new(local, now)))
}

/// Time spent in all cores, and events that they took, since this was last asked.
pub fn spent() -> (Duration, u64) {
    (SPENT.take(), EVENTS.take())
}

/// What all cores sent, by kind, since this was last asked.
pub fn sent() -> BTreeMap<&'static str, Sent> {
    SENT.take()
}

/// Packets that all cores sent, if messages of one event to one peer share one as in the shell, since
/// this was last asked.
pub fn packets() -> Sent {
    PACKETS.take()
}

fn count(out: &[Effect]) {
    let mut peers = BTreeSet::new();
    let mut packets = PACKETS.get();
    for effect in out {
        let Effect::Send { to, message } = effect else { continue };
        let Some(body) = &message.body else { continue };
        packets.bytes += message.encoded_len() as u64;
        if peers.insert(*to) {
            packets.messages += 1;
            packets.bytes += PACKET_OVERHEAD;
        }
        SENT.with_borrow_mut(|sent| {
            let of = sent.entry(kind(body)).or_default();
            of.messages += 1;
            of.bytes += message.encoded_len() as u64 + PACKET_OVERHEAD;
        });
    }
    PACKETS.set(packets);
}

fn kind(body: &Body) -> &'static str {
    match body {
        Body::Heartbeat(_) => "heartbeat",
        Body::Reserve(_) => "reserve",
        Body::Grant(_) => "grant",
        Body::Deny(_) => "deny",
        Body::Release(_) => "release",
        Body::AskHolds(_) | Body::Holds(_) => "holds",
        Body::AskLimit(_) => "ask_limit",
        Body::Lease(_) => "lease",
        Body::Claim(_) | Body::Vote(_) | Body::Settle(_) => "claims",
        Body::FetchCatalogue(_) | Body::Catalogue(_) | Body::FetchVms(_) | Body::Vms(_) => "fetch",
        _ => "other",
    }
}

impl Brain for Timed {
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        let start = Instant::now();
        reduce(&mut self.0, now, event, out);
        SPENT.set(SPENT.get() + start.elapsed());
        EVENTS.set(EVENTS.get() + 1);
        count(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.0.wake_at()
    }

    fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    fn revision(&self) -> u64 {
        self.0.view.catalogue.revision
    }

    fn state(&self) -> Option<&State> {
        Some(&self.0)
    }
}
