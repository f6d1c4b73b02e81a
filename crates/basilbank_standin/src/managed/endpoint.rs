//! A stand-in for the platform's endpoints: model engines with a stage, and plain services.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use super::{
    ending::{BreakShare, Ending},
    http::Listener,
    inside::{Caches, Inside, lock},
    misdeed::Misdeed,
    second_answer::SecondAnswer,
    served::Served,
    serving::Serving,
};

/// The version of software that endpoints have unless another one is given.
pub const FIRST_VERSION: &str = "v1";

/// What an endpoint is.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// The instance's id.
    pub instance: String,
    /// The port to listen on; 0 lets the system choose.
    pub port: u16,
    /// Its stage; `None` for a plain service.
    pub stage: Option<&'static str>,
    /// The version of its software.
    pub version: &'static str,
}

impl EndpointSpec {
    /// A plain service.
    #[must_use]
    pub fn plain(instance: &str) -> EndpointSpec {
        EndpointSpec { instance: instance.to_owned(), port: 0, stage: None, version: FIRST_VERSION }
    }

    /// A model endpoint.
    #[must_use]
    pub fn model(instance: &str, stage: &'static str) -> EndpointSpec {
        EndpointSpec { stage: Some(stage), ..EndpointSpec::plain(instance) }
    }
}

/// An endpoint. Dropping it ends it.
pub struct ManagedEndpoint {
    spec: EndpointSpec,
    pub(super) inside: Arc<Mutex<Inside>>,
    listener: Listener,
    caches: Caches,
    listed: SocketAddr,
}

