//! What an answer's era means to a daemon's readers: one that is missing, newer, older, or goes to and fro.

use std::time::Duration;

use basilbank_forward::prelude::*;

/// A daemon's readers, fed by hand.
struct Rig {
    readers: Readers,
    now: Duration,
    news: PerTopic<Revision>,
    /// Questions of the configuration and of the list that are open, the newest last.
    asked: PerTopic<Vec<(ReadId, Scope)>>,
    /// Questions for the beginning of everything.
    anew: u32,
    disproved: Vec<Revision>,
}

impl Rig {
    /// Both topics were read in this era, and are watched.
    fn new(era: Option<u64>) -> Rig {
        let mut rig = Rig {
            readers: Readers::default(),
            now: Duration::from_secs(1),
            news: PerTopic::default(),
            asked: PerTopic { routes: Vec::new(), endpoints: Vec::new() },
            anew: 0,
            disproved: Vec::new(),
        };
        for topic in Topic::ALL {
            rig.feed(topic, ReadEvent::Tick);
            rig.answer(topic, era, 100);
        }
        rig.anew = 0;
        rig
    }

    fn feed(&mut self, topic: Topic, event: ReadEvent) {
        let wait = Duration::from_secs(2);
        let news = *self.news.get(topic);
        let around = ReaderContext {
            watch_wait: wait,
            peers_in_contact: 5,
            is_shared: true,
            latest_change: news,
            ..ReaderContext::default()
        };
        let mut effects = Vec::new();
        self.readers.step(topic, self.now, around, event, &mut effects);
        for effect in effects {
            let asked = self.asked.get_mut(topic);
            match effect {
                ReadEffect::Start(id, query) => {
                    self.anew +=
                        u32::from(query.scope == Scope::Page { page_token: String::new() });
                    asked.push((id, query.scope));
                }
                ReadEffect::Close { read, .. } => asked.retain(|(id, _)| *id != read),
                ReadEffect::RevisionNotFound(revision) => self.disproved.push(revision),
                ReadEffect::StoreLost | ReadEffect::Log(_) => {}
            }
        }
    }

    /// The newest question is answered.
    fn came(&mut self, topic: Topic, era: Option<u64>, came: ReadOutcome) -> Option<u64> {
        let (read, _) = self.asked.get_mut(topic).pop().expect("a question");
        let counts = self.readers.accepted_era(topic, read, era);
        self.feed(topic, ReadEvent::Ended { read, era, outcome: came });
        counts
    }

    /// The same, with nothing that was not known. Returns the era in which the answer counts.
    fn answer(&mut self, topic: Topic, era: Option<u64>, store: u64) -> Option<u64> {
        self.came(
            topic,
            era,
            ReadOutcome::Answer {
                store_revision: store,
                changed: false,
                next_page: None,
                bytes: 100,
            },
        )
    }

    /// A page of everything that isn't the last.
    fn page(&mut self, topic: Topic, era: Option<u64>) -> Option<u64> {
        let next = Some("servers/m".to_owned());
        self.came(
            topic,
            era,
            ReadOutcome::Answer { store_revision: 100, changed: true, next_page: next, bytes: 100 },
        )
    }

    /// Lets time pass, and asks what is due.
    fn pass(&mut self, time: Duration) {
        self.now += time;
        for topic in Topic::ALL {
            self.feed(topic, ReadEvent::Tick);
        }
    }

    fn scope(&self, topic: Topic) -> Option<&Scope> {
        self.asked.get(topic).last().map(|(_, scope)| scope)
    }
}

fn beginning() -> Scope {
    Scope::Page { page_token: String::new() }
}

const LIST: Topic = Topic::Endpoints;

#[test]
fn a_store_that_never_says_its_era_has_one() {
    let mut rig = Rig::new(None);
    assert_eq!(rig.answer(LIST, None, 120), Some(0));
    assert!(matches!(rig.scope(LIST), Some(Scope::Changes { after: 120, .. })));
    assert_eq!(rig.anew, 0);
}

#[test]
fn an_answer_that_does_not_say_its_era_is_of_the_known_one() {
    let mut rig = Rig::new(Some(3));
    assert_eq!(rig.answer(LIST, None, 120), Some(3));
    assert_eq!(rig.anew, 0);
}

