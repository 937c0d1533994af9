//! The seams between a daemon and the words spoken around it.
//!
//! Whoever implements these turns words into asks and calls into words. He
//! decides nothing, counts nothing, waits for nothing and remembers nothing.
use crate::prelude::*;

pub type Request = http::Request<Bytes>;
pub type Response = http::Response<Bytes>;
/// A response without its body.
pub type ResponseHead = http::Response<()>;

/// What a request means.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
pub enum Heard {
    Ask(ApiRequest),
    /// It can be answered without asking the core.
    Answer(Response),
}

/// The words of those who call this daemon.
pub trait Inbound: Send + Sync {
    fn hear(&self, request: &Request) -> Heard;
    /// The answer to `request`, which was heard as an ask.
    fn answer(&self, request: &Request, verdict: ApiResponse) -> Response;
}

/// What a response means. `reuse` is false when nothing more may be sent over
/// the connection it came by.
#[derive(Debug, PartialEq)]
pub struct Meant {
    pub reply: CallResult,
    pub reuse: bool,
}

/// The words of those whom this daemon calls.
pub trait Outbound: Send + Sync {
    /// A request with path and headers; its connection goes to the call's
    /// address. `Err` is the reply to a call that can't be put into words.
    fn request(&self, call: &Call) -> Result<Request, CallResult>;
    fn reply(&self, call: &Call, response: Response) -> Meant;
    /// What a response says by its head alone, whatever becomes of its body;
    /// `None` where the body is needed, or the head leaves the end in doubt.
    fn reply_by_head(&self, _call: &Call, _head: ResponseHead) -> Option<CallResult> {
        None
    }
    /// Whether a response says that it is for another call. The call's own may
    /// still come after it.
    fn is_anothers(&self, _call: &Call, _response: &Response) -> bool {
        false
    }
    /// Whether the call may go over a connection that carried, or will carry,
    /// others. Not, when nothing in an answer tells whose it is and a wrong
    /// one does harm.
    fn may_share(&self, _call: &Call) -> bool {
        true
    }
}

/// An address at which `inbound` is spoken.
#[derive(Clone)]
pub struct Front {
    pub addr: String,
    pub inbound: Arc<dyn Inbound>,
    /// The largest body taken here.
    pub body_max: u64,
}

/// All that is spoken with the outside, besides the product's own interface.
#[derive(Clone)]
pub struct Speech {
    pub fronts: Vec<Front>,
    pub outbound: Arc<dyn Outbound>,
}

impl Speech {
    /// The product's own words only.
    pub fn own() -> Speech {
        Speech { fronts: Vec::new(), outbound: Arc::new(OwnProtocol) }
    }
}

/// A response of a code and nothing else.
pub fn bare(code: u16) -> Response {
    let mut r = Response::new(Bytes::new());
    *r.status_mut() = http::StatusCode::from_u16(code).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    r
}
