//! Failures that the fault matrix and the random schedules found in the core, each alone.

mod script;
mod world;

use script::{START, millis, probes, secs};
use world::{
    Ask, Bounds, End, EngineFault, Moment, Net, Place, PlatformMode, Power, Spec, Step, Who, World,
    check,
};

/// What the checker finds, as text.
fn found(world: &World) -> Vec<String> {
    check(world, &Bounds::default()).iter().map(ToString::to_string).collect()
}

fn end(world: &World, ask: usize) -> Option<End> {
    world.report().asks[ask].end
}

/// Symptom: after a VM was replaced, drafts at some endpoints wait for ever.
/// Sequence: the list drops the VM; its successor starts and adopts a list without itself; later the
/// list has it again.
/// Cause: the daemon forgot its own entry and took itself for dead, while its peers named it steward.
#[test]
fn replaced_vm_is_a_steward_again() {
    let mut world = World::new(Spec::small());
    for daemon in 0..4 {
        let at = secs(3 + 15 * daemon as u64);
        world.at(at, Step::Replace { daemon: Who::Daemon(daemon), back: secs(8) });
    }
    let probes: Vec<_> = probes().into_iter().map(|ask| world.ask(ask.at(secs(75)))).collect();
    world.run_until(secs(90));
    for probe in probes {
        assert_eq!(end(&world, probe), Some(End::Done));
    }
}

/// Symptom: work reaches an endpoint that has been leaving for four seconds.
/// Sequence: the steward of its slots is cut off as it is marked; another daemon takes over.
/// Cause: the new steward granted slots before it had read the endpoint's load, and on the very
/// report that said that it is leaving.
#[test]
fn new_steward_reads_the_load_first() {
    for daemon in 0..4 {
        let mut world = World::new(Spec::small());
        let lasting = secs(12);
        let cut = Step::Isolate { daemon: Who::Daemon(daemon), endpoints: vec![0], lasting };
        world.at(START, cut);
        world.at(START + millis(100), Step::Leave(Place::Endpoint(1)));
        for i in 0..40 {
            let mut ask = Ask::draft(0, 300, 10).at(START + millis(250 * i));
            ask.daemon = Some((daemon + 1) % 4);
            world.ask(ask);
        }
        world.run_until(secs(50));
        assert_eq!(found(&world), Vec::<String>::new());
    }
}

/// A draft whose first stream breaks after eight tokens.
fn broken_draft(retries: u32) -> (World, usize) {
    let mut world = World::new(Spec::small());
    let mut ask = Ask::draft(0, 300, 60).at(START).with_key("draft", retries);
    ask.daemon = Some(0);
    let ask = world.ask(ask);
    let down = Step::Down { endpoint: Place::Decode(ask), power: Power::Dead, back: None };
    world.when(ask, Moment::Decoding(8), down);
    (world, ask)
}

/// Symptom: the answer to a repeat begins in the middle of the text.
/// Sequence: a decode endpoint dies, the draft goes on elsewhere, its daemon dies, the caller repeats
/// it with the same key.
/// Cause: the voters had been told the second stream, and the repeat took its first token for the
/// answer's first.
#[test]
fn repeat_does_not_join_a_continued_stream() {
    let (mut world, ask) = broken_draft(2);
    let later = Step::Kill { daemon: Who::Home(ask), back: None };
    world.when(ask, Moment::Decoding(8), Step::Later(millis(700), Box::new(later)));
    world.run_until(secs(60));
    assert_eq!(found(&world), Vec::<String>::new());
}

/// Symptom: two daemons cut each other off from one stream, and both callers get the answer.
/// Sequence: a caller sends its draft again with the same key while the first call is open.
/// Cause: to the first daemon the take-over looked like a broken connection, so it read the stream
/// again.
#[test]
fn taken_stream_is_not_taken_back() {
    let mut world = World::new(Spec::small());
    let mut ask = Ask::draft(0, 300, 80).at(START).with_key("draft", 0);
    ask.copy = Some(millis(500));
    let ask = world.ask(ask);
    world.run_until(secs(30));
    let ends: Vec<_> = world.callers.tries.iter().map(|t| t.end.map(|(_, end)| end)).collect();
    assert_eq!(ends, [Some(End::Unknown), Some(End::Done)]);
    assert_eq!(world.record.asks[&ask].streams, [0]);
    assert_eq!(found(&world), Vec::<String>::new());
}

