//! How each reader of an answer tells a whole one from one that broke off.

use std::{
    io::{BufRead, BufReader},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
};

use basilbank::{callers::HeldPlain, inbox::inbox, metrics::Metrics, platform::Platform};
use basilbank_core::{
    effect::EngineCall,
    event::{EngineEvent, EngineReport, Event, Failure, PlatformEvent},
};
use test_case::test_case;

use crate::{
    breaks::{Break, Framing, Kind, Place, assert_all, breaks, say_whole},
    responder::{PATIENCE, Responder, Seen},
    rig::{REQUEST, Rig, attempt, endpoint_id},
};

const PREFILLED: &[&str] =
    &[r#"{"request":"0000000000000abc","attempt":3,"#, r#""handle":"k1","tokens":7}"#];

const STREAM: &[&str] = &[
    "{\"request\":\"0000000000000abc\",\"attempt\":3,\"stream\":\"s1\"}\n",
    "{\"offset\":0,\"texts\":[\"oak\"]}\n",
    "{\"done\":\"stop\",\"tokens\":1}\n",
];

const SERVICE: &[&str] = &["four oak", " worktops"];

const LOAD: &[&str] = &[r#"{"running":3,"#, r#""queued":1}"#];

const STREAMS: &[&str] = &[r#"{"streams":["#, "]}"];

const ORDERED: &[&str] = &[r#"{"fence""#, ":8}"];

const CATALOGUE: &[&str] = &[r#"{"revision":12,"#, r#""documents":[]}"#];

const VMS: &[&str] = &[r#"{"revision":4,"#, r#""vms":[]}"#];

/// Places at which a body that proves its own end is broken, too.
const BEFORE_END: &[Place] = &[Place::Head, Place::Inside, Place::Between];

/// Places at which a body without a mark of its own is broken.
const ALL: &[Place] = &[Place::Head, Place::Inside, Place::Between, Place::Behind];

/// Calls of the engines' side.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Reader {
    Prefill,
    Decode,
    Resume,
    Plain,
    Load,
    Streams,
    Order,
}

impl Reader {
    fn pieces(self) -> &'static [&'static str] {
        match self {
            Reader::Prefill => PREFILLED,
            Reader::Decode | Reader::Resume => STREAM,
            Reader::Plain => SERVICE,
            Reader::Load => LOAD,
            Reader::Streams => STREAMS,
            Reader::Order => ORDERED,
        }
    }

    fn call(self, rig: &Rig) -> EngineCall {
        let endpoint = endpoint_id("d1");
        match self {
            Reader::Prefill => rig.prefill(1),
            Reader::Decode => rig.decode(1),
            Reader::Resume => EngineCall::Resume {
                attempt: attempt(1),
                caller: Default::default(),
                request: REQUEST,
                endpoint,
                stream: "s1".to_owned(),
                offset: 0,
            },
            Reader::Plain => plain(rig),
            Reader::Load => EngineCall::ReadLoad { endpoint },
            Reader::Streams => EngineCall::ListStreams { endpoint },
            Reader::Order => EngineCall::Order {
                endpoint,
                fence: 8,
                model: "writer".to_owned(),
                version: "v8".to_owned(),
                adapter: String::new(),
                role: "decode",
            },
        }
    }
}

fn plain(rig: &Rig) -> EngineCall {
    let held =
        HeldPlain { method: "GET".to_owned(), target: "/x".to_owned(), ..HeldPlain::default() };
    let EngineCall::Plain { attempt, caller, request, endpoint, .. } = rig.plain(1, held) else {
        panic!("no plain call");
    };
    EngineCall::Plain { attempt, caller, request, endpoint, timeout: rig.silence }
}

/// The event that ends a call.
fn last_event(rig: &Rig) -> EngineEvent {
    loop {
        let event = rig.next();
        if !matches!(event, EngineEvent::Started { .. } | EngineEvent::Tokens { .. }) {
            return event;
        }
    }
}

fn outcome(reader: Reader, rig: &Rig) -> EngineEvent {
    rig.call(reader.call(rig));
    last_event(rig)
}

fn is_broken(event: &EngineEvent, at: Break) -> bool {
    match event {
        EngineEvent::Failed { failure, .. } => match at.kind {
            Kind::Silence => matches!(failure, Failure::Broken | Failure::Stalled),
            Kind::Close | Kind::Reset => *failure == Failure::Broken,
        },
        EngineEvent::Report { report, .. } => matches!(report, EngineReport::NoResponse),
        _ => false,
    }
}

/// Guards against half an answer, or half a stream, that is taken for a whole one.
#[test_case(Reader::Prefill, BEFORE_END; "prefill")]
#[test_case(Reader::Decode, BEFORE_END; "decode")]
#[test_case(Reader::Resume, BEFORE_END; "resumed stream")]
#[test_case(Reader::Plain, ALL; "plain call")]
#[test_case(Reader::Load, BEFORE_END; "load")]
#[test_case(Reader::Streams, BEFORE_END; "list of streams")]
#[test_case(Reader::Order, BEFORE_END; "order")]
fn an_answer_that_breaks_off_is_not_whole(reader: Reader, places: &'static [Place]) {
    let breaks = breaks(places).filter(|at| reader != Reader::Plain || !is_whole_plain(*at));
    assert_all(breaks, |at| {
        let play = move |_: &Seen, stream: &mut TcpStream| at.play(stream, reader.pieces());
        let rig = if at.kind == Kind::Silence { Rig::start(play) } else { Rig::patient(play) };
        let event = outcome(reader, &rig);
        let is_right = is_broken(&event, at) && rig.is_quiet();
        (!is_right).then_some(event)
    });
}

/// Whether a plain answer counts as whole: all that its framing promises has come.
fn is_whole_plain(at: Break) -> bool {
    at.looks_whole() || at.place == Place::Behind && at.framing == Framing::Length
}

/// Guards against whole answers that are taken for broken ones.
#[test_case(Reader::Prefill)]
#[test_case(Reader::Decode)]
#[test_case(Reader::Resume)]
#[test_case(Reader::Plain)]
#[test_case(Reader::Load)]
#[test_case(Reader::Streams)]
#[test_case(Reader::Order)]
fn a_whole_answer_is_taken_in_each_framing(reader: Reader) {
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        let rig = Rig::patient(move |_, stream| say_whole(stream, framing, reader.pieces()));
        let event = outcome(reader, &rig);
        let is_taken = match &event {
            EngineEvent::Failed { .. } => false,
            EngineEvent::Report { report, .. } => !matches!(report, EngineReport::NoResponse),
            _ => true,
        };
        assert!(is_taken, "{framing:?}: {event:?}");
    }
}

/// Guards against half an answer, closed by the end of its endpoint's process, that counts as whole.
#[test_case(Framing::Connection, false, false; "neither length nor chunks")]
#[test_case(Framing::Connection, true, true; "neither, and it is leaving")]
#[test_case(Framing::Length, false, true; "length")]
#[test_case(Framing::Chunks, false, true; "chunks")]
fn a_plain_answer_that_ends_with_its_process(framing: Framing, leaves: bool, is_whole: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rig = Rig::patient_at(listener.local_addr().unwrap());
    if leaves {
        rig.leave();
    }
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        skip_request(&stream);
        say_whole(&mut stream, framing, SERVICE);
    });
    let event = outcome(Reader::Plain, &rig);
    let (is_broken, is_answered) = match event {
        EngineEvent::Failed { failure, .. } => (failure == Failure::Broken, false),
        EngineEvent::Answered { .. } => (false, true),
        _ => (false, false),
    };
    assert_eq!((is_broken, is_answered), (!is_whole, is_whole), "{event:?}");
}

/// Reads a request without a body.
fn skip_request(stream: &TcpStream) {
    let lines = BufReader::new(stream).lines();
    lines.map_while(Result::ok).find(String::is_empty);
}

/// Guards against half a catalogue or VM list that comes into force.
#[test]
fn half_of_what_the_platform_says_is_a_failed_read() {
    // The daemon waits longer for a silent platform than a test does.
    let breaks = breaks(BEFORE_END).filter(|at| at.kind != Kind::Silence);
    assert_all(breaks, |at| {
        let responder = Responder::start(move |seen, stream| {
            at.play(stream, if seen.line.contains("vms") { VMS } else { CATALOGUE });
        });
        let (inbox, _, feed) = inbox();
        let base = format!("http://{}", responder.address);
        let platform = Platform::start(&base, &feed, &Arc::new(Metrics::default())).unwrap();
        let reads: [&dyn Fn(); 3] =
            [&|| platform.watch(0), &|| platform.watch(7), &|| platform.read_vms()];
        reads.iter().find_map(|read| {
            read();
            let event = inbox.recv_timeout(PATIENCE);
            let is_failed = matches!(
                event,
                Ok(Event::Platform(PlatformEvent::CatalogueFailed | PlatformEvent::VmsFailed))
            );
            (!is_failed).then_some(event)
        })
    });
}
