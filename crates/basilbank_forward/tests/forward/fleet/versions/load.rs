//! What is played, and what came of it.

use std::{collections::BTreeMap, time::Duration};

use super::super::{HISTORY, Told};

/// What becomes of the endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    Nothing,
    /// One after the other crashes, and comes back under a new id with its version.
    Crashes,
    /// All decode endpoints of the first version but one crash, for good.
    AllButOne,
    /// The first version is replaced by a new one in steps.
    Replaced,
    /// The endpoints of the first version go, one after the other.
    LastGoes,
    /// All decode endpoints of the first version crash at once, for good.
    AllCrash,
}

/// What befalls the daemons.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Trouble {
    Nothing,
    /// One after the other is killed.
    Restarts,
    /// All are killed at once, over and over.
    AllAtOnce,
    /// One daemon is killed, another one is cut off, over and over.
    CutOff,
    /// Two halves don't hear each other, every other while.
    Halves,
}

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub daemons: usize,
    pub versions: usize,
    /// Decode endpoints of each version.
    pub decode: usize,
    /// Streams that begin, in a second.
    pub begins: f64,
    /// When changes and troubles begin.
    pub starts: Duration,
    pub lasts: Duration,
    /// Between two changes, or troubles.
    pub every: Duration,
    /// How long after a change a trouble begins.
    pub after: Duration,
    /// Datagrams that are lost, as a part of all.
    pub loss: f64,
    /// How much later than the others some daemons learn of changes of the list.
    pub lateness: Duration,
    /// How long the store keeps the list's changes.
    pub history: Duration,
    /// Whether endpoints' records state no version.
    pub unstated: bool,
    pub change: Change,
    pub trouble: Trouble,
    /// Part of the streams that are cut off before their first event.
    pub no_event: f64,
}

impl Load {
    pub fn new(daemons: usize, change: Change, trouble: Trouble) -> Load {
        Load {
            daemons,
            versions: 2,
            decode: 4,
            begins: 60.0,
            starts: Duration::from_secs(4),
            lasts: Duration::from_secs(14),
            every: Duration::from_millis(1200),
            after: Duration::from_millis(600),
            loss: 0.001,
            lateness: Duration::ZERO,
            history: HISTORY,
            unstated: false,
            change,
            trouble,
            no_event: 0.0,
        }
    }
}

/// Calls of one kind, and those of them that an endpoint answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub calls: u32,
    pub served: u32,
}

impl Share {
    pub fn part(self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }

    pub(super) fn count(&mut self, is_served: bool) {
        self.calls += 1;
        self.served += u32::from(is_served);
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    /// Streams that went on at another version, each with what daemons knew.
    pub mixed: Vec<String>,
    /// KV caches that another version was asked to decode.
    pub foreign: Vec<String>,
    /// New streams at daemons that hear peers.
    pub new: Share,
    /// Streams that came back to such daemons while two endpoints of their version serve.
    pub back: Share,
    /// Streams that came back otherwise.
    pub back_others: Share,
    /// Why calls of streams that came back were refused.
    pub refused: BTreeMap<&'static str, u32>,
    /// Refusals and aborts later than at once, by whether the daemon lists endpoints of the version.
    pub late_gone: Vec<String>,
    pub late_listed: u32,
    /// The longest time to a refusal or an abort by a daemon that lists such endpoints.
    pub longest: Duration,
    /// Streams that were aborted.
    pub aborted: u32,
    /// Most bytes in a second that a daemon received of its peers.
    pub heard: f64,
    /// Most records that a daemon had.
    pub records: usize,
    pub told: Told,
    /// Streams that began.
    pub began: u32,
}
