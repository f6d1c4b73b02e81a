//! Endpoints that say in their answers what callers have to keep to.

use std::{ops::Range, thread, time::Instant};

use basilbank_standin::managed::{ManagedEndpoint, World};

use crate::support::{draft_of, eventually, plain, stream_of, world};

/// Callers that call at once, so that each endpoint of the service gets some calls.
const CALLERS: usize = 8;

/// Calls of each caller after an endpoint has said something.
const CALLS: usize = 5;

/// Requests that reached an endpoint after a moment, other than health checks and what gives back.
fn work_since(endpoint: &ManagedEndpoint, since: Instant) -> Vec<String> {
    let is_work = |line: &str| line.starts_with("POST ") || line.starts_with("GET /s");
    let arrived = endpoint.served().arrived.into_iter();
    arrived.filter(|(at, line)| since < *at && is_work(line)).map(|(_, line)| line).collect()
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
