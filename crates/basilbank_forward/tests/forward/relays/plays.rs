//! Fleets of 66 daemons in three data centres, with some ten datagrams per second and daemon.

use std::time::Duration;

use super::fleet::{Fleet, address};

const DAEMONS: usize = 66;
const HALLS: usize = 3;

/// The time in which all have met and settled.
const MEETING: Duration = Duration::from_secs(5);

/// The time of a measurement.
const PLAY: Duration = Duration::from_secs(5);

/// Views may be older than without relays by this much on average, in seconds: another way, and the
/// datagrams that overtake each other.
const MEAN_MARGIN: f64 = 0.010;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn met(relayed: bool) -> Fleet {
    let mut fleet = Fleet::new(DAEMONS, HALLS, relayed);
    fleet.pass(MEETING);
    assert_eq!(fleet.least_known(), DAEMONS - 1);
    (fleet.crossed, fleet.sent) = ((0, 0), 0);
    fleet
}

/// Guards against copies to each daemon of another data centre, and against relays that delay.
#[test]
fn bytes_between_data_centres_fall_to_a_fifth_and_views_stay_fresh() {
    let mut fleets = [met(false), met(true)];
    let [(mean, tail), (relayed_mean, relayed_tail)] = fleets.each_mut().map(|f| f.ages(PLAY));
    let [direct, relayed] = fleets.each_ref().map(|fleet| fleet.crossed);
    let rate = fleets[1].sent as f64 / DAEMONS as f64 / PLAY.as_secs_f64();
    assert!((9.0..11.0).contains(&rate), "{rate} datagrams per second and daemon");
    assert!(relayed.0 * 5 <= direct.0, "{relayed:?} of {direct:?}");
    assert!(relayed_mean <= mean + MEAN_MARGIN, "{relayed_mean} {mean}");
    assert!(relayed_tail <= tail + 2.0 * MEAN_MARGIN, "{relayed_tail} {tail}");
}

/// Guards against views that grow old because a relay has ended and nobody knows it yet.
#[test]
fn views_stay_fresh_while_one_relay_in_ten_is_dead() {
    let mut fleets = [met(false), met(true)];
    for fleet in &mut fleets {
        (0..DAEMONS).step_by(10).for_each(|n| fleet.runs[n] = false);
    }
    let [(mean, tail), (relayed_mean, relayed_tail)] =
        fleets.each_mut().map(|fleet| fleet.ages(secs(1.2)));
    assert!(relayed_mean <= mean * 1.25 + MEAN_MARGIN, "{relayed_mean} {mean}");
    assert!(relayed_tail <= tail * 2.0 + MEAN_MARGIN, "{relayed_tail} {tail}");
}

/// Guards against peers that are taken for gone because relayed datagrams are lost as a whole.
#[test]
fn nobody_is_lost_with_one_datagram_in_twenty() {
    let mut fleets = [met(false), met(true)];
    fleets.iter_mut().for_each(|fleet| fleet.loss = 0.05);
    let ages = fleets.each_mut().map(|fleet| fleet.ages(PLAY));
    let [(mean, tail), (relayed_mean, relayed_tail)] = ages;
    assert_eq!(fleets[1].least_known(), DAEMONS - 1);
    assert!(relayed_mean <= mean * 1.25 + MEAN_MARGIN, "{relayed_mean} {mean}");
    assert!(relayed_tail <= tail * 2.0 + MEAN_MARGIN, "{relayed_tail} {tail}");
}

/// Guards against owners that change, and relays that are passed over, because of ordinary loss.
#[test]
fn peers_stay_in_contact_and_in_reach_with_one_datagram_in_twenty_lost() {
    let mut fleet = met(true);
    fleet.loss = 0.05;
    let (mut pairs, mut out_of_contact, mut out_of_reach) = (0, 0, 0);
    for _ in 0..50 {
        fleet.pass(PLAY / 50);
        for rig in &fleet.rigs {
            let (peers, now) = (&rig.state.peers, rig.now());
            pairs += peers.known.len();
            out_of_contact += peers.known.len() - peers.count_in_contact(now);
            out_of_reach += peers.known.values().filter(|peer| !peer.is_reached(now)).count();
        }
    }
    assert!(out_of_contact * 1000 <= pairs, "{out_of_contact} of {pairs}");
    assert_eq!(out_of_reach, 0, "of {pairs}");
}

/// Guards against a cut that relays hide, and against halves that don't meet again.
#[test]
fn a_data_centre_that_is_cut_off_is_noticed_in_time_and_found_again() {
    let mut fleet = met(true);
    fleet.cut = Some(0);
    fleet.pass(secs(1.3));
    let in_contact =
        |fleet: &Fleet, n: usize| fleet.rigs[n].state.peers.count_in_contact(fleet.rigs[n].now());
    assert!(in_contact(&fleet, 0) <= 21, "{}", in_contact(&fleet, 0));
    assert!(in_contact(&fleet, 1) <= 43, "{}", in_contact(&fleet, 1));
    fleet.pass(secs(1.4));
    assert_eq!(fleet.rigs[0].state.peers.known.len(), 21);
    assert_eq!(fleet.rigs[1].state.peers.known.len(), 43);
    fleet.cut = None;
    fleet.pass(secs(3.0));
    assert_eq!(fleet.least_known(), DAEMONS - 1);
}

/// Guards against a daemon that starts again and is unknown to relays or to their peers.
#[test]
fn a_daemon_that_starts_again_is_known_to_all_and_knows_all() {
    let mut fleet = met(true);
    for n in [10, 20, 33] {
        fleet.restart(n);
    }
    fleet.pass(secs(1.0));
    assert_eq!(fleet.least_known(), DAEMONS - 1);
    for rig in &fleet.rigs {
        let starts = [10, 20, 33].map(|n| rig.state.peers.known.get(&address(n)));
        assert!(starts.into_iter().flatten().all(|peer| peer.incarnation == 2));
    }
    let (mean, tail) = fleet.ages(PLAY);
    assert!(mean <= 0.1 && tail <= 0.4, "{mean} {tail}");
}