/// Symptom: a change was never seen, though the store answered all the time.
/// Sequence: the store comes back from a copy; a watch for changes after a number that it gives out again
/// ends without any.
/// Cause: the answer was taken for one that says that nothing has changed.
#[test]
fn a_watch_that_ends_in_a_new_era_brings_nothing_but_the_era() {
    let mut rig = Rig::new(Some(1));
    assert_eq!(rig.answer(LIST, Some(2), 100), None);
    rig.pass(Duration::from_millis(600));
    assert_eq!(
        (rig.scope(LIST), rig.scope(Topic::Routes)),
        (Some(&beginning()), Some(&beginning()))
    );
    assert_eq!(rig.answer(LIST, Some(2), 40), Some(2));
    assert_eq!(rig.answer(Topic::Routes, Some(2), 40), Some(2));
    assert_eq!(rig.anew, 2);
}

#[test]
fn an_error_tells_the_era_too() {
    let mut rig = Rig::new(Some(1));
    rig.came(LIST, Some(2), ReadOutcome::Failed("status 503".to_owned()));
    rig.pass(Duration::from_millis(1500));
    assert_eq!(rig.scope(Topic::Routes), Some(&beginning()));
}

/// Symptom: an endpoint was missing from the list.
/// Sequence: the store comes back from a copy between two pages.
/// Cause: the pages were put together, though the second one is of another history.
#[test]
fn pages_of_two_eras_are_thrown_away() {
    let mut rig = Rig::new(Some(1));
    rig.came(LIST, Some(1), ReadOutcome::HistoryGone);
    rig.pass(Duration::from_millis(600));
    assert_eq!(rig.page(LIST, Some(1)), Some(1));
    assert!(matches!(rig.scope(LIST), Some(Scope::Page { page_token: from }) if !from.is_empty()));
    assert_eq!(rig.answer(LIST, Some(2), 100), None);
    rig.pass(Duration::from_millis(600));
    assert_eq!(rig.scope(LIST), Some(&beginning()));
}

#[test]
fn an_answer_of_an_older_era_is_not_taken_in() {
    let mut rig = Rig::new(Some(5));
    assert_eq!(rig.answer(LIST, Some(4), 990), None);
    rig.pass(Duration::from_secs(1));
    assert_eq!(rig.answer(LIST, Some(5), 130), Some(5));
    assert_eq!(rig.anew, 0);
}

/// Symptom: a daemon never read the store again.
/// Sequence: the header of one answer is damaged, and names an era that is far ahead.
/// Cause: all answers since then are of an older one.
#[test]
fn an_era_that_stays_older_is_believed_after_a_while() {
    let mut rig = Rig::new(Some(1));
    rig.answer(LIST, Some(999), 100);
    let mut counted = None;
    for _ in 0..40 {
        rig.pass(Duration::from_millis(800));
        if rig.scope(LIST).is_some() {
            counted = rig.answer(LIST, Some(1), 140);
        }
        if rig.scope(Topic::Routes).is_some() {
            rig.answer(Topic::Routes, Some(1), 140);
        }
    }
    assert_eq!(counted, Some(1));
}

/// Symptom: one daemon read everything again with each answer.
/// Sequence: its answers come from two stores by turns, one of which has fallen behind.
/// Cause: each change of the era was taken for a return from a copy.
#[test]
fn eras_that_go_to_and_fro_do_not_make_a_daemon_read_everything_each_time() {
    let mut rig = Rig::new(Some(4));
    let mut random = 1_u64;
    let mut read = 0;
    for _ in 0..400 {
        rig.pass(Duration::from_millis(100));
        for topic in Topic::ALL {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let anew = rig.scope(topic) == Some(&beginning());
            if rig.scope(topic).is_some()
                && rig.answer(topic, Some(4 + (random >> 63)), 140).is_some()
            {
                read += u32::from(anew);
            }
        }
    }
    assert!((2..=4).contains(&read), "everything was read {read} times in 40 s");
}

#[test]
fn a_peer_s_false_word_of_an_era_costs_one_question() {
    let mut rig = Rig::new(Some(1));
    let word = Revision { era: 2, number: 7 };
    *rig.news.get_mut(LIST) = word;
    rig.pass(Duration::from_millis(1));
    rig.pass(Duration::from_millis(400));
    assert!(matches!(rig.scope(LIST), Some(Scope::Changes { after: 100, wait }) if wait.is_zero()));
    rig.answer(LIST, Some(1), 100);
    assert_eq!(rig.disproved, [word]);
    rig.pass(Duration::from_millis(100));
    assert!(matches!(rig.scope(LIST), Some(Scope::Changes { wait, .. }) if !wait.is_zero()));
    assert_eq!(rig.anew, 0);
}
