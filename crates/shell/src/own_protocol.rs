//! The project's own HTTP protocol for calls to workers, callbacks and worker lists.
use crate::prelude::*;

/// Sends each call with exactly the path and headers that it carries.
pub struct OwnProtocol;

impl Outbound for OwnProtocol {
    fn request(&self, call: &Call) -> Result<Request, CallResult> {
        let method = if call.is_post { http::Method::POST } else { http::Method::GET };
        let mut builder = http::Request::builder().method(method).uri(&call.path).header("host", &call.addr);
        for (name, value) in &call.headers {
            let Ok(value) = http::HeaderValue::from_bytes(value.as_bytes()) else {
                return Err(CallResult::Answered { code: 400, load: None, draining: false, body: Bytes::new() });
            };
            builder = builder.header(*name, value);
        }
        builder.body(call.body.clone()).map_err(|_| CallResult::Failed(SendState::NotSent))
    }
    fn reply(&self, _: &Call, response: Response) -> Meant {
        let (head, body) = response.into_parts();
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let load = header("dahliawick-load").and_then(|v| v.parse().ok());
        let draining = header("dahliawick-draining") == Some("1");
        Meant { reply: CallResult::Answered { code: head.status.as_u16(), load, draining, body }, reuse: true }
    }
}