/// A draft whose daemon is paused while it reads the stream; its caller leaves and repeats it elsewhere.
fn paused_reader(seed: u64) -> (World, usize) {
    let mut world = World::new(Spec::small().with_seed(seed));
    let mut ask = Ask::draft(0, 300, 400).at(START).with_key("draft", 2);
    ask.daemon = Some(0);
    ask.patience = secs(3);
    let ask = world.ask(ask);
    let freeze = Step::Freeze { daemon: Who::Daemon(0), lasting: secs(5) };
    world.when(ask, Moment::Decoding(20), freeze);
    (world, ask)
}

/// Symptom: a daemon that wakes up takes a stream back and cancels it under its new reader.
/// Sequence: a daemon is paused while it reads a stream; its caller leaves and repeats the draft
/// elsewhere; the daemon wakes up.
/// Cause: the pause counted as silence of the stream, though its tokens were still to be read.
#[test]
fn pause_is_not_silence() {
    for seed in 0..6 {
        let (mut world, _) = paused_reader(seed);
        world.run_until(secs(40));
        assert_eq!(world.record.taken_back, [0; 0]);
        assert_eq!(found(&world), Vec::<String>::new());
    }
}

/// Symptom: the same as above, while the endpoint's answers overtake each other.
/// Sequence: among the tokens that wait for the paused daemon one is out of order.
/// Cause: the gap had the stream read again at once, before the news of its take-over was read.
#[test]
fn gap_after_a_pause_is_no_reason_to_read_again() {
    for seed in 0..6 {
        let (mut world, ask) = paused_reader(seed);
        let fault = EngineFault::Disorder(millis(30));
        let disorder = Step::Fault { endpoint: Place::Decode(ask), fault, lasting: secs(8) };
        world.when(ask, Moment::Decoding(10), disorder);
        world.run_until(secs(40));
        assert_eq!(world.record.taken_back, [0; 0]);
    }
}

/// Symptom: a catalogue that was published during an outage takes up to eight seconds after it.
/// Sequence: the platform is down, is published to, and comes back.
/// Cause: the time between two tries had grown to seven seconds.
#[test]
fn outage_does_not_outlast_itself() {
    for seed in 0..60 {
        let mut world = World::new(Spec::small().with_seed(seed));
        let catalogue = Box::new(world.spec.catalogue());
        world.at(START, Step::Platform { mode: PlatformMode::Down, lasting: secs(4) });
        world.at(START + secs(1), Step::Publish(catalogue));
        world.run_until(START + secs(4) + millis(3300));
        let revisions: Vec<_> =
            world.daemons.iter().map(|d| d.brain.as_ref().map_or(0, |b| b.revision())).collect();
        assert_eq!(revisions, [2; 4], "seed {seed}");
    }
}

/// Symptom: after its daemon has died, a draft is refused as `key_running` for ten minutes.
/// Sequence: a daemon dies before its draft has a stream; the caller repeats it with the same key.
/// Cause: the voters kept the key for a request that nobody works on any more.
#[test]
fn repeat_follows_a_request_whose_daemon_died() {
    for back in [None, Some(secs(1))] {
        let mut world = World::new(Spec::small());
        let mut ask = Ask::draft(0, 300, 30).at(START).with_key("draft", 1);
        ask.daemon = Some(0);
        let ask = world.ask(ask);
        world.when(ask, Moment::Prefill, Step::Kill { daemon: Who::Home(ask), back });
        world.run_until(secs(40));
        assert_eq!(end(&world, ask), Some(End::Done));
        assert_eq!(found(&world), Vec::<String>::new());
    }
}

/// Symptom: two daemons fill the network with votes.
/// Sequence: a repeat waits for the request that has its key, and votes come twice.
/// Cause: each vote that came again had the voters asked again, and those answers came twice too.
#[test]
fn doubled_votes_ask_nothing() {
    let mut world = World::new(Spec::small());
    world.at(START, Step::Net(Net { doubled: 1.0, ..Net::default() }));
    for i in 0..6 {
        world.ask(Ask::draft(0, 300, 200).at(START + millis(10 * i)));
    }
    let mut ask = Ask::draft(0, 300, 30).at(START + millis(200)).with_key("draft", 0);
    ask.copy = Some(millis(200));
    world.ask(ask);
    world.run_until(START + millis(300));
    let sent = |world: &World| world.daemons.iter().map(|d| d.sent.messages).sum::<u64>();
    let before = sent(&world);
    for i in 1..=500 {
        world.run_until(START + millis(300 + 4 * i));
        let more = sent(&world) - before;
        assert!(more < 400, "{more} messages");
    }
}

