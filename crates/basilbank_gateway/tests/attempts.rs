//! Attempts at an endpoint, over sockets.

mod support;

use std::{cell::RefCell, future::Future, rc::Rc, sync::Arc, time::Duration};

use basilbank_forward::{effect::Target, prelude::*};
use basilbank_gateway::{
    AnswerKind, CallerRequest, Dialect, Metrics, Router, SystemClock, run_attempt,
};
use bytes::Bytes;
use hyper::Request;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Time after which an endpoint that sends nothing is asked whether it is alive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Silence of a sound endpoint.
const SILENCE: Duration = Duration::from_millis(1200);

/// Time until the head of an answer.
const HEAD_DELAY: Duration = Duration::from_millis(100);

/// Answers the first call in two pieces, and others if it is not silent.
async fn serve(mut stream: TcpStream, is_first: bool, answers_others: bool) {
    let mut buffer = [0; 4096];
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
    while stream.read(&mut buffer).await.is_ok_and(|length| length != 0) {
        if !is_first && !answers_others {
            continue;
        }
        // The caller may have given up.
        let _ = stream.write_all(head).await;
        if is_first {
            sleep(SILENCE).await;
        }
        let _ = stream.write_all(b"done").await;
    }
}

/// Guards against answers that are given up, and work that is done in vain, although nothing has failed.
#[test_case(Op::Prefill, true; "prefill, while others are answered")]
#[test_case(Op::Prefill, false; "prefill, while nothing is answered")]
#[test_case(Op::Plain, true; "plain call, while others are answered")]
#[test_case(Op::Plain, false; "plain call, while nothing is answered")]
fn a_silence_after_the_head_gives_up_no_answer(op: Op, answers_others: bool) {
    let expected = match op {
        Op::Prefill => Outcome::Prefilled { handle: "done".to_owned(), tokens: 1 },
        _ => Outcome::Answered { status: 200 },
    };
    let outcome = run(op, |listener| async move {
        let mut is_first = true;
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, is_first, answers_others));
            is_first = false;
        }
    });
    assert_eq!(outcome, expected);
}

/// Ends its first answer in the middle. At its address there is a process from then on that had begun
/// before the answer's head.
async fn be_replaced(listener: TcpListener) {
    let mut buffer = [0; 4096];
    let (mut writer, _) = listener.accept().await.expect("a call");
    let _ = writer.read(&mut buffer).await;
    sleep(HEAD_DELAY / 2).await;
    let started = SystemClock::default().now().unix_ms().to_string();
    sleep(HEAD_DELAY / 2).await;
    writer.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await.expect("a caller");
    drop(writer);
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{started}", started.len());
    while let Ok((mut later, _)) = listener.accept().await {
        let _ = later.read(&mut buffer).await;
        let _ = later.write_all(answer.as_bytes()).await;
    }
}

/// Guards against half an answer as a whole one, because its head was read late.
#[test]
fn a_process_that_began_after_an_answers_connection_has_not_written_it() {
    assert_eq!(run(Op::Plain, be_replaced), Outcome::Broken(Damage::CutOff));
}

/// Runs an attempt at an endpoint.
fn run<F: Future<Output = ()> + 'static>(
    op: Op,
    endpoint: impl FnOnce(TcpListener) -> F,
) -> Outcome {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        spawn_local(endpoint(listener));
        let state = State::new(Local::default(), Tuning::default());
        let clock = Box::new(SystemClock::default());
        let router = Router::new(state, dialect(), clock, Arc::new(Metrics::default()));
        let mut attempt = attempt(op, addr);
        attempt.target.endpoint = listed(&router, addr);
        let head = Request::post("/draft/1").body(()).expect("a request").into_parts().0;
        let body = RefCell::new(Some(Bytes::new()));
        let request = Rc::new(CallerRequest { call: call(), head, body });
        run_attempt(router, request, attempt, None).await.outcome
    })
}

/// Lists an endpoint: work is sent to no other.
fn listed(router: &Rc<Router>, addr: std::net::SocketAddr) -> EndpointKey {
    let info = EndpointInfo {
        version: "v1".to_owned(),
        instance: "d1".to_owned(),
        start_time: None,
        service: "writer".to_owned(),
        addr,
        data_centre: String::new(),
        slots: 6,
        draining: false,
        stage: Some(Stage::Prefill),
        revisions: ItemRevisions::default(),
        heartbeats: 1,
    };
    let (revisions, removed) = (Revisions::at(1), Vec::new());
    router.dispatch(Event::EndpointsChanged { revisions, updated: vec![info], removed });
    router.read(|state| state.directory.find("d1").expect("listed"))
}

fn attempt(op: Op, addr: std::net::SocketAddr) -> Attempt {
    let target = Target {
        endpoint: EndpointKey::default(),
        instance: "d1".to_owned(),
        addr,
        software: SoftwareVersion::from_wire(1).expect("a version"),
        via: None,
    };
    Attempt {
        number: 0,
        target,
        op,
        team: None,
        rank: None,
        remaining: Duration::from_secs(8),
        answer_timeout: ANSWER_TIMEOUT,
        stall_timeout: None,
    }
}

fn call() -> Call {
    Call {
        id: RequestId(1),
        trace_id: String::new(),
        digest: Digest(1),
        host: "shop.example".to_owned(),
        path: "/draft/1".to_owned(),
        credential: Credential::None,
        caller_timeout: None,
        prompt: None,
        resumption: None,
    }
}

fn dialect() -> Dialect {
    Dialect {
        classify_answer: |op, _| match op {
            Op::Prefill => AnswerKind::Control,
            _ => AnswerKind::Forward,
        },
        parse_control_answer: |_, body| {
            let handle = String::from_utf8_lossy(body).into_owned();
            Some(Outcome::Prefilled { handle, tokens: 1 })
        },
        parse_start_time: |report| std::str::from_utf8(report).ok()?.parse().ok(),
        ..support::dialect()
    }
}
