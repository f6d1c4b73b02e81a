//! Commands against a whole daemon between stand-ins.

use std::{
    fs,
    thread::sleep,
    time::{Duration, Instant},
};

use basilbank::Daemon;
use basilbank_cli::Status;
use basilbank_standin::{ADMIN_KEY, Client, ENTRY, Site, SiteSpec};

use crate::common::{Ran, command};

/// A daemon that has its catalogue.
struct Running {
    site: Site,
    daemon: Daemon,
}

impl Running {
    fn start() -> Running {
        let site = Site::start(&SiteSpec::default()).unwrap();
        let daemon = Daemon::start(site.settings("entry-0")).unwrap();
        site.list_vms(&[("entry-0".to_owned(), daemon.peers())]);
        let running = Running { site, daemon };
        let start = Instant::now();
        while !running.ask(&["status"]).out.contains("ready        yes") {
            assert!(start.elapsed() < Duration::from_secs(30), "{:?}", running.ask(&["status"]));
            sleep(Duration::from_millis(20));
        }
        running
    }

    fn ask(&self, args: &[&str]) -> Ran {
        let admin = self.daemon.admin().to_string();
        command(args, "", &[("BASILBANK_ADMIN", &admin), ("BASILBANK_KEY", ADMIN_KEY)])
    }

    /// The first cells of a list's columns.
    fn head(&self, list: &str) -> Vec<String> {
        let ran = self.ask(&[list]);
        assert_eq!(ran.status, Status::Ok, "{}", ran.err);
        let head = ran.out.lines().next().unwrap().split_whitespace();
        head.map(str::to_owned).collect()
    }
}

#[test]
fn a_daemon_is_asked() {
    let running = Running::start();
    assert_eq!(running.head("endpoints")[..3], ["NAME", "ROLE", "SERVES"]);
    assert_eq!(running.head("teams")[0], "NAME");
    assert_eq!(running.head("catalogue")[..3], ["NAME", "TEAM", "CLASS"]);
    assert_eq!(running.head("orders")[..2], ["ENDPOINT", "ROLE"]);
    assert_eq!(running.ask(&["requests"]).out, "none\n");
    assert!(running.ask(&["endpoints"]).out.contains("\ndecode-1 "));
}

#[test]
fn a_request_is_explained() {
    let running = Running::start();
    let client = Client::new(running.daemon.callers());
    let body = format!("{{\"model\":\"{ENTRY}\",\"prompt\":\"one two three\",\"max_tokens\":3}}");
    let answer = client.send("POST", "/v1/completions", &body).unwrap();
    assert_eq!(answer.status(), 200);
    let id = answer.headers()["x-request-id"].to_str().unwrap().to_owned();
    let ran = running.ask(&["explain", &id]);
    assert!(ran.out.contains("team     fitters"), "{}{}", ran.out, ran.err);
    assert!(ran.out.contains("\nevents:\nAT_MS  EVENT "), "{}", ran.out);
    assert_eq!(running.ask(&["explain", "00000000000000ff"]).status, Status::Found);
    assert_eq!(running.ask(&["explain", "xyz"]).status, Status::Usage);
}

#[test]
fn a_dry_run_changes_nothing() {
    let running = Running::start();
    let file = std::env::temp_dir().join(format!("basilbank-{}.jsonc", std::process::id()));
    let text = running.site.catalogue().to_string().replace("0.5", "0.25");
    fs::write(&file, text).unwrap();
    let ran = running.ask(&["diff", file.to_str().unwrap()]);
    fs::remove_file(&file).unwrap();
    let part = "owed 0.5 -> 0.25; owed share of fitters in model";
    assert!(ran.out.contains(part) && ran.out.ends_with("\n1 changes\n"), "{ran:?}");
    assert!(running.ask(&["catalogue"]).out.contains(" 0.5"));
}

#[test]
fn a_wrong_key_is_refused() {
    let running = Running::start();
    let admin = running.daemon.admin().to_string();
    let env = [("BASILBANK_ADMIN", admin.as_str()), ("BASILBANK_KEY", "another-key-of-operators")];
    assert_eq!(command(&["status"], "", &env).status, Status::Usage);
}
