//! The operators' side of a daemon that has no catalogue.

use std::net::SocketAddr;

use basilbank::Daemon;
use basilbank_config::Settings;
use serde_json::{Value, json};
use test_case::test_case;
use ureq::{Agent, config::Config, http::Request};

const KEY: &str = "the operators' key";

fn daemon() -> Daemon {
    Daemon::start(Settings {
        name: "entry-1".to_owned(),
        data_centre: "hall-a".to_owned(),
        // Nothing can listen at port 0.
        platform: "http://127.0.0.1:0".to_owned(),
        peer_key: "the peers' key".to_owned(),
        admin_key: KEY.to_owned(),
        ..Settings::default()
    })
    .unwrap()
}

struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|_| panic!("{}", self.text))
    }
}

fn ask(admin: SocketAddr, method: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
    let config = Config::builder().http_status_as_error(false).proxy(None).build();
    let agent = Agent::new_with_config(config);
    let mut request = Request::builder().method(method).uri(format!("http://{admin}{path}"));
    if let Some(key) = key {
        request = request.header("Authorization", format!("Bearer {key}"));
    }
    let mut answer = agent.run(request.body(body.to_owned()).unwrap()).unwrap();
    let status = answer.status().as_u16();
    Answer { status, text: answer.body_mut().read_to_string().unwrap() }
}

fn get(admin: SocketAddr, path: &str) -> Answer {
    ask(admin, "GET", path, Some(KEY), "")
}

#[test]
fn health_readiness_and_metrics_need_no_key() {
    let daemon = daemon();
    let look = |path| ask(daemon.admin(), "GET", path, None, "");
    assert_eq!(look("/healthz").status, 200);
    assert_eq!(look("/readyz").status, 503, "there is no catalogue");
    let metrics = look("/metrics");
    assert_eq!(metrics.status, 200);
    assert!(metrics.text.contains("basilbank_refusals_total{reason=\"unknown_key\"} 0"));
    assert!(metrics.text.ends_with("# EOF\n"));
}

#[test_case(None; "no key")]
#[test_case(Some("another key"); "another key")]
#[test_case(Some(""); "an empty key")]
#[test_case(Some("the operators' ke"); "part of the key")]
fn all_else_needs_the_key(key: Option<&str>) {
    let daemon = daemon();
    for path in ["/admin/status", "/admin/requests/1", "/admin/nothing", "/"] {
        assert_eq!(ask(daemon.admin(), "GET", path, key, "").status, 401, "{path}");
    }
    assert_eq!(ask(daemon.admin(), "POST", "/admin/check", key, "{}").status, 401);
}

#[test]
fn the_status_is_one_flat_object() {
    let daemon = daemon();
    let status = get(daemon.admin(), "/admin/status").json();
    assert_eq!(status["name"], "entry-1");
    assert_eq!((&status["ready"], &status["catalogue"]), (&json!(false), &json!(0)));
    assert!(status.as_object().unwrap().values().all(|v| !v.is_object() && !v.is_array()));
}

#[test_case("catalogue")]
#[test_case("endpoints")]
#[test_case("teams")]
#[test_case("peers")]
#[test_case("requests")]
#[test_case("orders")]
fn each_list_is_empty_without_a_catalogue(list: &str) {
    let daemon = daemon();
    let answer = get(daemon.admin(), &format!("/admin/{list}"));
    assert_eq!((answer.status, answer.json()), (200, json!({ "items": [] })));
}

#[test_case("GET", "/admin/nothing", "", 404; "no such path")]
#[test_case("POST", "/admin/status", "", 404; "not to be posted to")]
#[test_case("GET", "/admin/requests/00000000000000ff", "", 404; "unknown request")]
#[test_case("GET", "/admin/requests/nonsense", "", 400; "no id")]
#[test_case("POST", "/admin/check", "nonsense", 400; "no proposal")]
fn a_wrong_request_is_told_what_is_wrong(method: &str, path: &str, body: &str, status: u16) {
    let daemon = daemon();
    let answer = ask(daemon.admin(), method, path, Some(KEY), body);
    assert_eq!(answer.status, status);
    assert!(answer.json()["error"].is_string());
}

#[test]
fn a_proposal_is_checked_and_compared() {
    let daemon = daemon();
    let check = |text: &str| {
        let body = json!({ "documents": [{ "key": "catalogue/main", "text": text }] });
        ask(daemon.admin(), "POST", "/admin/check", Some(KEY), &body.to_string()).json()
    };
    let good = check(r#"{"teams": [{"name": "fitters"}]}"#);
    assert_eq!((&good["accepted"], &good["findings"]), (&json!(true), &json!([])));
    assert!(good["changes"][0].as_str().unwrap().starts_with("+ team fitters"), "{good}");
    let bad = check("{\n  \"teems\": []\n}");
    assert_eq!((&bad["accepted"], &bad["changes"]), (&json!(false), &json!([])));
    let finding = &bad["findings"][0];
    assert_eq!((&finding["file"], &finding["line"]), (&json!("catalogue/main"), &json!(2)));
    assert_eq!(finding["severity"], "error");
}

#[test]
fn a_daemon_without_requests_ends_at_once_after_its_shutdown() {
    let daemon = daemon();
    assert_eq!(daemon.in_progress(), 0);
    daemon.shutdown();
    daemon.wait().unwrap();
}

/// A caller who comes before there is a catalogue is told that nothing was run.
#[test]
fn a_daemon_without_a_catalogue_refuses() {
    let daemon = daemon();
    let body = r#"{"model":"quotes","messages":[{"role":"user","content":"hi"}]}"#;
    let path = "/v1/chat/completions";
    let answer = ask(daemon.callers(), "POST", path, Some("caller"), body);
    assert_eq!((answer.status, &answer.json()["error"]["code"]), (503, &json!("not_ready")));
}
