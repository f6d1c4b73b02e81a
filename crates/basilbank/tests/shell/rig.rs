//! An endpoints' side with one prefill, one decode and one plain endpoint.

use std::{
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use basilbank::{
    callers::{Callers, HeldDraft, HeldPlain},
    engine::{Engine, EngineConfig},
    inbox::{Inbox, inbox},
    published::Published,
};
use basilbank_core::{
    catalogue::{Catalogue, Endpoint, EntryTarget, ModelSpec, Role},
    effect::{CompletionCall, EngineCall},
    event::{EngineEvent, Event, Failure},
    ids::{AttemptKey, CallerId, DataCentreId, EndpointId, ModelId, RequestId, ServiceId},
    state::Local,
};
use slotmap::KeyData;

use crate::responder::{PATIENCE, Responder, Seen, close_after};

/// Longest silence of an endpoint, where a test needs no other.
const SILENCE: Duration = Duration::from_millis(300);

/// The request of all tests.
pub const REQUEST: RequestId = RequestId(0xabc);

/// The owner tag of this daemon's streams, as a query.
pub const OWNER: &str = "vm=0000000000000007&incarnation=9";

/// The endpoints' side and what a test needs around it.
pub struct Rig {
    pub engine: Engine,
    pub callers: Arc<Callers>,
    pub published: Arc<Published>,
    /// Longest silence of an endpoint.
    pub silence: Duration,
    inbox: Inbox,
    responder: Option<Responder>,
}

impl Rig {
    /// All endpoints answer by `answer`.
    pub fn start(answer: impl Fn(&Seen, &mut TcpStream) + Send + Sync + 'static) -> Rig {
        Rig::of(Responder::start(answer))
    }

    /// All endpoints answer by `answer`, and no slow machine makes them seem silent.
    pub fn patient(answer: impl Fn(&Seen, &mut TcpStream) + Send + Sync + 'static) -> Rig {
        let responder = Responder::start(answer);
        let rig = Rig::patient_at(responder.address);
        Rig { responder: Some(responder), ..rig }
    }

    /// All endpoints give the same answer to all.
    pub fn fixed(status: u16, body: &str) -> Rig {
        Rig::of(Responder::fixed(status, body))
    }

    /// All endpoints say the same to all and close the connection.
    pub fn closing(bytes: impl Into<String>) -> Rig {
        let bytes = bytes.into();
        Rig::start(move |_, stream| close_after(stream, &bytes))
    }

    fn of(responder: Responder) -> Rig {
        let rig = Rig::at(responder.address);
        Rig { responder: Some(responder), ..rig }
    }

    /// All endpoints at one address.
    pub fn at(address: SocketAddr) -> Rig {
        Rig::with_silence(address, SILENCE)
    }

    /// All endpoints at one address, and no slow machine makes them seem silent.
    pub fn patient_at(address: SocketAddr) -> Rig {
        Rig::with_silence(address, PATIENCE)
    }

    fn with_silence(address: SocketAddr, silence: Duration) -> Rig {
        let (inbox, _, feed) = inbox();
        let callers = Arc::new(Callers::default());
        let published = Arc::new(Published::default());
        published.publish_catalogue(&catalogue(address));
        let local = Local { vm: basilbank_core::ids::VmId(7), incarnation: 9, ..Local::default() };
        let config = EngineConfig::new(&local).with_silence(silence).with_answer(1000);
        let engine = Engine::new(config, Arc::clone(&callers), Arc::clone(&published), feed);
        Rig { engine, callers, published, silence, inbox, responder: None }
    }

    /// All endpoints are leaving from now on.
    pub fn leave(&self) {
        let mut catalogue = Catalogue::clone(self.published.names().catalogue());
        catalogue.endpoints.iter_mut().for_each(|e| e.leaving = true);
        self.published.publish_catalogue(&Arc::new(catalogue));
    }

    /// The next request that came to an endpoint.
    pub fn seen(&self) -> Seen {
        self.responder.as_ref().expect("somebody listens").next()
    }

    /// Where all endpoints listen.
    pub fn address(&self) -> SocketAddr {
        self.responder.as_ref().expect("somebody listens").address
    }

    /// Makes a call that starts at once.
    pub fn call(&self, call: EngineCall) {
        assert_eq!(format!("{:?}", self.engine.call(call)), "None");
    }

    /// The next event.
    pub fn next(&self) -> EngineEvent {
        match self.inbox.recv_timeout(PATIENCE) {
            Ok(Event::Engine(event)) => event,
            other => panic!("{other:?}"),
        }
    }

    /// The next event, which is a failure.
    pub fn failure(&self) -> Failure {
        match self.next() {
            EngineEvent::Failed { failure, .. } => failure,
            other => panic!("{other:?}"),
        }
    }

    /// Makes a call that fails.
    pub fn failure_of(&self, call: EngineCall) -> Failure {
        self.call(call);
        self.failure()
    }

    /// Whether events wait.
    pub fn is_quiet(&self) -> bool {
        self.inbox.try_recv().is_none()
    }

    /// Opens a draft's call and prepares its prefill as attempt `key`.
    pub fn prefill(&self, key: u64) -> EngineCall {
        EngineCall::Prefill(self.draft(key, endpoint_id("p1")))
    }

    /// Opens a draft's call and prepares its decode as attempt `key`.
    pub fn decode(&self, key: u64) -> EngineCall {
        let draft = self.draft(key, endpoint_id("d1"));
        EngineCall::Decode { call: draft, source: endpoint_id("p1"), handle: "k1".to_owned() }
    }

    /// Opens a plain call and prepares it as attempt `key`.
    pub fn plain(&self, key: u64, held: HeldPlain) -> EngineCall {
        let (caller, _replies) = self.callers.open_plain(held);
        let (attempt, endpoint, timeout) = (attempt(key), endpoint_id("f1"), PATIENCE);
        EngineCall::Plain { attempt, caller, request: REQUEST, endpoint, timeout }
    }

    /// Opens a plain call that may run once, and prepares it as attempt `key`.
    pub fn order(&self, key: u64) -> EngineCall {
        let (method, target) = ("POST".to_owned(), "/".to_owned());
        self.plain(key, HeldPlain { method, target, ..HeldPlain::default() })
    }

    fn draft(&self, key: u64, endpoint: EndpointId) -> CompletionCall {
        let prompt = "two oak worktops".to_owned();
        let held = HeldDraft { prompt, ..HeldDraft::default() };
        let (caller, _replies): (CallerId, _) = self.callers.open_draft(held, 8);
        CompletionCall {
            attempt: attempt(key),
            caller,
            request: REQUEST,
            attempt_number: 3,
            endpoint,
            delivered: 0,
            remaining: 16,
            priority: 5,
            timeout: self.silence,
        }
    }
}

/// An attempt's key.
pub fn attempt(key: u64) -> AttemptKey {
    AttemptKey::from(KeyData::from_ffi(key))
}

/// An endpoint's id by its name: `p1`, `d1` or `f1`.
pub fn endpoint_id(name: &str) -> EndpointId {
    EndpointId::of(name)
}

fn catalogue(address: SocketAddr) -> Arc<Catalogue> {
    let model = ModelSpec {
        id: ModelId::of("writer"),
        name: "writer".to_owned(),
        version: String::new(),
        adapter: String::new(),
        weight_bytes: 0,
        token_bytes: 0,
        block_tokens: 16,
    };
    let target = EntryTarget::Model(model.id);
    let endpoints = vec![
        endpoint("p1", address, Role::Prefill, target),
        endpoint("d1", address, Role::Decode, target),
        endpoint("f1", address, Role::Plain, EntryTarget::Service(ServiceId::of("desk"))),
    ];
    Arc::new(Catalogue { revision: 1, models: vec![model], endpoints, ..Catalogue::default() })
}

fn endpoint(name: &str, address: SocketAddr, role: Role, serves: EntryTarget) -> Endpoint {
    Endpoint {
        id: EndpointId::of(name),
        name: name.to_owned(),
        address: address.to_string(),
        data_centre: DataCentreId::of("hall-a"),
        role,
        serves,
        slots: 4,
        prefill_rate: 1000.0,
        link_rate: 0,
        checks_fencing: false,
        accepts_orders: false,
        leaving: false,
    }
}
