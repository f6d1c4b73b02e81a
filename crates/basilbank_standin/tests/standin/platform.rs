//! The platform and plain services over real sockets.

use std::{thread, time::Duration};

use basilbank_standin::{Faults, PlainService, Platform, PlatformFaults, Vm};
use serde_json::json;

use crate::support::{agent, any, get, post, wait_until};

fn vm(name: &str) -> Vm {
    let address = "127.0.0.1:1".to_owned();
    Vm { name: name.to_owned(), address, data_centre: "hall-a".to_owned(), leaving: false }
}

#[test]
fn a_watch_answers_when_something_changes() {
    let platform = Platform::start(any(), Duration::ZERO).unwrap();
    let agent = agent();
    platform.put("catalogue/a", "one");
    platform.put("other/b", "two");
    let (_, range) = get(&agent, &format!("{}/v1/range?prefix=catalogue%2F", platform.url()));
    let document = json!({ "key": "catalogue/a", "text": "one", "revision": 1 });
    assert_eq!(range, json!({ "revision": 2, "documents": [document] }));
    let url = format!("{}/v1/watch?prefix=catalogue/&after=2&wait_ms=10000", platform.url());
    let waiting = thread::spawn(move || get(&agent, &url));
    wait_until("the watch waits", || platform.counters().watches == 1);
    platform.remove("catalogue/a");
    let removed = json!({ "key": "catalogue/a", "text": null, "revision": 3 });
    let expected = json!({ "after": 2, "revision": 3, "documents": [removed] });
    assert_eq!(waiting.join().unwrap(), (200, expected));
    assert_eq!(platform.counters().calls, 2);
}

#[test]
fn watches_end_empty_or_too_old() {
    let platform = Platform::start(any(), Duration::ZERO).unwrap();
    let agent = agent();
    platform.put("catalogue/a", "one");
    let url = format!("{}/v1/watch?prefix=catalogue/&wait_ms=1&after=", platform.url());
    let nothing = json!({ "after": 1, "revision": 1, "documents": [] });
    assert_eq!(get(&agent, &format!("{url}1")), (200, nothing));
    platform.put("catalogue/a", "two");
    platform.forget();
    assert_eq!(get(&agent, &format!("{url}1")).0, 410);
}

#[test]
fn the_call_budget_is_enforced() {
    let platform = Platform::start(any(), Duration::ZERO).unwrap();
    let agent = agent();
    let url = format!("{}/v1/vms", platform.url());
    wait_until("the budget is spent", || {
        platform.spend(2000);
        get(&agent, &url).0 == 429
    });
    assert!(0 < platform.counters().refused);
    wait_until("the next second has a budget of its own", || get(&agent, &url).0 == 200);
}

#[test]
fn a_stale_platform_shows_what_was() {
    let platform = Platform::start(any(), Duration::ZERO).unwrap();
    let agent = agent();
    let url = format!("{}/v1/range?prefix=catalogue/", platform.url());
    platform.put("catalogue/a", "one");
    platform.set_faults(PlatformFaults { stale: true, ..PlatformFaults::default() });
    platform.put("catalogue/a", "two");
    assert_eq!(get(&agent, &url).1["revision"], 1);
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert!(agent.get(&url).call().is_err());
    platform.set_faults(PlatformFaults::default());
    assert_eq!(get(&agent, &url).1["documents"][0]["text"], "two");
}

#[test]
fn the_vm_list_lags() {
    let platform = Platform::start(any(), Duration::from_secs(3600)).unwrap();
    platform.set_vms(vec![vm("entry-1")]);
    platform.set_vms(vec![vm("entry-1"), vm("entry-2")]);
    let (_, list) = get(&agent(), &format!("{}/v1/vms", platform.url()));
    assert_eq!(list, json!({ "revision": 1, "vms": [vm("entry-1")] }));
}

#[test]
fn a_plain_service_counts_what_it_runs() {
    let mut service = PlainService::start(any()).unwrap();
    let agent = agent();
    let base = format!("http://{}/desk", service.address());
    assert_eq!(get(&agent, &format!("{base}/stock/OAK-40")).1["stock"], 1000);
    let order = json!({ "item": "OAK-40", "order": 17 });
    assert_eq!(post(&agent, &format!("{base}/orders"), &order), (201, json!({ "order": 1 })));
    assert_eq!(get(&agent, &format!("{base}/stock/OAK-40")).1["stock"], 999);
    service.set_faults(Faults { leaving: true, ..Faults::default() });
    let refused = agent.post(format!("{base}/orders")).send(order.to_string()).unwrap();
    assert_eq!(
        (refused.status().as_u16(), &refused.headers()["x-not-run"]),
        (503, &"true".parse().unwrap())
    );
    assert_eq!(service.count(&order.to_string()), 1);
    service.set_faults(Faults { drop_answer: true, ..Faults::default() });
    assert!(agent.post(format!("{base}/orders")).send(order.to_string()).is_err());
    assert_eq!(service.count(&order.to_string()), 2);
    service.die();
    assert!(agent.get(&base).call().is_err());
}
