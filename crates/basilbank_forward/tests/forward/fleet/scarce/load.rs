//! What is played, and what came of it.

use std::{collections::BTreeMap, time::Duration};

use basilbank_forward::prelude::*;

use crate::rig::{WRITER, route, table_with_memory};

/// Tokens of memory of a decode endpoint.
pub const MEMORY: u32 = 28_159;

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub daemons: usize,
    /// Prefill and decode endpoints of each version.
    pub prefill: [u16; 2],
    pub decode: [u16; 2],
    /// Streams that begin in a second.
    pub begins: f64,
    /// How many times as many begin during the burst, which lasts from one time to another.
    pub burst: f64,
    pub bursts: (Duration, Duration),
    /// Decode endpoints of each version that crash.
    pub crashed: [u16; 2],
    /// When they crash, and how long they are away.
    pub crashes: Duration,
    pub away: Duration,
    /// Daemons that are killed from then on, one each half second.
    pub kills: u32,
    /// Whether a part of the streams is more urgent.
    pub has_ranks: bool,
    pub lasts: Duration,
}

impl Load {
    /// A burst on two versions in halves, while endpoints and daemons fail.
    pub fn new() -> Load {
        let seconds = Duration::from_secs;
        Load {
            daemons: 8,
            prefill: [3, 3],
            decode: [9, 9],
            begins: 50.0,
            burst: 2.0,
            bursts: (seconds(5), seconds(13)),
            crashed: [3, 3],
            crashes: seconds(7),
            away: seconds(3),
            kills: 3,
            has_ranks: false,
            lasts: seconds(20),
        }
    }

    pub(super) fn rate_at(&self, since: Duration) -> f64 {
        let is_burst = (self.bursts.0..self.bursts.1).contains(&since);
        if is_burst { self.begins * self.burst } else { self.begins }
    }
}

/// The routes; `/express/` is more urgent where there are ranks.
pub fn table(load: &Load) -> RouteTable {
    let routes = vec![
        route("/draft/", RouteKind::Streaming, WRITER, 2),
        Route { priority: 0, ..route("/express/", RouteKind::Streaming, WRITER, 2) },
    ];
    let count = if load.has_ranks { 2 } else { 1 };
    table_with_memory(1, MEMORY).with_routes(routes.into_iter().take(count).collect())
}

/// Streams of one kind, and those of them that an endpoint answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub streams: u32,
    /// The calls for them; callers come back who are refused.
    pub calls: u32,
    pub served: u32,
}

impl Share {
    pub fn part(self) -> f64 {
        f64::from(self.served) / f64::from(self.streams.max(1))
    }

    pub fn part_of_calls(self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    /// Resumable streams that were to begin.
    pub new: Share,
    /// Streams that were taken up again.
    pub back: Share,
    /// More urgent streams that were to begin.
    pub express: Share,
    /// Streams that went on at another version.
    pub mixed: u32,
    /// Why tries of streams that were taken up ended without an answer.
    pub back_refused: BTreeMap<&'static str, u32>,
    /// The same of those that were to begin.
    pub new_refused: BTreeMap<&'static str, u32>,
    /// Time until these refusals of streams that were taken up.
    pub refused_after: Vec<Duration>,
}

impl Got {
    /// The figures of both kinds side by side.
    pub fn summary(&self) -> String {
        let row = |share: Share| {
            let (part, of_calls) = (share.part(), share.part_of_calls());
            format!("{} of {} ({part:.2}; of calls {of_calls:.2})", share.served, share.streams)
        };
        format!(
            "begin {}, go on {}, express {}, mixed {}, take-ups refused {:?} after {:?}, new ones {:?}",
            row(self.new),
            row(self.back),
            row(self.express),
            self.mixed,
            self.back_refused,
            self.median_refusal(),
            self.new_refused,
        )
    }

    /// The median time until a refusal of a stream that was taken up.
    pub fn median_refusal(&self) -> Duration {
        let mut times = self.refused_after.clone();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}
