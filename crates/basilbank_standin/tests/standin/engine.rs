//! Prefill and decode engines over real sockets.

use std::time::Duration;

use basilbank_standin::{Engine, EngineSpec, Faults, Role, expected_answer, prefix_blocks};
use serde_json::{Value, json};

use crate::support::{agent, decode, get, lines, post, prefill, wait_until};

struct Pair {
    prefill: Engine,
    decode: Engine,
    agent: ureq::Agent,
}

impl Pair {
    fn start() -> Pair {
        // A test machine may pause for longer than a KV cache lives in production.
        Pair::with(EngineSpec { kv_life: Duration::from_secs(60), ..EngineSpec::default() })
    }

    fn with(spec: EngineSpec) -> Pair {
        let prefill = Engine::start(spec.clone().with_role(Role::Prefill)).unwrap();
        let decode = Engine::start(spec).unwrap();
        Pair { prefill, decode, agent: agent() }
    }

    fn prefill(&self, request: &str, prompt: &str, continuation: &str) -> Value {
        let url = format!("http://{}/prefill", self.prefill.address());
        let (status, answer) = post(&self.agent, &url, &prefill(request, prompt, continuation));
        assert_eq!(status, 200, "{answer}");
        answer
    }

    fn decode(&self, request: &str, handle: &Value, max: u32) -> ureq::http::Response<ureq::Body> {
        let url = format!("http://{}/decode", self.decode.address());
        let body = decode(request, self.prefill.address(), handle.as_str().unwrap(), max);
        self.agent.post(url).send(body.to_string()).unwrap()
    }

    fn answer(&self, prompt: &str, continuation: &str, max: u32) -> (Vec<String>, Value) {
        let kv = self.prefill("r1", prompt, continuation);
        let lines: Vec<Value> = lines(self.decode("r1", &kv["handle"], max)).collect();
        assert_eq!(lines[0]["request"], "r1");
        (texts(&lines), lines.last().unwrap()["done"].clone())
    }
}

fn texts(lines: &[Value]) -> Vec<String> {
    let texts = lines.iter().filter_map(|line| line["texts"].as_array());
    texts.flatten().map(|text| text.as_str().unwrap().to_owned()).collect()
}

#[test]
fn a_continuation_gives_exactly_the_rest() {
    let pair = Pair::start();
    let prompt = "a kitchen for two length=30";
    let whole = expected_answer(prompt, 100);
    assert_eq!(whole.len(), 30);
    assert_eq!(pair.answer(prompt, "", 100), (whole.clone(), json!("stop")));
    let begun = whole[..11].concat();
    assert_eq!(pair.answer(prompt, &begun, 100), (whole[11..].to_vec(), json!("stop")));
    assert_eq!(pair.answer(prompt, &begun, 5), (whole[11..16].to_vec(), json!("length")));
    wait_until("all slots are free", || pair.prefill.held() + pair.decode.held() == 0);
}

#[test]
fn tokens_come_one_by_one() {
    let pair = Pair::start();
    let kv = pair.prefill("r1", "length=9", "");
    pair.decode.set_faults(Faults { stall_after: Some(3), ..Faults::default() });
    let mut lines = lines(pair.decode("r1", &kv["handle"], 9));
    let first: Vec<Value> = lines.by_ref().take(4).collect();
    assert_eq!(texts(&first), expected_answer("length=9", 3));
    pair.decode.set_faults(Faults::default());
    let rest: Vec<Value> = lines.collect();
    assert_eq!(texts(&rest), expected_answer("length=9", 9)[3..]);
}

#[test]
fn resuming_takes_the_stream_over() {
    let pair = Pair::start();
    let kv = pair.prefill("r1", "length=9", "");
    pair.decode.set_faults(Faults { stall_after: Some(3), ..Faults::default() });
    let mut earlier = lines(pair.decode("r1", &kv["handle"], 9));
    let stream = earlier.next().unwrap()["stream"].as_str().unwrap().to_owned();
    assert_eq!(texts(&earlier.by_ref().take(3).collect::<Vec<_>>()).len(), 3);
    let base = format!("http://{}/streams", pair.decode.address());
    let url = format!("{base}/{stream}?from=2&vm=00000000000000bb&incarnation=8");
    let mut later = lines(pair.agent.get(&url).call().unwrap());
    assert_eq!(later.next().unwrap()["stream"], stream.as_str());
    assert_eq!(earlier.next(), Some(json!({ "taken": true })));
    assert_eq!(earlier.next(), None);
    let (_, list) = get(&pair.agent, &base);
    assert_eq!(list["streams"][0]["vm"], "00000000000000bb");
    let theirs = format!("{base}/{stream}?vm=00000000000000aa&incarnation=7");
    assert_eq!(pair.agent.delete(theirs).call().unwrap().status(), 409);
    pair.decode.set_faults(Faults { doubled: true, ..Faults::default() });
    let rest: Vec<Value> = later.collect();
    let doubled = rest.iter().filter(|line| line["offset"] == 8).count();
    assert_eq!(doubled, 2);
    assert_eq!(rest.last().unwrap(), &json!({ "done": "stop", "tokens": 9 }));
}

