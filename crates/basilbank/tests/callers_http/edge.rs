//! A server, and the core's end of it.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    time::{Duration, SystemTime},
};

use basilbank::callers::{Callers, Delivery, Server, ServerConfig};
use basilbank_core::prelude::*;

use crate::client::Client;

/// Ends a wait for what never comes.
pub const LIMIT: Duration = Duration::from_secs(20);
/// The id that [`Edge::accept`] gives.
pub const REQUEST: &str = "0000000000000001";
/// A chat that wants its answer in one piece.
pub const WHOLE: &str = r#"{"model": "writer", "messages": [{"role": "user", "content": "hi"}]}"#;
/// A chat that wants its answer token by token.
pub const STREAM: &str =
    r#"{"model": "writer", "stream": true, "messages": [{"role": "user", "content": "hi"}]}"#;

struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Now {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000);
        Now { mono: Duration::ZERO, wall }
    }
}

/// A server whose core is the test.
pub struct Edge {
    pub server: Server,
    pub callers: Arc<Callers>,
    pub events: Receiver<Event>,
    pub refused: Arc<Mutex<Vec<&'static str>>>,
}

/// A default configuration on a free port.
pub fn config() -> ServerConfig {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    ServerConfig::new(address, b"shared by all daemons", Arc::new(FixedClock))
}

impl Edge {
    pub fn start(config: ServerConfig) -> Edge {
        let (sender, events) = channel();
        let callers = Arc::new(Callers::default());
        let refused = Arc::new(Mutex::new(Vec::new()));
        let counter = Arc::clone(&refused);
        let config = config.with_refused(Arc::new(move |name| counter.lock().unwrap().push(name)));
        let server = Server::start(config, sender, Arc::clone(&callers)).unwrap();
        Edge { server, callers, events, refused }
    }

    /// A server with the default configuration, and one connection to it.
    pub fn open() -> (Edge, Client) {
        let edge = Edge::start(config());
        let client = edge.client();
        (edge, client)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.server.address())
    }

    /// What was refused at the edge so far.
    pub fn refused(&self) -> Vec<&'static str> {
        self.refused.lock().unwrap().clone()
    }

    /// The next call.
    pub fn arrived(&self) -> Call {
        match self.events.recv_timeout(LIMIT) {
            Ok(Event::Caller(CallerEvent::Arrived(call))) => *call,
            other => panic!("expected a call, got {other:?}"),
        }
    }

    /// The next caller that left.
    pub fn left(&self) -> CallerId {
        match self.events.recv_timeout(LIMIT) {
            Ok(Event::Caller(CallerEvent::Left(caller))) => caller,
            other => panic!("expected a departure, got {other:?}"),
        }
    }

    /// Posts a chat and accepts it.
    pub fn begin(&self, client: &mut Client, body: &str) -> CallerId {
        client.post("/v1/chat/completions", "", body);
        let caller = self.arrived().caller;
        self.accept(caller);
        caller
    }

    /// Posts a chat and streams its first token.
    pub fn stream(&self, client: &mut Client) -> CallerId {
        let caller = self.begin(client, STREAM);
        self.token(caller, 0, "Sure");
        client.head();
        client.chunk().unwrap();
        caller
    }

    pub fn say(&self, caller: CallerId, answer: Answer) {
        assert_eq!(self.callers.answer(caller, answer), Delivery::Sent);
    }

    /// Accepts a call, as request 1 of the entry `writer`.
    pub fn accept(&self, caller: CallerId) {
        self.say(caller, Answer::Accepted { request: RequestId(1), entry: EntryId::of("writer") });
    }

    pub fn locate(&self, caller: CallerId, stream: &str, base: i64) {
        let (endpoint, stream) = (EndpointId::of("decode-1"), stream.to_owned());
        self.say(caller, Answer::Located { endpoint, stream, base_offset: base });
    }

    pub fn token(&self, caller: CallerId, offset: u32, text: &str) {
        self.say(caller, Answer::Tokens { offset, texts: vec![text.to_owned()] });
    }

    pub fn done(&self, caller: CallerId, generated: u32) {
        let reason = "stop".to_owned();
        self.say(
            caller,
            Answer::Done {
                reason,
                prompt_tokens: 7,
                cached_tokens: 3,
                generated_tokens: generated,
            },
        );
    }
}
