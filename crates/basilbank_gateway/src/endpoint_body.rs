//! The body of an endpoint's answer, whoever called the endpoint.

use std::{
    error::Error,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use basilbank_forward::prelude::Damage;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::{direct_body::DirectBody, end_proof::EndProof, proxy_client::ProxiedBody};

/// The body of an endpoint's answer.
#[derive(Debug)]
pub enum EndpointBody {
    /// This daemon called the endpoint.
    Direct(DirectBody),
    /// A peer called the endpoint and passes the body on.
    Proxied(Box<ProxiedBody>),
}

impl EndpointBody {
    /// Returns why the body broke off.
    #[must_use]
    pub fn damage(&self) -> Damage {
        match self {
            EndpointBody::Direct(body) => body.damage(),
            EndpointBody::Proxied(body) => body.damage(),
        }
    }

    /// Returns what proves that the body is whole, or why nothing does; `None` before its end, and if
    /// its connection broke.
    #[must_use]
    pub fn proof(&self) -> Option<EndProof> {
        match self {
            EndpointBody::Direct(body) => body.proof(),
            EndpointBody::Proxied(body) => body.is_whole().then_some(EndProof::Peer),
        }
    }
}

/// A body broke off before its end, or nothing proves that it is whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BodyBroken;

impl fmt::Display for BodyBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body broke off")
    }
}

impl Error for BodyBroken {}

impl Body for EndpointBody {
    type Data = Bytes;
    type Error = BodyBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBroken>>> {
        match self.get_mut() {
            EndpointBody::Direct(body) => Pin::new(body).poll_frame(context),
            EndpointBody::Proxied(body) => body.poll_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            EndpointBody::Direct(body) => body.size_hint(),
            EndpointBody::Proxied(_) => SizeHint::default(),
        }
    }
}
