//! Stored answers of completed requests with idempotency keys.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Response, StatusCode};
use jasminecart_core::names::Name;
use jasminecart_core::request::IssuedKey;

use super::body::ClientBody;

/// The largest stored answer; a repeat of a request with a larger answer is told that it has run.
pub(crate) const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What a repeat must have in common with the first request to get its answer. A key that is used for
/// another service or request must not disclose the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestIdentity {
    pub(crate) service: Name,
    pub(crate) tenant: Name,
    pub(crate) method: Method,
    pub(crate) path: String,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct StoredAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredAnswer {
    pub(crate) fn response(&self) -> Response<ClientBody> {
        let mut response = Response::new(ClientBody::whole(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }

    fn size(&self) -> u64 {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
        (self.body.len() + headers) as u64
    }
}

/// The stored answers of this process. The oldest are dropped when their total size reaches its bound.
#[derive(Debug)]
pub(crate) struct AnswerStore {
    max_bytes: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    answers: HashMap<IssuedKey, (RequestIdentity, StoredAnswer)>,
    order: VecDeque<IssuedKey>,
    bytes: u64,
}

impl AnswerStore {
    pub(crate) fn new(max_bytes: u64) -> AnswerStore {
        AnswerStore { max_bytes, state: Mutex::default() }
    }

    /// Stores an answer and tells whether it fits. A key that has an answer keeps it.
    pub(crate) fn put(&self, key: IssuedKey, of: RequestIdentity, answer: StoredAnswer) -> bool {
        let size = answer.size();
        if size > self.max_bytes {
            return false;
        }
        let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *guard;
        if state.answers.contains_key(&key) {
            return false;
        }
        state.bytes += size;
        state.order.push_back(key.clone());
        state.answers.insert(key, (of, answer));
        while state.bytes > self.max_bytes {
            let Some(oldest) = state.order.pop_front() else { break };
            if let Some((_, answer)) = state.answers.remove(&oldest) {
                state.bytes -= answer.size();
            }
        }
        true
    }

    /// Returns the answer of a request with this key, if it was the same request.
    pub(crate) fn get(&self, key: &IssuedKey, of: &RequestIdentity) -> Option<StoredAnswer> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (identity, answer) = state.answers.get(key)?;
        (identity == of).then(|| answer.clone())
    }
}

/// Collects an answer while it is streamed, until it is too large to be stored.
#[derive(Debug)]
pub(crate) struct AnswerCopy(Option<BytesMut>);

impl AnswerCopy {
    /// Creates a copy that collects only when `wanted`.
    pub(crate) fn new(wanted: bool) -> AnswerCopy {
        AnswerCopy(wanted.then(BytesMut::new))
    }

    pub(crate) fn add(&mut self, data: &Bytes) {
        let Some(copy) = &mut self.0 else { return };
        if copy.len() + data.len() > MAX_ANSWER_BYTES {
            self.0 = None;
        } else {
            copy.extend_from_slice(data);
        }
    }

    /// Gives the copy up, such as for an answer with trailers, which a stored answer cannot repeat.
    pub(crate) fn discard(&mut self) {
        self.0 = None;
    }

    pub(crate) fn finish(self) -> Option<Bytes> {
        self.0.map(BytesMut::freeze)
    }
}