/// Symptom: lookups are refused for two seconds after a daemon has died.
/// Sequence: its successor as a plain service's steward asks the peers what they hold; a question is
/// lost.
/// Cause: it granted nothing before the last answer or the time limit, and asked only once.
#[test]
fn new_steward_of_a_plain_service_grants_at_once() {
    for daemon in 0..4 {
        let mut spec = Spec::small();
        spec.plain.count = 1;
        let mut world = World::new(spec);
        let at = |after: u64| START + millis(after);
        world.at(at(0), Step::Kill { daemon: Who::Daemon(daemon), back: None });
        world.at(at(3900), Step::Net(Net { loss: 0.6, ..Net::default() }));
        world.at(at(5200), Step::Net(Net::default()));
        let asks: Vec<_> =
            (0..20).map(|i| world.ask(Ask::plain(0, "GET").at(at(5250 + 40 * i)))).collect();
        world.run_until(at(8000));
        let done = asks.iter().filter(|ask| end(&world, **ask) == Some(End::Done)).count();
        assert_eq!(done, asks.len(), "daemon {daemon} died");
    }
}

/// Symptom: a stream that nobody wants holds its slot for as long as it runs.
/// Sequence: a caller repeats its draft, which takes the stream over; it leaves while the second
/// daemon is cut off from the endpoint.
/// Cause: the lost cancel was remembered under the second request, and endpoints list a stream under
/// the request that started it.
#[test]
fn lost_cancel_of_a_taken_stream_is_made_good() {
    let mut world = World::new(Spec::small());
    let mut ask = Ask::draft(0, 300, 2500).at(START).with_key("draft", 0);
    ask.copy = Some(millis(500));
    ask.patience = secs(3);
    let ask = world.ask(ask);
    let cut = Step::Isolate { daemon: Who::Home(ask), endpoints: vec![], lasting: secs(6) };
    world.at(START + millis(1500), cut);
    world.run_until(START + secs(30));
    assert_eq!(found(&world), Vec::<String>::new());
}

/// Symptom: a daemon that has just started lacks a change for more than four seconds.
/// Sequence: a VM is replaced; a change is published before the lagging list has the new one.
/// Cause: its peers told it nothing, and it did not look itself.
#[test]
fn unlisted_daemon_looks_for_changes_itself() {
    for seed in 0..20 {
        let mut world = World::new(Spec::small().with_seed(seed));
        let catalogue = Box::new(world.spec.catalogue());
        world.at(START, Step::Replace { daemon: Who::Daemon(1), back: secs(8) });
        world.at(START + millis(8050), Step::Publish(catalogue));
        world.run_until(START + secs(11));
        assert_eq!(world.record.force[1].last().map(|(_, revision)| *revision), Some(2));
    }
}

/// Symptom: a decode endpoint gets work five seconds after it was marked as leaving.
/// Sequence: a long prefill runs for a draft that has a decode slot; the endpoint is marked.
/// Cause: a slot that had been granted was used however late.
#[test]
fn slot_at_a_leaving_endpoint_is_given_up() {
    for endpoint in [2, 3] {
        let mut spec = Spec::small();
        spec.prefill_rate = 400.0;
        let mut leaving = spec.catalogue();
        leaving.endpoints[endpoint].leaving = true;
        let mut world = World::new(spec);
        let asks = [0, 1].map(|i| Ask::draft(i, 2400, 20).at(START + millis(50 * i as u64)));
        let asks = asks.map(|ask| world.ask(ask));
        world.at(START + millis(500), Step::Publish(Box::new(leaving)));
        world.run_until(START + secs(40));
        assert_eq!(found(&world), Vec::<String>::new());
        assert_eq!(asks.map(|ask| end(&world, ask)), [Some(End::Done); 2]);
    }
}
