//! Every fault at every step of a draft and of a plain call: singly, the same one twice, and in
//! pairs. After each cell all promises are checked, and the fleet must serve again; after a single
//! fault the draft of a caller that repeats it must have been answered.

mod script;
mod world;

use std::{fmt, iter, time::Duration};

use script::{END, FAULTS, Fault, START, millis, probes, secs};
use test_case::test_case;
use world::{Ask, Bounds, End, Moment, Place, Spec, Step, Who, World, check};

/// What it happens to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Subject {
    Draft,
    Plain,
}

const STEPS: [(Subject, Moment); 11] = [
    (Subject::Draft, Moment::Arrived),
    (Subject::Draft, Moment::Queued),
    (Subject::Draft, Moment::Reserved),
    (Subject::Draft, Moment::Prefill),
    (Subject::Draft, Moment::Transfer),
    (Subject::Draft, Moment::Decoding(20)),
    (Subject::Draft, Moment::Last),
    (Subject::Draft, Moment::Settled),
    (Subject::Plain, Moment::Arrived),
    (Subject::Plain, Moment::Sent),
    (Subject::Plain, Moment::Answered),
];

/// One cell: a fault at a step, and perhaps another one soon after.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Cell {
    subject: Subject,
    moment: Moment,
    first: Fault,
    second: Option<(Fault, Duration)>,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}/{:?}/{:?}", self.subject, self.moment, self.first)?;
        match self.second {
            Some((fault, after)) => write!(f, "+{after:?}:{fault:?}"),
            None => Ok(()),
        }
    }
}

/// A busy small world: decode is full when the draft comes, an endpoint leaves, a daemon shuts down
/// and the catalogue changes. Gives the draft's and the plain call's numbers.
fn build() -> (World, usize, usize) {
    let spec = Spec::small();
    let catalogue = spec.catalogue();
    let mut world = World::new(spec);
    for i in 0..5 {
        let at = START + millis(3500 + 10 * i);
        world.ask(Ask::draft(0, 400, 80).at(at).with_key(&format!("fill-{i}"), 3));
    }
    // Its stream would run for most of a minute; its caller does not stay that long.
    let mut long = Ask::draft(0, 400, 2500).at(START + millis(3400)).with_patience(secs(14));
    long.daemon = Some(0);
    world.ask(long);
    let mut draft = Ask::draft(1, 500, 60).at(START + secs(4)).with_key("draft", 3);
    draft.daemon = Some(0);
    draft.patience = secs(12);
    let draft = world.ask(draft);
    let mut plain = Ask::plain(1, "POST").at(START + millis(4500)).with_key("order", 3);
    plain.daemon = Some(0);
    plain.patience = secs(4);
    let plain = world.ask(plain);
    for i in 0..10 {
        let at = START + millis(4200 + 1100 * i);
        world.ask(Ask::draft(0, 300, 30).at(at).with_key(&format!("more-{i}"), 2));
        world.ask(Ask::plain(0, "GET").at(at));
        world.ask(Ask::plain(1, "POST").at(at));
    }
    world.at(START + millis(4600), Step::Leave(Place::Endpoint(1)));
    world.at(START + millis(4700), Step::Shutdown(Who::Daemon(3)));
    world.at(START + secs(10), Step::Start(3));
    let mut leaving = catalogue.clone();
    leaving.endpoints[5].leaving = true;
    world.at(START + secs(5), Step::Publish(Box::new(leaving)));
    world.at(START + secs(11), Step::Publish(Box::new(catalogue)));
    (world, draft, plain)
}

/// Runs a cell and gives what is wrong.
fn run(cell: Cell) -> Vec<String> {
    let (mut world, draft, plain) = build();
    let ask = if cell.subject == Subject::Draft { draft } else { plain };
    world.when(ask, cell.moment, cell.first.step(ask));
    if let Some((second, after)) = cell.second {
        world.when(ask, cell.moment, Step::Later(after, Box::new(second.step(ask))));
    }
    let probes: Vec<_> = probes().into_iter().map(|ask| world.ask(ask)).collect();
    world.run_until(END);
    let mut wrong: Vec<_> =
        check(&world, &Bounds::default()).iter().map(ToString::to_string).collect();
    if !world.is_met(ask, cell.moment) {
        wrong.push("the step was never reached".into());
    }
    let report = world.report();
    let is_lost = report.asks[draft].end != Some(End::Done);
    if is_lost && cell.second.is_none() {
        wrong.push(format!("the draft ends as {:?}", report.asks[draft].end));
    }
    for probe in probes {
        let end = report.asks[probe].end;
        if end != Some(End::Done) {
            wrong.push(format!("afterwards request {probe} ends as {end:?}"));
        }
    }
    wrong
}

/// Runs cells; fails with all that is wrong.
fn run_all(cells: impl Iterator<Item = Cell>) {
    let mut failed = Vec::new();
    for cell in cells {
        let wrong = run(cell);
        if !wrong.is_empty() {
            failed.push(format!("{cell}: {}", wrong.join("; ")));
        }
    }
    assert!(failed.is_empty(), "{} cells failed:\n{}", failed.len(), failed.join("\n"));
}

fn cells(first: Fault, second: Option<(Fault, Duration)>) -> impl Iterator<Item = Cell> {
    STEPS.into_iter().map(move |(subject, moment)| Cell { subject, moment, first, second })
}

#[test_case(Fault::DaemonKilled)]
#[test_case(Fault::DaemonFrozen)]
#[test_case(Fault::StewardKilled)]
#[test_case(Fault::EndpointDies)]
#[test_case(Fault::EndpointLost)]
#[test_case(Fault::TransferStalls)]
#[test_case(Fault::CallerCancels)]
#[test_case(Fault::PlatformDown)]
#[test_case(Fault::PlatformStale)]
#[test_case(Fault::Partition)]
#[test_case(Fault::Split)]
#[test_case(Fault::LateAnswers)]
#[test_case(Fault::DoubledAnswers)]
#[test_case(Fault::DisorderedAnswers)]
#[test_case(Fault::VmRestart)]
fn alone_and_with_each(fault: Fault) {
    let both = |second| [Some((second, Duration::ZERO)), Some((second, millis(700)))];
    let seconds = iter::once(None).chain(FAULTS.into_iter().flat_map(both));
    run_all(seconds.flat_map(|second| cells(fault, second)));
}

#[test]
fn twice() {
    run_all(FAULTS.into_iter().flat_map(|fault| cells(fault, Some((fault, secs(9))))));
}

#[test]
fn nothing_fails_without_a_fault() {
    let (mut world, draft, plain) = build();
    world.run_until(END);
    assert_eq!(check(&world, &Bounds::default()), []);
    let report = world.report();
    assert_eq!(report.asks[draft].end, Some(End::Done));
    assert_eq!(report.asks[plain].end, Some(End::Done));
}
