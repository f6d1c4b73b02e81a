//! What a daemon uses of what all share while it can't know how many others there are.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::LoadGossip;
use test_case::test_case;

use crate::rig::{Rig, plain, table};

const KEY: KeyHash = KeyHash([1; 16]);

/// Calls of a team a second, and those that it may have at once.
const RATE: f64 = 100.0;
const BURST: f64 = 400.0;

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn rig(seeds: &[u8]) -> Rig {
    let seeds = seeds.iter().copied().map(peer).collect();
    let mut rig = Rig::restarted_daemon(peer(1), seeds, Duration::from_secs(1000));
    let quota = Quota { rate: RATE, burst: BURST, unit: QuotaUnit::Requests };
    let teams = Teams::default().with_team(Team::new("team-1").with_quota(quota), [KEY]);
    rig.state.tuning.max_confirmation_age = None;
    rig.list(vec![plain("e1", 1), plain("e2", 2)]);
    rig.configure(table(2).with_teams(teams));
    rig
}

/// Peers send heartbeats for some time. `fleet` is what they know of its size.
fn hear(rig: &mut Rig, peers: &[u8], fleet: (u32, u32), seconds: u64) {
    for step in 0..seconds * 4 {
        for n in peers {
            let (incarnation, sequence) = (900_000, rig.now().as_millis() as u64 + step);
            let (fleet, fleet_peak) = fleet;
            let beat =
                LoadGossip { incarnation, sequence, fleet, fleet_peak, ..LoadGossip::default() };
            rig.feed(Event::gossip(peer(*n), beat));
        }
        rig.pass_ms(250);
    }
}

/// Returns how many calls at once get through, of many that a team makes.
fn passed(rig: &mut Rig) -> usize {
    let mut passed = 0;
    for _ in 0..600 {
        let id = rig.call_with("/sheet/1", Credential::Key(KEY));
        passed += usize::from(!rig.starts().is_empty());
        rig.feed(Event::CallerLeft(id));
    }
    passed
}

/// Guards against a quota that each daemon which starts behind a cut gives out whole.
#[test_case(&[1, 2, 3], &[], (0, 0), 0.01; "alone, long after its start")]
#[test_case(&[2, 3, 4], &[], (0, 0), 0.01; "alone, not a seed itself")]
#[test_case(&[1, 2, 3], &[8, 9], (0, 0), 0.03; "with peers that know as little")]
#[test_case(&[1, 2, 3], &[2], (2, 0), 1.0; "all have started again, most of the seeds are met")]
#[test_case(&[1, 2, 3], &[2], (8, 8), 0.3; "two of eight")]
#[test_case(&[1], &[], (0, 0), 1.0; "its settings name no other daemon")]
#[test_case(&[], &[], (0, 0), 1.0; "without seeds")]
fn a_daemon_gives_out_no_more_of_a_quota_than_its_part_of_the_fleet(
    seeds: &[u8],
    peers: &[u8],
    fleet: (u32, u32),
    part: f64,
) {
    let mut rig = rig(seeds);
    hear(&mut rig, peers, fleet, 60);
    // What peers own isn't given out here.
    for n in peers {
        rig.state.quotas.avoid_owner(peer(*n), rig.now());
    }
    let passed = passed(&mut rig) as f64;
    assert!(passed <= (part * BURST).max(2.0), "{passed}");
    assert!(part < 1.0 || 0.1 * BURST <= passed, "{passed}");
}

/// Guards against a share of the retry budget that is too large where the fleet's size isn't known.
#[test]
fn the_slack_of_the_retry_budget_is_shared_by_a_fleet_of_the_design_size_while_its_size_is_unknown()
{
    let mut rig = rig(&[1, 2, 3]);
    hear(&mut rig, &[], (0, 0), 60);
    assert_eq!(rig.state.slack_sharers(rig.now()), 320);
    hear(&mut rig, &[5], (6, 7), 1);
    assert_eq!(rig.state.slack_sharers(rig.now()), 7, "a peer knows");
}

/// Guards against two issuers, on both sides of a cut, that issue the permits of one call limit each.
#[test_case((0, 0), 5; "unknown")]
#[test_case((8, 8), 30; "one of eight")]
fn permits_for_an_endpoint_with_a_call_limit_are_those_of_the_daemons_in_contact(
    fleet: (u32, u32),
    most: usize,
) {
    let mut rig = rig(&[1, 2, 3]);
    rig.change(vec![], &["e2"]);
    hear(&mut rig, &[9], fleet, 1);
    rig.pass_ms(60_000);
    let endpoint = rig.state.directory.find("e1").expect("listed");
    let (rate, seconds) = (10.0, 20);
    rig.feed(Event::CallLimit { endpoint, rate: Some(rate) });
    let mut sent = 0;
    for _ in 0..seconds * 20 {
        let id = rig.call_with("/sheet/1", Credential::Key(KEY));
        rig.pass_ms(50);
        sent += rig.starts().len();
        rig.feed(Event::CallerLeft(id));
    }
    assert!(sent <= most, "{sent}");
}
