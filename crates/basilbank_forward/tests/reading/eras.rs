//! How a daemon's readers handle the era of an answer: missing, newer, older or alternating.

use std::time::Duration;

use basilbank_forward::prelude::*;

/// Drives a daemon's readers by hand.
struct ReaderHarness {
    readers: Readers,
    now: Duration,
    latest_change: PerTopic<Revision>,
    /// Pending reads of each topic, the newest last.
    pending: PerTopic<Vec<(ReadId, Scope)>>,
    /// Number of full reads that were started.
    full_reads: u32,
    missing_revisions: Vec<Revision>,
}

impl ReaderHarness {
    /// Returns readers that have read both topics in this era and watch them.
    fn new(era: Option<u64>) -> ReaderHarness {
        let mut harness = ReaderHarness {
            readers: Readers::default(),
            now: Duration::from_secs(1),
            latest_change: PerTopic::default(),
            pending: PerTopic { routes: Vec::new(), endpoints: Vec::new() },
            full_reads: 0,
            missing_revisions: Vec::new(),
        };
        for topic in Topic::ALL {
            harness.step(topic, ReadEvent::Tick);
            harness.end_without_changes(topic, era, 100);
        }
        harness.full_reads = 0;
        harness
    }

    fn step(&mut self, topic: Topic, event: ReadEvent) {
        let wait = Duration::from_secs(2);
        let latest_change = *self.latest_change.get(topic);
        let context = ReaderContext {
            watch_wait: wait,
            peers_in_contact: 5,
            is_shared: true,
            latest_change,
            ..ReaderContext::default()
        };
        let mut effects = Vec::new();
        self.readers.step(topic, self.now, context, event, &mut effects);
        for effect in effects {
            let pending = self.pending.get_mut(topic);
            match effect {
                ReadEffect::Start(id, query) => {
                    self.full_reads +=
                        u32::from(query.scope == Scope::Page { page_token: String::new() });
                    pending.push((id, query.scope));
                }
                ReadEffect::Close { read, .. } => pending.retain(|(id, _)| *id != read),
                ReadEffect::RevisionNotFound(revision) => self.missing_revisions.push(revision),
                ReadEffect::StoreLost | ReadEffect::Log(_) => {}
            }
        }
    }

    /// Ends the newest read. Returns the era in which the answer is accepted, or `None` if it is
    /// rejected.
    fn end_read(&mut self, topic: Topic, era: Option<u64>, outcome: ReadOutcome) -> Option<u64> {
        let (read, _) = self.pending.get_mut(topic).pop().expect("a pending read");
        let accepted_era = self.readers.accepted_era(topic, read, era);
        self.step(topic, ReadEvent::Ended { read, era, outcome });
        accepted_era
    }

    /// Ends the newest read with an answer without changes. Returns the era in which the answer is
    /// accepted.
    fn end_without_changes(
        &mut self,
        topic: Topic,
        era: Option<u64>,
        store_revision: u64,
    ) -> Option<u64> {
        self.end_read(
            topic,
            era,
            ReadOutcome::Answer { store_revision, changed: false, next_page: None, bytes: 100 },
        )
    }

    /// Ends the newest read with a page of a full read that isn't the last one. Returns the era in
    /// which the page is accepted.
    fn end_with_page(&mut self, topic: Topic, era: Option<u64>) -> Option<u64> {
        let next = Some("servers/m".to_owned());
        self.end_read(
            topic,
            era,
            ReadOutcome::Answer { store_revision: 100, changed: true, next_page: next, bytes: 100 },
        )
    }

    /// Advances the time and lets the readers start the reads that are due.
    fn advance(&mut self, time: Duration) {
        self.now += time;
        for topic in Topic::ALL {
            self.step(topic, ReadEvent::Tick);
        }
    }

    fn scope(&self, topic: Topic) -> Option<&Scope> {
        self.pending.get(topic).last().map(|(_, scope)| scope)
    }
}

fn first_page() -> Scope {
    Scope::Page { page_token: String::new() }
}

const ENDPOINTS: Topic = Topic::Endpoints;

#[test]
fn answers_without_an_era_are_accepted_as_era_zero() {
    let mut harness = ReaderHarness::new(None);
    assert_eq!(harness.end_without_changes(ENDPOINTS, None, 120), Some(0));
    assert!(matches!(harness.scope(ENDPOINTS), Some(Scope::Changes { after: 120, .. })));
    assert_eq!(harness.full_reads, 0);
}

#[test]
fn an_answer_without_an_era_belongs_to_the_known_era() {
    let mut harness = ReaderHarness::new(Some(3));
    assert_eq!(harness.end_without_changes(ENDPOINTS, None, 120), Some(3));
    assert_eq!(harness.full_reads, 0);
}

