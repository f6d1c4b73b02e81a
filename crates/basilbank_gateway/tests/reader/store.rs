//! A store whose content changes at given times, and whose connection to the daemon has outages.

use std::{rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_gateway::{ReadError, ReadFuture, Reading};
use tokio::time::{Instant, sleep, sleep_until};

use crate::rig::{Rig, configuration, list};

/// How a store behaves during an outage.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outage {
    /// No connection can be made, and established connections transfer nothing.
    Cut,
    /// Connections can be made, and nothing is answered.
    Silent,
    /// Each read is refused at once, including those that wait for a change.
    Refused,
    /// Answers are delayed by this time. They are correct when they are sent.
    Slow(Duration),
}

/// An outage and its time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OutagePeriod {
    pub from: Duration,
    pub to: Duration,
    pub outage: Outage,
}

/// The store's content over time.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// When each version of the configuration is confirmed, besides the first one, which exists
    /// from the start.
    pub versions: Vec<Duration>,
    /// When the list of endpoints changes.
    pub list_changes: Vec<Duration>,
    pub outages: Vec<OutagePeriod>,
    /// Time from a read to its answer.
    pub round_trip: Duration,
}

impl Store {
    /// Returns the newest version that is confirmed at a time.
    pub fn version(&self, at: Duration) -> u64 {
        1 + count(&self.versions, at)
    }

    /// Returns the store's revision. Both topics use the same counter.
    fn revision(&self, at: Duration) -> u64 {
        1 + count(&self.versions, at) + count(&self.list_changes, at)
    }

    /// Returns the revision of a topic's last change.
    pub fn newest(&self, topic: Topic, at: Duration) -> u64 {
        let times = self.times(topic);
        let last = times.iter().filter(|time| **time <= at).max();
        last.map_or(1, |last| self.revision(*last))
    }

    fn times(&self, topic: Topic) -> &[Duration] {
        match topic {
            Topic::Routes => &self.versions,
            Topic::Endpoints => &self.list_changes,
        }
    }

    fn outage(&self, at: Duration) -> Option<OutagePeriod> {
        self.outages.iter().find(|period| period.from <= at && at < period.to).copied()
    }

    fn reading(&self, topic: Topic, at: Duration) -> Reading {
        let reading = match topic {
            Topic::Routes => configuration(1, self.version(at)),
            Topic::Endpoints => list(1, &["a"]),
        };
        let revisions = Revisions {
            store: self.revision(at).into(),
            latest_change: self.newest(topic, at).into(),
        };
        Reading { revisions, ..reading }
    }

    /// Answers a read.
    async fn answer(
        &self,
        topic: Topic,
        query: Query,
        start: Instant,
    ) -> Result<Reading, ReadError> {
        let delay = match self.outage(start.elapsed()).map(|period| period.outage) {
            Some(Outage::Cut) => {
                sleep(query.connect_timeout).await;
                return Err(failed("unreachable"));
            }
            Some(Outage::Silent) => std::future::pending().await,
            Some(Outage::Refused) => {
                sleep(self.round_trip).await;
                return Err(failed("status 503"));
            }
            Some(Outage::Slow(time)) => time,
            None => Duration::ZERO,
        };
        sleep(self.round_trip + delay).await;
        if let Scope::Changes { after, wait } = query.scope {
            let end = Instant::now() + wait;
            while self.newest(topic, start.elapsed()) <= after && Instant::now() < end {
                let next = self.next(topic, start.elapsed()).map_or(end, |next| start + next);
                self.wait(start, next.min(end)).await?;
            }
            if self.newest(topic, start.elapsed()) <= after {
                let store = self.revision(start.elapsed()).into();
                let revisions = Revisions { store, latest_change: Revision::NONE };
                return Ok(Reading { revisions, ..Reading::default() });
            }
        }
        Ok(self.reading(topic, start.elapsed()))
    }

    /// Waits until a time or the next outage, which affects established connections.
    async fn wait(&self, start: Instant, until: Instant) -> Result<(), ReadError> {
        let now = start.elapsed();
        let next =
            self.outages.iter().filter(|period| now <= period.from && start + period.from < until);
        match next.min_by_key(|period| period.from) {
            Some(period) => {
                sleep_until(start + period.from).await;
                match period.outage {
                    Outage::Cut | Outage::Silent => std::future::pending().await,
                    Outage::Refused => Err(failed("reset")),
                    Outage::Slow(_) => {
                        sleep(Duration::from_millis(1)).await;
                        Ok(())
                    }
                }
            }
            None => {
                sleep_until(until).await;
                Ok(())
            }
        }
    }

    /// Returns when the topic changes next.
    fn next(&self, topic: Topic, after: Duration) -> Option<Duration> {
        self.times(topic).iter().filter(|time| after < **time).min().copied()
    }
}

fn count(times: &[Duration], at: Duration) -> u64 {
    times.iter().filter(|time| **time <= at).count() as u64
}

fn failed(error: &str) -> ReadError {
    ReadError::Failed(error.to_owned())
}

impl Rig {
    /// Starts both readers with a store.
    pub fn start_readers(&self, store: &Rc<Store>) {
        let start = self.start();
        for topic in Topic::ALL {
            let store = Rc::clone(store);
            self.start_reader(topic, move |query, _| -> ReadFuture {
                let (store, query) = (Rc::clone(&store), query.clone());
                Box::pin(async move { store.answer(topic, query, start).await })
            });
        }
    }

    /// Runs until a time. With `peer`, a peer that reads the store without trouble reports the
    /// newest changes.
    pub async fn advance_until(&self, store: &Store, until: Duration, peer: bool) {
        let until = self.start() + until;
        while Instant::now() < until {
            if peer {
                let now = self.start().elapsed();
                self.send_gossip(Topic::Routes, store.newest(Topic::Routes, now), Duration::ZERO)
                    .await;
                self.send_gossip(
                    Topic::Endpoints,
                    store.newest(Topic::Endpoints, now),
                    Duration::ZERO,
                )
                .await;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.router.read(|state| state.routes.version)
    }
}