impl ManagedEndpoint {
    /// Starts one that shares KV caches with others.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(spec: EndpointSpec, caches: &Caches) -> io::Result<ManagedEndpoint> {
        let inside = begin(&spec);
        let listener = listen(&spec, spec.port, &inside, caches)?;
        let listed = listener.address();
        lock(&caches.0).insert(listed, Arc::clone(&inside));
        Ok(ManagedEndpoint { spec, inside, listener, caches: caches.clone(), listed })
    }

    /// It ends, and starts again under its id at a port, with a later `born` and nothing of before:
    /// calls in progress break off, slots, KV caches and counts are gone. Port 0 lets the system
    /// choose another address. Returns what the former start has served.
    ///
    /// # Errors
    /// It can't listen.
    pub fn restart(&mut self, port: u16) -> io::Result<Served> {
        self.listener.close();
        let (inside, before) = (begin(&self.spec), self.listener.address());
        self.listener = listen(&self.spec, port, &inside, &self.caches)?;
        let mut caches = lock(&self.caches.0);
        caches.remove(&before);
        if self.listed == before {
            self.listed = self.listener.address();
        }
        caches.insert(self.listed, Arc::clone(&inside));
        drop(caches);
        let former = std::mem::replace(&mut self.inside, inside);
        let served = lock(&former).served.clone();
        Ok(served)
    }

    /// The same, with software of another version from then on.
    ///
    /// # Errors
    /// It can't listen.
    pub fn restart_as(&mut self, port: u16, version: &'static str) -> io::Result<Served> {
        self.spec.version = version;
        self.restart(port)
    }

    /// The version of its software.
    #[must_use]
    pub fn version(&self) -> &'static str {
        self.spec.version
    }

    /// Whether it serves whatever comes, and says nothing else.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.listener.is_open() && lock(&self.inside).is_sound()
    }

    /// It is reached at another address, such as a proxy's, and listed with that.
    pub fn reach_at(&mut self, address: SocketAddr) {
        self.listed = address;
        lock(&self.caches.0).insert(address, Arc::clone(&self.inside));
    }

    /// Where its entries say that it is.
    #[must_use]
    pub fn listed_at(&self) -> SocketAddr {
        self.listed
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Its instance's id.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.spec.instance
    }

    /// Its next entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> serde_json::Value {
        let mut inside = lock(&self.inside);
        inside.written += 1;
        let mut entry = json!({
            "service": service, "addr": self.listed.to_string(), "zone": "hall-a",
            "version": inside.served.version, "slots": 8, "state": state, "coldLeftMs": 0, "seq": inside.written,
            "born": inside.born,
        });
        if let Some(stage) = inside.stage {
            entry["stage"] = json!(stage);
        }
        entry
    }

    /// Sets how it misbehaves.
    pub fn misbehave(&self, misdeed: Misdeed) {
        lock(&self.inside).misdeed = misdeed;
    }

    /// Writes a second answer after each answer to a call from now on, or no longer.
    pub fn answer_twice(&self, second: Option<SecondAnswer>) {
        lock(&self.inside).seconds.set(second);
    }

    /// Refuses each call as it first arrives from now on, and runs it when it comes again.
    pub fn refuse_first(&self) {
        lock(&self.inside).refuses_first = true;
    }

    /// Sets how its answers to callers are framed and break off from now on.
    pub fn end_answers(&self, ending: Ending) {
        self.end_some(ending, BreakShare::ALL);
    }

    /// The same, but only a share of the answers breaks off.
    pub fn end_some(&self, ending: Ending, share: BreakShare) {
        let mut inside = lock(&self.inside);
        (inside.ending, inside.share) = (ending, Some(share));
    }

    /// Its streams that are to break off stop before that and wait for `end_after_report`.
    pub fn hold_breaks(&self) {
        lock(&self.inside).holds_breaks = true;
    }

    /// Its process ends, and closes the connections of streams that were held first: over another one
    /// it answers one more report.
    pub fn end_after_report(&self) {
        let mut inside = lock(&self.inside);
        (inside.holds_breaks, inside.ends_after_report) = (false, true);
    }

    /// Ends its process: all connections are closed, and new ones are refused.
    pub fn end(&mut self) {
        self.listener.close();
    }

    /// Refuses new connections from now on. Those that are open live on.
    pub fn stop_listening(&mut self) {
        self.listener.stop_listening();
    }

    /// It ends, and a later start has its address before its connections are seen to close: its own
    /// if `instance` is its id, else that of another endpoint. The later start accepts connections, and
    /// is silent for a time at first.
    ///
    /// # Errors
    /// It can't listen.
    pub fn be_replaced(&mut self, instance: &str, silence: Duration) -> io::Result<()> {
        self.listener.stop_listening();
        self.spec.instance = instance.to_owned();
        self.inside = begin(&self.spec);
        self.fall_silent(silence);
        let port = self.listener.address().port();
        let later = listen(&self.spec, port, &self.inside, &self.caches)?;
        let former = std::mem::replace(&mut self.listener, later);
        former.close_all();
        Ok(())
    }

    /// Names a limit in its answers from now on, or none. It runs whatever comes all the same.
    pub fn limit(&self, rate: Option<f64>) {
        lock(&self.inside).limit = rate;
    }

    /// Says in all its answers from now on that it leaves, or no longer. It runs whatever comes all
    /// the same.
    pub fn leave(&self, leaving: bool) {
        lock(&self.inside).leaving = leaving;
    }

    /// Writes so many streams at once from now on and refuses others as full, or any number.
    pub fn keep_slots(&self, slots: Option<u32>) {
        lock(&self.inside).slots = slots;
    }

    /// Takes so many times as long for streams from now on.
    pub fn slow_down(&self, factor: u32) {
        lock(&self.inside).slowness = factor;
    }

    /// Turns all work away from now on and asks for a pause, or no longer.
    pub fn pause(&self, pause: Option<Duration>) {
        lock(&self.inside).pause = pause;
    }

    /// A call has crashed it: it answers nothing until it starts again.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        lock(&self.inside).served.crashed.is_some()
    }

    /// What it has served.
    #[must_use]
    pub fn served(&self) -> Served {
        lock(&self.inside).served.clone()
    }

    /// Waits until it sends no stream, and returns whether that came in time. Its streams don't wait
    /// for the caller, as they would for one that asks again and again.
    #[must_use]
    pub fn wait_idle(&self, longest: Duration) -> bool {
        let inside = lock(&self.inside);
        let idle = Arc::clone(&inside.idle);
        let is_sending = |inside: &mut Inside| inside.served.active != 0;
        let waited = idle.wait_timeout_while(inside, longest, is_sending);
        waited.is_ok_and(|(_, timeout)| !timeout.timed_out())
    }

    /// Closes all connections, in the middle of whatever is sent.
    pub fn cut(&self) {
        self.listener.close_all();
    }
}

fn begin(spec: &EndpointSpec) -> Arc<Mutex<Inside>> {
    let served = Served { version: spec.version, ..Served::default() };
    Arc::new(Mutex::new(Inside { born: born(), stage: spec.stage, served, ..Inside::default() }))
}

/// Now, and later than any before: two starts in one millisecond would be the same one.
fn born() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let before = LAST.fetch_max(now, Ordering::Relaxed);
    match now <= before {
        true => LAST.fetch_add(1, Ordering::Relaxed) + 1,
        false => now,
    }
}

fn listen(
    spec: &EndpointSpec,
    port: u16,
    inside: &Arc<Mutex<Inside>>,
    caches: &Caches,
) -> io::Result<Listener> {
    let (instance, inside) = (spec.instance.clone(), Arc::clone(inside));
    let serving = Serving { instance, inside, caches: caches.clone() };
    Listener::start(port, move |stream, request| serving.serve(stream, request))
}
