//! What the platform answers, and what the core hears of it.

use std::{io::Write, sync::Arc};

use basilbank::{
    inbox::{Inbox, inbox},
    metrics::Metrics,
    platform::Platform,
};
use basilbank_core::event::{Event, PlatformEvent};
use basilbank_wire::Document;
use test_case::test_case;

use crate::responder::{PATIENCE, Responder, answer, say};

struct Rig {
    platform: Platform,
    inbox: Inbox,
    metrics: Arc<Metrics>,
}

impl Rig {
    fn new(responder: &Responder) -> Rig {
        let (inbox, _, feed) = inbox();
        let metrics = Arc::new(Metrics::default());
        let base = format!("http://{}/", responder.address);
        let platform = Platform::start(&base, &feed, &metrics).unwrap();
        Rig { platform, inbox, metrics }
    }

    fn next(&self) -> PlatformEvent {
        match self.inbox.recv_timeout(PATIENCE) {
            Ok(Event::Platform(event)) => event,
            other => panic!("{other:?}"),
        }
    }

    fn counted(&self, labels: &str) -> bool {
        let line = format!("basilbank_platform_calls_total{{{labels}}} 1");
        self.metrics.text().lines().any(|l| l == line)
    }
}

const WHOLE: &str =
    r#"{"revision":12,"documents":[{"key":"catalogue/main","text":"{}","revision":9}]}"#;
const CHANGE: &str =
    r#"{"after":12,"revision":13,"documents":[{"key":"catalogue/old","text":null,"revision":13}]}"#;

fn text(event: &PlatformEvent) -> String {
    let PlatformEvent::Documents { base_revision, revision, documents } = event else {
        return format!("{event:?}");
    };
    let keys: Vec<_> = documents.iter().map(|d| (d.key.as_str(), d.text.as_deref())).collect();
    format!("{base_revision} {revision} {keys:?}")
}

#[test]
fn the_whole_is_read_first_and_then_changes() {
    let responder = Responder::start(|seen, stream| {
        let body = if seen.line.contains("/v1/range") { WHOLE } else { CHANGE };
        say(stream, &answer(200, body));
    });
    let rig = Rig::new(&responder);
    rig.platform.watch(0);
    assert_eq!(text(&rig.next()), r#"0 12 [("catalogue/main", Some("{}"))]"#);
    rig.platform.watch(12);
    assert_eq!(text(&rig.next()), r#"12 13 [("catalogue/old", None)]"#);
    assert_eq!(responder.next().line, "GET /v1/range?prefix=catalogue/");
    let watch = "GET /v1/watch?prefix=catalogue/&after=12&wait_ms=10000";
    assert_eq!(responder.next().line, watch);
}

/// Symptom: a daemon never has a catalogue.
/// Sequence: the whole takes five seconds over its link; at the limit it begins again at the first byte.
/// Cause: the limit was on the whole time of a read, whatever had come.
#[test]
fn a_long_catalogue_may_come_slowly() {
    let long = "x".repeat(200_000);
    let whole = WHOLE.replace("{}", &long);
    let responder = Responder::start(move |_, stream| {
        for piece in answer(200, &whole).as_bytes().chunks(5_000) {
            std::thread::sleep(std::time::Duration::from_millis(110));
            if stream.write_all(piece).is_err() {
                return;
            }
        }
    });
    let rig = Rig::new(&responder);
    rig.platform.watch(0);
    assert!(text(&rig.next()).contains(&long));
}

/// Symptom: a daemon keeps an old catalogue for ever. Sequence: it was cut off for long, and the
/// platform does not remember the changes since. Cause: the refusal is taken for an outage.
#[test]
fn a_forgotten_revision_reads_the_whole_again() {
    let responder = Responder::start(|seen, stream| {
        let is_range = seen.line.contains("/v1/range");
        let answer = if is_range { answer(200, WHOLE) } else { answer(410, "{}") };
        say(stream, &answer);
    });
    let rig = Rig::new(&responder);
    rig.platform.watch(3);
    assert_eq!(text(&rig.next()), r#"0 12 [("catalogue/main", Some("{}"))]"#);
    assert!(rig.counted("kind=\"watch\",result=\"compacted\""));
    assert!(rig.counted("kind=\"range\",result=\"done\""));
}

#[test_case(429, "{}", "limited"; "budget used up")]
#[test_case(500, "{}", "failed"; "error")]
#[test_case(200, "nonsense", "failed"; "nonsense")]
#[test_case(200, "{}", "failed"; "no revision")]
fn a_failed_read_is_told_and_counted(status: u16, body: &str, result: &str) {
    let rig = Rig::new(&Responder::fixed(status, body));
    rig.platform.watch(0);
    assert!(matches!(rig.next(), PlatformEvent::CatalogueFailed));
    assert!(rig.counted(&format!("kind=\"range\",result=\"{result}\"")));
    rig.platform.read_vms();
    assert!(matches!(rig.next(), PlatformEvent::VmsFailed));
    assert!(rig.counted(&format!("kind=\"vms\",result=\"{result}\"")));
}

/// Symptom: the VM list stands still while the catalogue does not change. Cause: one thread for
/// both, and a watch that waits. Here the platform answers no watch at all.
#[test]
fn a_watch_that_waits_does_not_hold_up_the_vm_list() {
    let list = r#"{"revision":4,"vms":[{"name":"entry-1","address":"127.0.0.1:7001","data_centre":"hall-a","leaving":true}]}"#;
    let responder = Responder::start(move |seen, stream| {
        if seen.line.contains("/v1/vms") {
            say(stream, &answer(200, list));
        }
    });
    let rig = Rig::new(&responder);
    rig.platform.watch(7);
    assert!(responder.next().line.contains("/v1/watch"));
    rig.platform.read_vms();
    let PlatformEvent::Vms { revision: 4, vms } = rig.next() else { panic!("no list") };
    assert_eq!((vms[0].name.as_str(), vms[0].leaving), ("entry-1", true));
}

#[test]
fn texts_are_checked_and_compiled() {
    let rig = Rig::new(&Responder::fixed(500, ""));
    let document = |text: &str| Document {
        key: "catalogue/main".to_owned(),
        text: Some(text.to_owned()),
        revision: 5,
    };
    rig.platform.check(5, vec![document(r#"{"teams": [{"name": "fitters"}]}"#)]);
    let PlatformEvent::Checked { revision: 5, result: Ok(catalogue) } = rig.next() else {
        panic!("rejected");
    };
    assert_eq!((catalogue.revision, catalogue.teams[0].name.as_str()), (5, "fitters"));
    rig.platform.check(6, vec![document(r#"{"teams": [{"nam": "fitters"}], "x": 1}"#)]);
    let PlatformEvent::Checked { revision: 6, result: Err(errors) } = rig.next() else {
        panic!("accepted");
    };
    assert_eq!(errors, 3, "no name, an unknown field in the team, an unknown field");
}
