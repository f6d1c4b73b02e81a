//! Endpoints that say in their answers what callers have to keep to.

use std::{
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{ManagedEndpoint, PauseRequest, World};
use test_case::test_case;

use crate::support::{draft_of, eventually, plain, stream_of, world};

/// Callers that call at once, so that each endpoint of the service gets some calls.
const CALLERS: usize = 8;

/// Calls of each caller after an endpoint has said something.
const CALLS: usize = 5;

/// Requests that reached an endpoint after a moment, other than health checks and what gives back.
fn work_since(endpoint: &ManagedEndpoint, since: Instant) -> Vec<String> {
    let is_work = |line: &str| line.starts_with("POST ") || line.starts_with("GET /s");
    let arrived = endpoint.served().arrived.into_iter();
    arrived.filter(|a| since < a.at && is_work(&a.line)).map(|a| a.line).collect()
}

/// Plain calls of several callers at once, which are all served.
fn sheets(world: &World) {
    let call = || plain(world.callers(0), "GET /sheet/1", b"").status;
    let caller = || assert_eq!([(); CALLS].map(|()| call()), [200; CALLS]);
    thread::scope(|scope| (0..CALLERS).for_each(|_| drop(scope.spawn(caller))));
}

/// Drafts one after the other, which are all served.
fn drafts(world: &World, numbers: Range<usize>) {
    for n in numbers {
        let answer = draft_of(world.callers(0), "/draft/1", &format!("d{n}"), 1000, 3);
        assert_eq!((answer.status, answer.text()), (200, stream_of(3)));
    }
}

/// Guards against calls to an endpoint that leaves while the store can't say so.
#[test]
fn work_stops_at_a_plain_endpoint_whose_answers_say_that_it_leaves() {
    let world = world();
    let leaver = &world.plain[0];
    leaver.leave(true);
    eventually("it has answered", || {
        plain(world.callers(0), "GET /sheet/1", b"");
        leaver.served().said_leaving.is_some()
    });
    let told = Instant::now();
    sheets(&world);
    assert_eq!(work_since(leaver, told), [""; 0]);
}

/// Guards against slots, prompts and streams at a model endpoint that leaves while the store can't say so.
#[test]
fn work_stops_at_a_model_endpoint_whose_answers_say_that_it_leaves() {
    let world = world();
    let leaver = &world.model[1];
    leaver.leave(true);
    let mut sent = 0;
    eventually("it has answered", || {
        drafts(&world, sent..sent + 1);
        sent += 1;
        leaver.served().said_leaving.is_some()
    });
    let told = Instant::now();
    drafts(&world, sent..sent + CALLS * 4);
    assert_eq!(work_since(leaver, told), [""; 0]);
}

/// The pause that an endpoint asks for.
const PAUSE: Duration = Duration::from_secs(3);

/// Time between two rounds of calls. Backoff that doubles with each refusal takes most of the pause to
/// become long.
const ROUND: Duration = Duration::from_millis(200);

/// Requests that may still reach an endpoint that has asked for a pause, from half a second later on.
const BORNE: usize = 2;

/// The most requests of any kind that reached the endpoint in a pause that it asked for.
fn most_in_pause(endpoint: &ManagedEndpoint) -> usize {
    let served = endpoint.served();
    let in_pause = |asked: &PauseRequest| {
        let (from, to) = (asked.at + Duration::from_millis(500), asked.at + asked.pause);
        served.arrived.iter().filter(|arrival| from < arrival.at && arrival.at < to).count()
    };
    served.asked_pauses.iter().map(in_pause).max().unwrap_or_default()
}

/// Guards against plain calls to an endpoint that turned one away and asked for a pause.
#[test]
fn a_pause_is_given_to_a_plain_endpoint_that_asks_for_it() {
    let world = world();
    let tired = &world.plain[0];
    tired.pause(Some(PAUSE));
    eventually("it has asked", || {
        sheets(&world);
        !tired.served().asked_pauses.is_empty()
    });
    let end = Instant::now() + PAUSE;
    while Instant::now() < end {
        thread::sleep(ROUND);
        sheets(&world);
    }
    assert!(most_in_pause(tired) <= BORNE, "{:?}", tired.served().arrived);
    tired.pause(None);
    eventually("it gets calls again", || {
        sheets(&world);
        !tired.served().ran.is_empty()
    });
}

/// Guards against slots, prompts and cancels at a model endpoint that asked for a pause.
#[test_case(0; "prefill")]
#[test_case(1; "decode")]
fn a_pause_is_given_to_a_model_endpoint_that_asks_for_it(n: usize) {
    let world = world();
    let tired = &world.model[n];
    tired.pause(Some(PAUSE));
    let mut sent = 0;
    eventually("it has asked", || {
        drafts(&world, sent..sent + 1);
        sent += 1;
        !tired.served().asked_pauses.is_empty()
    });
    let end = Instant::now() + PAUSE;
    while Instant::now() < end {
        thread::sleep(ROUND);
        drafts(&world, sent..sent + 4);
        sent += 4;
    }
    assert!(most_in_pause(tired) <= BORNE, "{:?}", tired.served().arrived);
}
