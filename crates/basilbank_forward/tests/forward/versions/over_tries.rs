//! Streams that their callers take up again.

use std::time::Duration;

use test_case::test_case;

use super::{Net, two_versions, versions};

/// Who a caller comes back to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Back {
    /// The daemon that began the stream.
    Same,
    /// Another daemon.
    Another,
    /// Another daemon, the one that began it being dead.
    AnotherOfDead,
    /// Another daemon, the one that began it being cut off since.
    AnotherOfCutOff,
    /// A daemon that started after the stream broke off.
    New,
}

/// Guards against a stream that goes on at another version after its caller came back.
#[test_case(Back::Same)]
#[test_case(Back::Another)]
#[test_case(Back::AnotherOfDead)]
#[test_case(Back::AnotherOfCutOff)]
#[test_case(Back::New)]
fn a_stream_goes_on_over_tries_at_its_version(back: Back) {
    let mut net = Net::new(8, two_versions());
    for n in 0..20 {
        let (trace, began) = (format!("again{n}"), format!("t{n}"));
        let began_at = net.break_off(1, &began);
        match back {
            Back::Same | Back::Another => {}
            Back::AnotherOfDead | Back::AnotherOfCutOff => net.cut = vec![1],
            Back::New => net.restart(2),
        }
        let daemon = if back == Back::Same { 1 } else { 2 };
        net.pass(Duration::from_millis(50));
        let (attempts, refusals) = net.take_up(daemon, &trace, &began);
        assert_eq!(versions(&attempts), [began_at.as_str()], "{refusals:?}");
        net.cut.clear();
        net.pass(Duration::from_millis(1500));
    }
}

/// Guards against a version that is forgotten when a stream breaks off a second time.
#[test]
fn a_stream_that_breaks_off_twice_stays_at_its_version() {
    let mut net = Net::new(4, two_versions());
    for n in 0..10 {
        let began_at = net.break_off(0, &format!("t{n}"));
        for (daemon, trace) in [(1, "b"), (2, "c"), (3, "d")] {
            let (attempts, _) = net.take_up(daemon, &format!("{trace}{n}"), &format!("t{n}"));
            assert_eq!(versions(&attempts), [began_at.as_str()]);
        }
    }
}

/// Guards against a guess where nobody knows the version.
#[test_case("nobody-began-this"; "an attempt that nobody knows")]
#[test_case(""; "no attempt named")]
fn a_stream_that_nobody_knows_is_refused_at_once(began_as: &str) {
    let mut net = Net::new(4, two_versions());
    let (attempts, refusals) = net.take_up(0, "again", began_as);
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals.len(), 1);
    assert!(refusals[0].is_not_run());
}

/// Guards against a caller who waits for a version that is gone.
#[test]
fn a_stream_that_comes_back_after_its_version_is_refused_at_once() {
    let mut net = Net::new(4, two_versions());
    let gone = net.break_off(0, "t");
    let names = ["p", "a", "b"].map(|name| format!("{gone}-{name}"));
    net.unlist(&names.each_ref().map(String::as_str));
    let (attempts, refusals) = net.take_up(1, "again", "t");
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals.len(), 1);
    assert!(refusals[0].is_not_run());
}
