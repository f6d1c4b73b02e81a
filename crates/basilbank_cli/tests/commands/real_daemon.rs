//! Commands against a real daemon whose platform and endpoints are stand-ins.

use std::{
    fs,
    thread::sleep,
    time::{Duration, Instant},
};

use basilbank::Daemon;
use basilbank_cli::ExitStatus;
use basilbank_standin::{ADMIN_KEY, Client, ENTRY, Site, SiteSpec};

use crate::common::{CommandOutput, run_command};

/// A daemon that has read its catalogue and is ready.
struct RunningDaemon {
    site: Site,
    daemon: Daemon,
}

impl RunningDaemon {
    fn start() -> RunningDaemon {
        let site = Site::start(&SiteSpec::default()).unwrap();
        let daemon = Daemon::start(site.settings("entry-0")).unwrap();
        site.list_vms(&[("entry-0".to_owned(), daemon.peers())]);
        let running = RunningDaemon { site, daemon };
        let start = Instant::now();
        while !running.run(&["status"]).out.contains("ready        yes") {
            assert!(start.elapsed() < Duration::from_secs(30), "{:?}", running.run(&["status"]));
            sleep(Duration::from_millis(20));
        }
        running
    }

    fn run(&self, args: &[&str]) -> CommandOutput {
        let admin = self.daemon.admin().to_string();
        run_command(args, "", &[("BASILBANK_ADMIN", &admin), ("BASILBANK_KEY", ADMIN_KEY)])
    }

    /// Returns the column names of a list.
    fn column_names(&self, list: &str) -> Vec<String> {
        let output = self.run(&[list]);
        assert_eq!(output.status, ExitStatus::Ok, "{}", output.err);
        let header = output.out.lines().next().unwrap().split_whitespace();
        header.map(str::to_owned).collect()
    }
}

#[test]
fn lists_have_the_expected_columns() {
    let running = RunningDaemon::start();
    assert_eq!(running.column_names("endpoints")[..3], ["NAME", "ROLE", "SERVES"]);
    assert_eq!(running.column_names("teams")[0], "NAME");
    assert_eq!(running.column_names("catalogue")[..3], ["NAME", "TEAM", "CLASS"]);
    assert_eq!(running.column_names("orders")[..2], ["ENDPOINT", "ROLE"]);
    assert_eq!(running.run(&["requests"]).out, "none\n");
    assert!(running.run(&["endpoints"]).out.contains("\ndecode-1 "));
}

#[test]
fn explain_shows_a_completed_request() {
    let running = RunningDaemon::start();
    let client = Client::new(running.daemon.callers());
    let body = format!("{{\"model\":\"{ENTRY}\",\"prompt\":\"one two three\",\"max_tokens\":3}}");
    let answer = client.send("POST", "/v1/completions", &body).unwrap();
    assert_eq!(answer.status(), 200);
    let id = answer.headers()["x-request-id"].to_str().unwrap().to_owned();
    let output = running.run(&["explain", &id]);
    assert!(output.out.contains("team     fitters"), "{}{}", output.out, output.err);
    assert!(output.out.contains("\nevents:\nAT_MS  EVENT "), "{}", output.out);
    assert_eq!(running.run(&["explain", "00000000000000ff"]).status, ExitStatus::InvalidOrNotFound);
    assert_eq!(running.run(&["explain", "xyz"]).status, ExitStatus::Usage);
}

#[test]
fn dry_run_changes_nothing() {
    let running = RunningDaemon::start();
    let file = std::env::temp_dir().join(format!("basilbank-{}.jsonc", std::process::id()));
    let text = running.site.catalogue().to_string().replace("0.5", "0.25");
    fs::write(&file, text).unwrap();
    let output = running.run(&["diff", file.to_str().unwrap()]);
    fs::remove_file(&file).unwrap();
    let expected = "owed 0.5 -> 0.25; owed share of fitters in model";
    assert!(output.out.contains(expected) && output.out.ends_with("\n1 changes\n"), "{output:?}");
    assert!(running.run(&["catalogue"]).out.contains(" 0.5"));
}

#[test]
fn wrong_key_is_refused() {
    let running = RunningDaemon::start();
    let admin = running.daemon.admin().to_string();
    let env = [("BASILBANK_ADMIN", admin.as_str()), ("BASILBANK_KEY", "another-key-of-operators")];
    assert_eq!(run_command(&["status"], "", &env).status, ExitStatus::Usage);
}
