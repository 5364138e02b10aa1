//! Stored responses of completed requests with idempotency keys.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Response, StatusCode};
use jasminecart_core::names::Name;
use jasminecart_core::request::IssuedKey;

use super::body::ResponseBody;

/// The largest body of a stored response in bytes. A retry of a request with a larger response is
/// refused as already used, because its response cannot be replayed.
pub(crate) const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// The fields in which a retry must match the first request to receive its stored response. A key
/// that is reused for another service, tenant, method or path must not disclose the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestIdentity {
    pub(crate) service: Name,
    pub(crate) tenant: Name,
    pub(crate) method: Method,
    pub(crate) path: String,
}

/// A complete response, kept to be replayed to retries with the same key.
#[derive(Clone, Debug)]
pub(crate) struct StoredResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredResponse {
    pub(crate) fn to_response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }

    /// Returns the size of the headers and the body in bytes.
    fn size(&self) -> u64 {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
        (self.body.len() + headers) as u64
    }
}

/// The stored responses of this process. The oldest are evicted when their total size exceeds its
/// limit.
#[derive(Debug)]
pub(crate) struct ResponseStore {
    max_bytes: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    responses: HashMap<IssuedKey, (RequestIdentity, StoredResponse)>,
    order: VecDeque<IssuedKey>,
    bytes: u64,
}

impl ResponseStore {
    pub(crate) fn new(max_bytes: u64) -> ResponseStore {
        ResponseStore { max_bytes, state: Mutex::default() }
    }

    /// Stores a response and returns whether it was stored. A response above the total limit is
    /// not, and an earlier response of the same key is not replaced.
    pub(crate) fn put(
        &self,
        key: IssuedKey,
        identity: RequestIdentity,
        stored: StoredResponse,
    ) -> bool {
        let size = stored.size();
        if size > self.max_bytes {
            return false;
        }
        let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *guard;
        if state.responses.contains_key(&key) {
            return false;
        }
        state.bytes += size;
        state.order.push_back(key.clone());
        state.responses.insert(key, (identity, stored));
        while state.bytes > self.max_bytes {
            let Some(oldest) = state.order.pop_front() else { break };
            if let Some((_, stored)) = state.responses.remove(&oldest) {
                state.bytes -= stored.size();
            }
        }
        true
    }

    /// Returns the response stored for this key, if the stored request has the same identity.
    pub(crate) fn get(
        &self,
        key: &IssuedKey,
        identity: &RequestIdentity,
    ) -> Option<StoredResponse> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (stored_for, stored) = state.responses.get(key)?;
        (stored_for == identity).then(|| stored.clone())
    }
}

/// Collects the body of a response while it is streamed, until it is too large to be stored.
#[derive(Debug)]
pub(crate) struct BodyCopy(Option<BytesMut>);

impl BodyCopy {
    /// Creates a copy that collects data only when `enabled`.
    pub(crate) fn new(enabled: bool) -> BodyCopy {
        BodyCopy(enabled.then(BytesMut::new))
    }

    pub(crate) fn add(&mut self, data: &Bytes) {
        let Some(copy) = &mut self.0 else { return };
        if copy.len() + data.len() > MAX_STORED_BODY_BYTES {
            self.0 = None;
        } else {
            copy.extend_from_slice(data);
        }
    }

    /// Discards the copy, such as for a response with trailers, which a stored response cannot
    /// replay.
    pub(crate) fn discard(&mut self) {
        self.0 = None;
    }

    /// Returns the collected body, or `None` if it was not collected whole.
    pub(crate) fn finish(self) -> Option<Bytes> {
        self.0.map(BytesMut::freeze)
    }
}
