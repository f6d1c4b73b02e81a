//! Datagrams over sockets, directly and through relays, and the count of what is sent.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank_forward::{
    prelude::*,
    state::relays::{MIN_RELAYS, SETTLE_TIME, data_centre_hash},
};
use basilbank_gateway::{Router, SentPurpose, request_bytes};
use basilbank_wire::LoadGossip;
use prost::Message;
use tokio::{
    net::UdpSocket,
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::sleep,
};

use crate::rig::{Rig, list};

/// The data centre of the daemon and the one of most of its peers.
const NEAR: &str = "hall-a";
const FAR: &str = "hall-b";

/// The time between the peers' datagrams.
const BEAT: Duration = Duration::from_millis(200);

/// Longest wait for a datagram.
const PATIENCE: Duration = Duration::from_secs(20);

async fn bind() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a socket")
}

/// A peer's datagram.
fn beat(sequence: u64, data_centre: &str, hops: u32) -> Vec<u8> {
    let data_centre = data_centre_hash(data_centre);
    let gossip =
        LoadGossip { incarnation: 1, sequence, data_centre, hops, ..LoadGossip::default() };
    gossip.encode_to_vec()
}

/// What a peer has received.
fn received(socket: &UdpSocket) -> Vec<LoadGossip> {
    let mut buffer = vec![0; 4096];
    let next = || {
        let length = socket.try_recv(&mut buffer).ok()?;
        Some(LoadGossip::decode(&buffer[..length]).expect("a datagram"))
    };
    std::iter::from_fn(next).collect()
}

/// The value of a metric.
fn sent(router: &Router, name: &str, purpose: &str, data_centre: &str) -> u64 {
    router.read(|state| router.metrics.sent_bytes.publish(state));
    let labels = format!("{{purpose=\"{purpose}\",data_centre=\"{data_centre}\"}} ");
    let name = format!("basilbank_forward_{name}_total{labels}");
    let text = router.metrics.encode_text();
    let value = text.lines().find_map(|line| line.strip_prefix(&name).map(str::to_owned));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Lists an endpoint in the data centre of most peers, which gives it its name.
fn list_far_endpoint(router: &Rc<Router>) {
    let mut listed = list(10, &["far"]).endpoints;
    listed[0].data_centre = FAR.to_owned();
    router.dispatch(Event::EndpointsRead { revisions: Revisions::at(10), list: listed });
}

/// Guards against fields that are lost on the way, and against bytes that are not counted.
#[test]
fn a_datagram_reaches_another_data_centre_once_and_is_passed_on() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let socket = bind().await;
        let own = socket.local_addr().expect("an address");
        let local = Local::default().with_name("vm-1").with_address(own).with_data_centre(NEAR);
        let router = Rig::with_local(local).router;
        router.start_gossip(socket);
        let timer = spawn_local(Rc::clone(&router).run_timer());
        list_far_endpoint(&router);
        let near = bind().await;
        let mut far = Vec::new();
        for _ in 0..MIN_RELAYS {
            far.push(bind().await);
        }
        let mut sequence = 0;
        let mut relayed = 0;
        while Duration::from_millis(sequence * 200) < SETTLE_TIME * 2 {
            sequence += 1;
            near.send_to(&beat(sequence, NEAR, 0), own).await.expect("sent");
            for peer in &far {
                peer.send_to(&beat(sequence, FAR, 0), own).await.expect("sent");
            }
            sleep(BEAT).await;
            let of_far = far.iter().flat_map(received);
            relayed += of_far.filter(|gossip| gossip.hops == 1).count();
            if sequence < 20 {
                received(&near);
            }
        }
        assert!(1 <= relayed, "datagrams go to one relay once all have met");
        let datagrams = sent(&router, "sent_messages", "gossip", FAR);
        let copies = sent(&router, "sent_messages", "gossip", "own") * MIN_RELAYS as u64;
        assert!(datagrams < copies, "{datagrams} of {copies}");
        assert!(datagrams * 28 < sent(&router, "sent_bytes", "gossip", FAR), "with headers");

        received(&near);
        far[0].send_to(&beat(sequence + 1, FAR, 1), own).await.expect("sent");
        let origin = far[0].local_addr().expect("an address");
        let end = Instant::now() + PATIENCE;
        let passed_on = loop {
            sleep(BEAT / 4).await;
            if let Some(gossip) = received(&near).into_iter().find(|g| g.origin.is_some()) {
                break gossip;
            }
            assert!(Instant::now() < end, "no datagram of the far peer");
        };
        assert_eq!((passed_on.hops, passed_on.sequence), (0, sequence + 1));
        assert_eq!(passed_on.origin.map(|at| at.port), Some(u32::from(origin.port())));
        timer.abort();
    });
}

/// Guards against a data centre's bytes under another name, and labels that peers make up.
#[test]
fn bytes_are_counted_by_purpose_and_known_data_centre() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let local = Local::default().with_name("vm-1").with_data_centre(NEAR);
        let router = Rig::with_local(local).router;
        let count = |purpose, data_centre, bytes| {
            router.metrics.sent_bytes.count(purpose, data_centre, bytes);
        };
        list_far_endpoint(&router);
        count(SentPurpose::Endpoint, data_centre_hash(NEAR), 10);
        count(SentPurpose::Endpoint, data_centre_hash(FAR), 20);
        count(SentPurpose::Endpoint, data_centre_hash(FAR), 30);
        count(SentPurpose::Store, 0, 40);
        (1000..2000).for_each(|made_up| count(SentPurpose::Gossip, made_up, 1));
        assert_eq!(sent(&router, "sent_bytes", "endpoint", "own"), 10);
        assert_eq!(sent(&router, "sent_bytes", "endpoint", FAR), 50);
        assert_eq!(sent(&router, "sent_messages", "endpoint", FAR), 2);
        assert_eq!(sent(&router, "sent_bytes", "store", "unknown"), 40);
        assert_eq!(sent(&router, "sent_bytes", "gossip", "unknown"), 1000);
    });
}

/// Guards against a count that differs from what HTTP sends.
#[test]
fn a_requests_length_is_that_of_its_text() {
    let request =
        hyper::Request::post("/a/b?c=d").header("host", "x:1").header("content-length", 2);
    let request = request.body(http_body_util::Full::new("hi".into())).expect("a request");
    let text = "POST /a/b?c=d HTTP/1.1\r\nhost: x:1\r\ncontent-length: 2\r\n\r\nhi";
    assert_eq!(request_bytes(&request), text.len());
}

/// Guards against bytes to a peer that has connected from another port counting as unknown.
#[test]
fn a_peer_is_found_by_its_ip_address() {
    let rig = Rig::with_local(Local::default().with_name("vm-1").with_data_centre(NEAR));
    let peer = SocketAddr::from(([10, 0, 0, 7], 7000));
    let gossip = LoadGossip {
        incarnation: 1,
        sequence: 1,
        data_centre: data_centre_hash(FAR),
        ..LoadGossip::default()
    };
    rig.router.dispatch(Event::gossip(peer, gossip));
    let found = |ip: [u8; 4]| rig.router.read(|state| state.peers.data_centre_at(ip.into()));
    assert_eq!(found([10, 0, 0, 7]), data_centre_hash(FAR));
    assert_eq!((found([10, 0, 0, 6]), found([10, 0, 0, 8])), (0, 0));
}
