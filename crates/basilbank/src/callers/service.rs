//! From a request to what serves it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::Sender,
    },
    time::{Instant, SystemTime},
};

use basilbank_config::ApiLimits;
use basilbank_core::{
    event::Event,
    ids::{RequestId, VmId},
    reason::Refusal,
};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use tokio::sync::watch;

use super::{
    body::Outgoing,
    code::EdgeRefusal,
    config::ServerConfig,
    connections::Place,
    cursor::CursorKey,
    error::{ApiError, Origin},
    form::Shape,
    headers::{X_REQUEST_ID, bearer},
    registry::Callers,
    request_body::{BodyError, BodyLimits, read_body},
};

const API_PREFIX: &str = "/v1/";
/// What `Allow` says where any method but CONNECT is passed on.
const PLAIN_METHODS: &str = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

/// What all connections share.
pub struct Api {
    /// Settings and hooks.
    pub config: ServerConfig,
    /// The way to the core.
    pub events: Sender<Event>,
    /// The way back.
    pub callers: Arc<Callers>,
    /// Makes and checks cursors.
    pub cursors: CursorKey,
    closing: watch::Receiver<bool>,
    ids: EdgeIds,
}

/// Ids of answers that the core gave none: a hash of the start time and a counter.
struct EdgeIds {
    start: u64,
    counter: AtomicU64,
}

/// What a path asks for.
enum Route<'a> {
    Draft(Shape),
    Models,
    Model(&'a str),
    Plain,
}

impl Api {
    /// The state of a server that starts now.
    #[must_use]
    pub fn new(
        config: ServerConfig,
        events: Sender<Event>,
        callers: Arc<Callers>,
        closing: watch::Receiver<bool>,
    ) -> Api {
        let cursors = CursorKey::new(&config.peer_key);
        let start = since_epoch(config.clock.now().wall).as_nanos() as u64;
        let ids = EdgeIds { start, counter: AtomicU64::new(0) };
        callers.bodies.set_bound(config.limits.body_memory());
        Api { config, events, callers, cursors, closing, ids }
    }

    /// Seconds since the Unix epoch.
    #[must_use]
    pub fn unix_seconds(&self) -> u64 {
        since_epoch(self.config.clock.now().wall).as_secs()
    }

    /// A new id for an answer of a call that the core did not accept.
    #[must_use]
    pub fn edge_id(&self) -> String {
        let counter = self.ids.counter.fetch_add(1, Ordering::Relaxed);
        RequestId::new(VmId::of("callers"), self.ids.start, counter).to_string()
    }

    /// Counts and logs a refusal made here.
    pub fn count(&self, refusal: &'static str, request_id: &str) {
        (self.config.refused)(refusal);
        log::debug!("event=edge_refused code={refusal} request={request_id}");
    }

    /// Serves one request.
    pub async fn handle(&self, request: Request<Incoming>, place: &Place) -> Response<Outgoing> {
        place.wait_unblocked().await;
        let mut response = match self.serve(request, place).await {
            Ok(response) => response,
            Err(error) => self.fail(&error),
        };
        if !response.headers().contains_key(X_REQUEST_ID)
            && let Ok(id) = HeaderValue::from_str(&self.edge_id())
        {
            response.headers_mut().insert(X_REQUEST_ID, id);
        }
        if *self.closing.borrow() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn fail(&self, error: &ApiError) -> Response<Outgoing> {
        let id = error.request.map_or_else(|| self.edge_id(), |id| id.to_string());
        if error.origin == Origin::Edge {
            self.count(error.code.as_str(), &id);
        }
        error.response(&id)
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        place: &Place,
    ) -> Result<Response<Outgoing>, ApiError> {
        let (head, body) = request.into_parts();
        let limits = &self.config.limits;
        if limits.max_header_bytes < header_bytes(&head.headers) {
            return Err(ApiError::edge(EdgeRefusal::HeadersTooLarge));
        }
        let route = route(&head.method, head.uri.path())?;
        // A body is read only for a caller that has shown a key.
        bearer(&head.headers)?;
        match route {
            Route::Models => self.models(&head.headers),
            Route::Model(name) => self.model(&head.headers, name),
            Route::Draft(shape) => {
                let body = self.read_body(body, place).await?;
                self.draft(shape, &head.headers, body).await
            }
            Route::Plain => {
                let body = self.read_body(body, place).await?;
                self.plain(&head.method, &head.uri, &head.headers, body).await
            }
        }
    }

    /// Reads a caller's body. Its request is whole then.
    async fn read_body(&self, body: Incoming, place: &Place) -> Result<Bytes, ApiError> {
        let ApiLimits { max_body_bytes, body_timeout, .. } = self.config.limits;
        let limits = BodyLimits { max_bytes: max_body_bytes, base_time: body_timeout };
        let body =
            read_body(body, limits, &self.callers.bodies).await.map_err(|error| match error {
                BodyError::TooLong => ApiError::early(Refusal::TooLarge)
                    .with_message(format!("the body is larger than {max_body_bytes} bytes")),
                BodyError::Broken => ApiError::edge(EdgeRefusal::BadHttp),
                BodyError::TooSlow => ApiError::edge(EdgeRefusal::SlowBody),
                BodyError::NoMemory => ApiError::edge(EdgeRefusal::BodyMemory),
            })?;
        let lost = |_| ApiError::edge(EdgeRefusal::Connections);
        place.record_whole(Instant::now()).map_err(lost)?;
        Ok(body)
    }
}

fn since_epoch(wall: SystemTime) -> std::time::Duration {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// The headers' size as they came: name, value, and four bytes of punctuation each.
fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

fn route<'a>(method: &Method, path: &'a str) -> Result<Route<'a>, ApiError> {
    if *method == Method::CONNECT {
        return Err(ApiError::edge(EdgeRefusal::WrongMethod).with_allow(PLAIN_METHODS));
    }
    let Some(rest) = path.strip_prefix(API_PREFIX) else { return Ok(Route::Plain) };
    let (route, allow) = match rest {
        "chat/completions" => (Route::Draft(Shape::Chat), "POST"),
        "completions" => (Route::Draft(Shape::Text), "POST"),
        "models" => (Route::Models, "GET, HEAD"),
        _ => match rest.strip_prefix("models/") {
            Some(name) => (Route::Model(name), "GET, HEAD"),
            None => return Err(ApiError::early(Refusal::UnknownPath)),
        },
    };
    if allow.split(", ").any(|allowed| allowed == method.as_str()) {
        return Ok(route);
    }
    Err(ApiError::edge(EdgeRefusal::WrongMethod).with_allow(allow))
}