#[test]
fn cancelling_frees_the_slot() {
    let pair = Pair::with(EngineSpec::default().with_slots(1));
    let kv = pair.prefill("r1", "length=9", "");
    pair.decode.set_faults(Faults { stall_after: Some(3), ..Faults::default() });
    let mut stream = lines(pair.decode("r1", &kv["handle"], 9));
    assert!(stream.next().is_some());
    let kv = pair.prefill("r2", "length=9", "");
    let refused: Vec<Value> = lines(pair.decode("r2", &kv["handle"], 9)).collect();
    assert_eq!((&refused[0]["not_run"], &refused[0]["reason"]), (&json!(true), &json!("full")));
    let url = format!("http://{}/requests/r1/0", pair.decode.address());
    assert_eq!(pair.agent.delete(url).call().unwrap().status(), 200);
    wait_until("the slot is free", || pair.decode.held() == 0);
    assert!(stream.all(|line| line.get("done").is_none()));
}

#[test]
fn a_kv_cache_that_nobody_takes_is_evicted() {
    let spec = EngineSpec { kv_life: Duration::from_millis(20), ..EngineSpec::default() };
    let pair = Pair::with(spec);
    let kv = pair.prefill("r1", "length=9", "");
    wait_until("it is evicted", || pair.prefill.held() == 0);
    assert_eq!(pair.prefill.counters().evicted, 1);
    let refused: Vec<Value> = lines(pair.decode("r1", &kv["handle"], 9)).collect();
    assert_eq!(refused[0]["reason"], "evicted");
}

#[test]
fn prefixes_are_cached_and_their_events_have_gaps() {
    let mut spec = EngineSpec::default();
    (spec.block_tokens, spec.cache_blocks, spec.cache_log) = (2, 3, 4);
    spec.cache_lag = Duration::ZERO;
    let pair = Pair::with(spec);
    assert_eq!(pair.prefill("r1", "a b c d e", "")["cached"], 0);
    assert_eq!(pair.prefill("r2", "a b c d f", "")["cached"], 4);
    let url = format!("http://{}/cache?after=", pair.prefill.address());
    let (_, events) = get(&pair.agent, &format!("{url}0"));
    let mut names: Vec<String> =
        prefix_blocks("a b c d", 2).iter().map(|block| format!("{block:016x}")).collect();
    names.sort();
    assert_eq!(
        (&events["seq"], &events["gap"], &events["added"]),
        (&json!(2), &json!(false), &json!(names))
    );
    pair.prefill("r3", "g h i j", "");
    let (_, events) = get(&pair.agent, &format!("{url}2"));
    assert_eq!((&events["seq"], &events["gap"]), (&json!(5), &json!(false)));
    assert_eq!(events["evicted"].as_array().unwrap().len(), 1);
    let (_, events) = get(&pair.agent, &format!("{url}0"));
    assert_eq!(events["gap"], true);
}

#[test]
fn orders_are_fenced_and_cut_what_runs() {
    let pair = Pair::start();
    let url = format!("http://{}/order", pair.decode.address());
    let order = |fence: u64, version: &str| {
        json!({
            "fence": fence, "model": "writer", "version": version, "adapter": "", "role": "decode",
        })
    };
    assert_eq!(post(&pair.agent, &url, &order(5, "1")), (200, json!({ "fence": 5 })));
    assert_eq!(post(&pair.agent, &url, &order(4, "2")), (409, json!({ "fence": 5 })));
    let kv = pair.prefill("r1", "length=9", "");
    pair.decode.set_faults(Faults { stall_after: Some(0), ..Faults::default() });
    let mut stream = lines(pair.decode("r1", &kv["handle"], 9));
    assert!(stream.next().is_some());
    assert_eq!(post(&pair.agent, &url, &order(6, "2")), (200, json!({ "fence": 6 })));
    assert_eq!(stream.next(), None);
    assert_eq!(pair.decode.counters().cut, 1);
    let load = format!("http://{}/load", pair.decode.address());
    wait_until("it has loaded", || get(&pair.agent, &load).1["version"] == "2");
    pair.decode.set_faults(Faults { ignore_fence: true, ..Faults::default() });
    assert_eq!(post(&pair.agent, &url, &order(1, "3")).0, 200);
}

#[test]
fn death_drops_connections_and_the_address() {
    let mut pair = Pair::start();
    let kv = pair.prefill("r1", "length=900", "");
    let mut stream = lines(pair.decode("r1", &kv["handle"], 900));
    assert!(stream.next().is_some());
    pair.decode.die();
    assert!(stream.all(|line| line.get("done").is_none()));
    let url = format!("http://{}/load", pair.decode.address());
    assert!(pair.agent.get(url).call().is_err());
}
