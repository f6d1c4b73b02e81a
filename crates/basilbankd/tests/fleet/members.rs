//! Daemons find each other, and agree on one catalogue.

use basilbank_standin::PlatformFaults;

use crate::{common::wait_until, rig::Fleet};

/// A change of the catalogue: one more service under its own path.
fn with_service(fleet: &Fleet, prefix: &str) -> String {
    let mut catalogue = fleet.site.catalogue();
    catalogue["services"][0]["prefix"] = prefix.into();
    catalogue.to_string()
}

/// Symptom: two daemons answer one call differently for minutes. Sequence: the operators change the
/// catalogue; only three of five daemons watch the platform. Cause: the others have the change from
/// them, or not at all.
#[test]
fn a_change_is_in_force_on_all_daemons() {
    let fleet = Fleet::start(5);
    let all = [0, 1, 2, 3, 4];
    for round in 0..3 {
        let prefix = format!("/desk-{round}/");
        let revision = fleet.site.platform.put("catalogue/site", &with_service(&fleet, &prefix));
        fleet.wait_revision(&all, revision);
        for daemon in all {
            let answer =
                fleet.client(daemon).send("GET", &format!("{prefix}sheets/1"), "").unwrap();
            assert_eq!(answer.status(), 200);
        }
    }
}

/// Symptom: a replaced daemon refuses everybody as not ready until the platform is back, which may
/// take hours. Sequence: the platform goes down; a VM is restarted; its peers send heartbeats to it.
/// Cause: it has no VM list, so it had no address to ask its peers at.
#[test]
fn a_daemon_that_starts_during_an_outage_learns_from_its_peers() {
    let mut fleet = Fleet::start(3);
    let revision = fleet.site.platform.put("catalogue/site", &with_service(&fleet, "/new-desk/"));
    fleet.wait_revision(&[0, 1, 2], revision);
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.site.platform.set_faults(down);
    fleet.kill(2);
    fleet.replace(2);
    wait_until("it serves by the newest catalogue", || {
        let answer = fleet.client(2).send("GET", "/new-desk/sheets/1", "");
        answer.is_ok_and(|a| a.status() == 200)
    });
    assert_eq!(fleet.revision(2), revision);
    fleet.wait_live(&[0, 1, 2]);
}
