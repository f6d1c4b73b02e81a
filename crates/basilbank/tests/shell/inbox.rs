//! The event loop's inbox holds floods off.

use std::{sync::mpsc::channel, thread, time::Duration};

use basilbank::inbox::{Closed, inbox};
use basilbank_core::{
    event::{EngineEvent, Event, Failure},
    ids::AttemptKey,
};

use crate::responder::PATIENCE;

fn event() -> Event {
    let (attempt, failure) = (AttemptKey::default(), Failure::Broken);
    Event::Engine(EngineEvent::Failed { attempt, failure })
}

/// Symptom: a daemon dies of its memory. Sequence: endpoints stream faster than the event loop
/// takes tokens. Cause: the readers never wait.
#[test]
fn a_sender_waits_while_too_many_events_wait() {
    let (inbox, plain, feed) = inbox();
    let mut waiting = 0;
    while feed.offer(event()).is_ok() {
        waiting += 1;
    }
    let (sent, is_sent) = channel();
    let sender = thread::spawn(move || {
        feed.send(event()).unwrap();
        sent.send(()).unwrap();
    });
    plain.send(Event::Tick).unwrap();
    assert!(is_sent.try_recv().is_err());
    inbox.recv_timeout(PATIENCE).unwrap();
    assert_eq!(is_sent.recv_timeout(PATIENCE), Ok(()));
    sender.join().unwrap();
    let mut left = 0;
    while inbox.try_recv().is_some() {
        left += 1;
    }
    assert_eq!(left, waiting + 1, "all but one, the tick, and the one that waited");
}

/// Symptom: a daemon never ends. Sequence: the event loop ends while readers wait for room. Cause:
/// nobody wakes them.
#[test]
fn a_closed_inbox_lets_its_senders_go() {
    let (inbox, _plain, feed) = inbox();
    while feed.offer(event()).is_ok() {}
    let sender = thread::spawn(move || feed.send(event()));
    thread::sleep(Duration::from_millis(10));
    drop(inbox);
    assert_eq!(sender.join().unwrap(), Err(Closed));
}
