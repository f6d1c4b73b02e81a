//! One caller's connection to the API.

use std::{convert::Infallible, sync::Arc};

use tokio::{net::TcpStream, sync::watch};

use super::{
    code::EdgeRefusal,
    connections::Place,
    edge::{self, Terms},
    error::ApiError,
    service::Api,
};

/// Serves a connection until it ends; once `closing` is true, until its current answer ends.
pub async fn serve(
    stream: TcpStream,
    place: Arc<Place>,
    api: Arc<Api>,
    closing: watch::Receiver<bool>,
) {
    let limits = &api.config.limits;
    let terms = Terms {
        write_time: api.config.write_timeout,
        head_time: limits.header_timeout,
        head_bytes: limits.max_header_bytes,
    };
    let (serving, held) = (Arc::clone(&api), Arc::clone(&place));
    let handle = move |request| {
        let (api, place) = (Arc::clone(&serving), Arc::clone(&held));
        Box::pin(async move { Ok::<_, Infallible>(api.handle(request, &place).await) })
    };
    let refuse = |refusal: EdgeRefusal| {
        let id = api.edge_id();
        api.count(refusal.as_str(), &id);
        Some(ApiError::edge(refusal).raw_response(&id))
    };
    edge::serve(stream, &place, &terms, handle, refuse, closing).await;
}
