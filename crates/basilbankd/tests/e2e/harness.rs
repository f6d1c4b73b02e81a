//! A site with one daemon or some.

use std::time::Duration;

use basilbank_standin::{ADMIN_KEY, Client, EngineSpec, Site, SiteSpec};
use serde_json::Value;

pub use crate::common::{DaemonProcess, pause_after, set_faults, wait_all_free, wait_until};

/// A site whose engines keep KV caches for longer than a test machine pauses.
pub fn patient_site() -> Site {
    let engine = EngineSpec { kv_life: Duration::from_secs(60), ..EngineSpec::default() };
    Site::start(&SiteSpec { engine, ..SiteSpec::default() }).unwrap()
}

/// A site with one daemon that is ready, and a caller of it.
pub fn patient_daemon() -> (Site, DaemonProcess, Client) {
    let site = patient_site();
    let daemon = DaemonProcess::start(&site.settings("entry-1"));
    site.list_vms(&[("entry-1".to_owned(), daemon.peers)]);
    let client = daemon.ready_client();
    (site, daemon, client)
}

/// A site with some daemons that are ready and know each other.
pub fn patient_daemons(count: usize) -> (Site, Vec<DaemonProcess>) {
    let site = patient_site();
    let names: Vec<String> = (1..=count).map(|i| format!("entry-{i}")).collect();
    let settings = names.iter().map(|name| site.settings(name));
    let daemons: Vec<_> = settings.map(|s| DaemonProcess::start(&s)).collect();
    let vms: Vec<_> = names.into_iter().zip(daemons.iter().map(|d| d.peers)).collect();
    site.list_vms(&vms);
    for daemon in &daemons {
        daemon.ready_client();
        wait_until("the daemons know each other", || daemon.live_peers() == count);
    }
    (site, daemons)
}

impl DaemonProcess {
    /// A caller, once the daemon has its catalogue.
    pub fn ready_client(&self) -> Client {
        let client = Client::new(self.callers);
        let ready = || client.json("GET", "/v1/models", "").is_ok_and(|(status, _)| status == 200);
        wait_until("the daemon has its catalogue", ready);
        client
    }

    /// How many daemons it knows to be alive, itself included.
    pub fn live_peers(&self) -> usize {
        let call = ureq::get(format!("http://{}/admin/peers", self.admin))
            .header("authorization", format!("Bearer {ADMIN_KEY}"))
            .call();
        let Ok(mut answer) = call else { return 0 };
        let Ok(text) = answer.body_mut().read_to_string() else { return 0 };
        let peers: Value = serde_json::from_str(&text).unwrap();
        peers["items"].as_array().unwrap().iter().filter(|peer| peer["live"] == true).count()
    }
}
