//! `GET /v1/models` and `GET /v1/models/NAME`.

use basilbank_core::reason::Refusal;
use bytes::Bytes;
use hyper::{
    HeaderMap, Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use super::{
    body::{Outgoing, whole},
    error::ApiError,
    headers::bearer,
    service::Api,
};

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelBody<'a>>,
}

#[derive(Serialize)]
struct ModelBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl Api {
    /// What the caller's team may use.
    ///
    /// # Errors
    /// The key is missing or unknown, or there is no catalogue yet.
    pub fn models(&self, headers: &HeaderMap) -> Result<Response<Outgoing>, ApiError> {
        let names = self.names(headers)?;
        let data = names.iter().map(|name| ModelBody::new(name)).collect();
        Ok(json(&ModelList { object: "list", data }))
    }

    /// One model, if the caller's team may use it.
    ///
    /// # Errors
    /// The key is missing or unknown, or the team may not use it.
    pub fn model(&self, headers: &HeaderMap, name: &str) -> Result<Response<Outgoing>, ApiError> {
        let name = percent_decoded(name);
        let known = self.names(headers)?.contains(&name);
        if !known {
            return Err(ApiError::early(Refusal::UnknownModel));
        }
        Ok(json(&ModelBody::new(&name)))
    }

    fn names(&self, headers: &HeaderMap) -> Result<Vec<String>, ApiError> {
        let key = bearer(headers)?;
        (self.config.models)(&key).map_err(ApiError::early)
    }
}

impl ModelBody<'_> {
    fn new(name: &str) -> ModelBody<'_> {
        ModelBody { id: name, object: "model", created: 0, owned_by: "basilbank" }
    }
}

fn json(body: &impl Serialize) -> Response<Outgoing> {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::new(whole(Bytes::from(text)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A path segment without its percent signs; what can't be decoded stays as it is and names no model.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let pair = tail.get(..2).and_then(|pair| std::str::from_utf8(pair).ok());
        let byte = pair.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8(bytes).unwrap_or_else(|_| text.to_owned())
}
