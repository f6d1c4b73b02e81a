//! Liveness requests of many calls that wait at one endpoint.

mod support;

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use basilbank_forward::{effect::Target, prelude::*};
use basilbank_gateway::{Metrics, OutRequest, Router, SystemClock};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Calls that wait at once.
const CALLS: u64 = 200;

/// Time over which calls begin to ask, as their last events came at different times.
const SPREAD: Duration = Duration::from_millis(1000);

/// Time between two liveness requests to an endpoint that answers and to one that doesn't.
const PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(250)];

/// What an endpoint does with liveness requests.
#[derive(Clone, Copy, PartialEq)]
enum Endpoint {
    Answers,
    Silent,
}

/// Counts the requests that come, and answers them.
async fn serve(mut stream: TcpStream, endpoint: Endpoint, requests: Rc<Cell<u64>>) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|length| length != 0) {
        requests.set(requests.get() + 1);
        if endpoint == Endpoint::Answers {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.expect("written");
        }
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Guards against a cost of silence that grows with the number of streams.
#[test_case(Endpoint::Answers, 25; "endpoint that answers")]
#[test_case(Endpoint::Silent, 8; "endpoint that is silent")]
fn calls_at_one_endpoint_share_liveness_requests(endpoint: Endpoint, max: u64) {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let requests = Rc::new(Cell::new(0));
        let counter = Rc::clone(&requests);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, endpoint, Rc::clone(&counter)));
            }
        });
        let state = State::new(Local::default(), Tuning::default());
        let clock = Box::new(SystemClock::default());
        let router = Router::new(state, support::dialect(), clock, Arc::new(Metrics::default()));
        let target = Target {
            endpoint: EndpointKey::default(),
            instance: "d1".to_owned(),
            addr,
            software: SoftwareVersion::from_wire(1).expect("a version"),
            via: None,
        };
        let begun = Instant::now();
        let calls: Vec<_> = (0..CALLS)
            .map(|n| {
                let (router, target) = (Rc::clone(&router), target.clone());
                spawn_local(async move {
                    sleep(SPREAD.mul_f64(n as f64 / CALLS as f64)).await;
                    let start = Instant::now();
                    let is_alive = router.is_alive(&target, OutRequest::default).await;
                    (is_alive, start.elapsed(), start - begun)
                })
            })
            .collect();
        let mut last = SPREAD;
        for call in calls {
            let (is_alive, took, asked) = call.await.expect("a result");
            last = last.max(asked);
            assert_eq!(is_alive, endpoint == Endpoint::Answers);
            let most = if is_alive { 300 } else { 600 };
            assert!(took < Duration::from_millis(most), "{took:?}");
            // No call is told of a silence before its time.
            assert!(is_alive || Duration::from_millis(249) <= took, "{took:?}");
        }
        // A slow machine begins calls later, and more requests fit in between.
        let pause = PAUSES[usize::from(endpoint == Endpoint::Silent)];
        let max = max + ((last - SPREAD).as_millis() / pause.as_millis()) as u64;
        assert!(requests.get() <= max, "{} liveness requests, {last:?}", requests.get());
    });
}