/// Symptom: a change was never seen, though the store answered all the time.
/// Sequence: the store is restored from a backup and assigns revisions again; a watch for changes after
/// one of these revisions ends without changes.
/// Cause: the reader took the answer to mean that nothing had changed.
#[test]
fn a_watch_that_ends_in_a_new_era_starts_full_reads() {
    let mut harness = ReaderHarness::new(Some(1));
    assert_eq!(harness.end_without_changes(ENDPOINTS, Some(2), 100), None);
    harness.advance(Duration::from_millis(600));
    assert_eq!(
        (harness.scope(ENDPOINTS), harness.scope(Topic::Routes)),
        (Some(&first_page()), Some(&first_page()))
    );
    assert_eq!(harness.end_without_changes(ENDPOINTS, Some(2), 40), Some(2));
    assert_eq!(harness.end_without_changes(Topic::Routes, Some(2), 40), Some(2));
    assert_eq!(harness.full_reads, 2);
}

#[test]
fn an_error_response_reports_the_era() {
    let mut harness = ReaderHarness::new(Some(1));
    harness.end_read(ENDPOINTS, Some(2), ReadOutcome::Failed("status 503".to_owned()));
    harness.advance(Duration::from_millis(1500));
    assert_eq!(harness.scope(Topic::Routes), Some(&first_page()));
}

/// Symptom: an endpoint was missing from the list.
/// Sequence: the store is restored from a backup between two pages of a full read.
/// Cause: the reader combined the pages, though the second one belongs to another history.
#[test]
fn pages_of_two_eras_are_discarded() {
    let mut harness = ReaderHarness::new(Some(1));
    harness.end_read(ENDPOINTS, Some(1), ReadOutcome::HistoryGone);
    harness.advance(Duration::from_millis(600));
    assert_eq!(harness.end_with_page(ENDPOINTS, Some(1)), Some(1));
    assert!(
        matches!(harness.scope(ENDPOINTS), Some(Scope::Page { page_token }) if !page_token.is_empty())
    );
    assert_eq!(harness.end_without_changes(ENDPOINTS, Some(2), 100), None);
    harness.advance(Duration::from_millis(600));
    assert_eq!(harness.scope(ENDPOINTS), Some(&first_page()));
}

#[test]
fn an_answer_of_an_older_era_is_rejected() {
    let mut harness = ReaderHarness::new(Some(5));
    assert_eq!(harness.end_without_changes(ENDPOINTS, Some(4), 990), None);
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.end_without_changes(ENDPOINTS, Some(5), 130), Some(5));
    assert_eq!(harness.full_reads, 0);
}

/// Symptom: a daemon never read the store again.
/// Sequence: the header of one answer is corrupted and reports an era that is far ahead.
/// Cause: all later answers report an older era and were rejected.
#[test]
fn an_older_era_is_accepted_after_a_timeout() {
    let mut harness = ReaderHarness::new(Some(1));
    harness.end_without_changes(ENDPOINTS, Some(999), 100);
    let mut accepted = None;
    for _ in 0..40 {
        harness.advance(Duration::from_millis(800));
        if harness.scope(ENDPOINTS).is_some() {
            accepted = harness.end_without_changes(ENDPOINTS, Some(1), 140);
        }
        if harness.scope(Topic::Routes).is_some() {
            harness.end_without_changes(Topic::Routes, Some(1), 140);
        }
    }
    assert_eq!(accepted, Some(1));
}

/// Symptom: a daemon started a full read with each answer.
/// Sequence: its answers come alternately from two stores, one of which lags behind.
/// Cause: the reader took each change of the era for a restore from a backup.
#[test]
fn alternating_eras_do_not_cause_a_full_read_each_time() {
    let mut harness = ReaderHarness::new(Some(4));
    let mut random_state = 1_u64;
    let mut full_reads = 0;
    for _ in 0..400 {
        harness.advance(Duration::from_millis(100));
        for topic in Topic::ALL {
            random_state = random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let is_full_read = harness.scope(topic) == Some(&first_page());
            if harness.scope(topic).is_some()
                && harness.end_without_changes(topic, Some(4 + (random_state >> 63)), 140).is_some()
            {
                full_reads += u32::from(is_full_read);
            }
        }
    }
    assert!((2..=4).contains(&full_reads), "{full_reads} full reads in 40 s");
}

#[test]
fn a_false_report_of_an_era_costs_one_read() {
    let mut harness = ReaderHarness::new(Some(1));
    let reported = Revision { era: 2, number: 7 };
    *harness.latest_change.get_mut(ENDPOINTS) = reported;
    harness.advance(Duration::from_millis(1));
    harness.advance(Duration::from_millis(400));
    assert!(
        matches!(harness.scope(ENDPOINTS), Some(Scope::Changes { after: 100, wait }) if wait.is_zero())
    );
    harness.end_without_changes(ENDPOINTS, Some(1), 100);
    assert_eq!(harness.missing_revisions, [reported]);
    harness.advance(Duration::from_millis(100));
    assert!(
        matches!(harness.scope(ENDPOINTS), Some(Scope::Changes { wait, .. }) if !wait.is_zero())
    );
    assert_eq!(harness.full_reads, 0);
}
