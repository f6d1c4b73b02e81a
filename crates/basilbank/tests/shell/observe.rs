//! What operators see: metrics, log lines and requests' histories.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc::channel},
    time::Duration,
};

use basilbank::{
    callers::EdgeRefusal,
    history::History,
    logs::{self, Line, LineWriter},
    metrics::Metrics,
    names::Names,
};
use basilbank_core::{
    effect::Progress,
    ids::{EntryId, RequestId, TeamId},
    reason::{Outcome, Refusal, Retry, Waste},
};
use basilbank_wire::DropReason;
use test_case::test_case;

use crate::responder::PATIENCE;

#[test]
fn every_reason_shows_before_it_first_counts() {
    let text = Metrics::default().text();
    let zero = |name: &str, label: &str, value: &str| {
        let line = format!("basilbank_{name}_total{{{label}=\"{value}\"}} 0");
        assert!(text.lines().any(|l| l == line), "{line} is missing");
    };
    Refusal::ALL.iter().for_each(|r| zero("refusals", "reason", r.as_str()));
    EdgeRefusal::ALL.iter().for_each(|r| zero("refusals", "reason", r.as_str()));
    Retry::ALL.iter().for_each(|r| zero("retries", "reason", r.as_str()));
    Waste::ALL.iter().for_each(|r| zero("wasted_tokens", "reason", r.as_str()));
    Outcome::ALL.iter().for_each(|r| zero("requests", "outcome", r.as_str()));
    DropReason::ALL.iter().for_each(|r| zero("peer_packets_dropped", "reason", r.as_str()));
}

fn settled(outcome: Outcome) -> Progress {
    Progress::Settled {
        request: RequestId(5),
        team: TeamId::of("fitters"),
        entry: EntryId::of("quotes"),
        outcome,
        duration: Duration::from_millis(1500),
        prompt_tokens: 30,
        generated_tokens: 4,
        tbt: Duration::from_millis(20),
    }
}

#[test]
fn progress_moves_its_counters() {
    let (metrics, names) = (Metrics::default(), Names::default());
    let retry = Retry::Evicted;
    let (request, backoff) = (RequestId(5), Duration::ZERO);
    metrics.progress(&Progress::Retried { request, retry, backoff }, &names);
    let prefill = Duration::from_millis(250);
    let waste = Waste::CallerLeft;
    metrics
        .progress(&Progress::Wasted { request, waste, prefill_time: prefill, tokens: 3 }, &names);
    metrics.progress(&settled(Outcome::Done), &names);
    let text = metrics.text();
    for line in [
        "basilbank_retries_total{reason=\"evicted\"} 1",
        "basilbank_wasted_prefill_seconds_total{reason=\"caller_left\"} 0.25",
        "basilbank_wasted_tokens_total{reason=\"caller_left\"} 3",
        "basilbank_requests_total{outcome=\"done\"} 1",
        "basilbank_charged_prompt_tokens_total{team=\"gone\"} 30",
        "basilbank_charged_generated_tokens_total{team=\"gone\"} 4",
        "basilbank_tbt_seconds_count{class=\"gone\"} 1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn a_line_has_its_pairs_in_order() {
    let line = logs::line(&settled(Outcome::Unknown), &Names::default());
    let expected = "event=settled request=0000000000000005 team=gone entry=gone outcome=unknown \
                    took_ms=1500.000 prompt=30 generated=4 tbt_ms=20.000";
    assert_eq!(line.to_string(), expected);
}

/// Symptom: a line in the log says what never happened. Sequence: a name from the catalogue holds a
/// line break or a pair. Cause: values are written as they are.
#[test_case("two words", "event=x k=\"two words\""; "blank")]
#[test_case("a\nevent=forged", "event=x k=\"a\\nevent=forged\""; "line break")]
#[test_case("a=b", "event=x k=\"a=b\""; "pair")]
#[test_case("say \"hi\"", "event=x k=\"say \\\"hi\\\"\""; "quotes")]
#[test_case("", "event=x k=\"\""; "empty")]
#[test_case("räksmörgås-1", "event=x k=räksmörgås-1"; "plain")]
fn a_value_can_not_pass_for_another_pair(value: &str, expected: &str) {
    assert_eq!(Line::new("x").with("k", value).to_string(), expected);
}

/// Hands on what is written, but only when it may.
struct Gate(Arc<Mutex<()>>, std::sync::mpsc::Sender<String>);

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _open = self.0.lock().unwrap();
        self.1.send(String::from_utf8(bytes.to_vec()).unwrap()).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Symptom: peers take a daemon for dead that only logs. Sequence: the reader of its standard error
/// stops reading, the pipe fills, and the event loop waits in a write. Cause: lines are written
/// where they are made.
#[test]
fn a_log_that_can_not_be_written_holds_nobody_up() {
    let (gate, (sender, written)) = (Arc::new(Mutex::new(())), channel());
    let closed = gate.lock().unwrap();
    let (mut writer, flush) = LineWriter::start(Gate(Arc::clone(&gate), sender)).unwrap();
    for i in 0..20_000 {
        writeln!(writer, "line {i}").unwrap();
    }
    drop(closed);
    assert_eq!(written.recv_timeout(PATIENCE).unwrap(), "line 0\n");
    flush.flush();
    writeln!(writer, "after").unwrap();
    flush.flush();
    let lines: Vec<String> = written.try_iter().collect();
    assert_eq!(lines.last().unwrap(), "after\n");
    let notes = lines.iter().filter_map(|l| l.strip_prefix("event=log_lines_dropped lines="));
    let dropped: Vec<usize> = notes.map(|n| n.trim().parse().unwrap()).collect();
    assert!(10_000 < dropped.iter().sum::<usize>(), "{dropped:?}");
    // Line 0 was taken above, and the last one came later.
    let kept = 1 + lines.len() - 1 - dropped.len();
    assert_eq!(kept + dropped.iter().sum::<usize>(), 20_000);
}

#[test]
fn a_line_in_pieces_is_written_whole() {
    let (sender, written) = channel();
    let (mut writer, flush) = LineWriter::start(Gate(Arc::default(), sender)).unwrap();
    writer.write_all(b"one ").unwrap();
    writer.write_all(b"line\n").unwrap();
    flush.flush();
    assert_eq!(written.try_iter().collect::<Vec<_>>(), ["one line\n"]);
}

#[test]
fn a_history_keeps_the_first_note_and_the_latest() {
    let history = History::default();
    let (request, team, entry) = (RequestId(1), TeamId::of("t"), EntryId::of("e"));
    history.record(Duration::ZERO, &Progress::Accepted { request, team, entry });
    for i in 1..=100 {
        history.record(Duration::from_secs(i), &Progress::Queued { request });
    }
    let events = history.of(request);
    assert_eq!(events.len(), 50);
    assert!(matches!(events[0].progress, Progress::Accepted { .. }));
    assert_eq!(events[49].at, Duration::from_secs(100));
}

#[test]
fn a_history_forgets_the_oldest_request() {
    let history = History::default();
    for i in 0..2001 {
        history.record(Duration::ZERO, &Progress::Queued { request: RequestId(i) });
    }
    assert!(history.of(RequestId(0)).is_empty());
    assert_eq!(history.of(RequestId(1)).len(), 1);
    assert_eq!(history.of(RequestId(2000)).len(), 1);
}
