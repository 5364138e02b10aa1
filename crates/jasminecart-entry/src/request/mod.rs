//! The HTTP listener for requests: HTTP/1.1 and HTTP/2 with prior knowledge.

mod admission;
mod answers;
mod attempt;
mod body;
mod headers;
mod listener;
mod reply;
mod run;

pub(crate) use self::answers::ResponseStore;
pub(crate) use self::body::BodyError;
pub use self::headers::{
    DEADLINE_HEADER, FORWARDED_HEADER, KEY_HEADER, KEYS_PATH, OUTCOME_HEADER, TENANT_HEADER,
};
pub(crate) use self::listener::{RequestContext, RequestListener};
