//! The product's own words to workers, desks and lists.
use crate::prelude::*;

/// Calls as their path and headers say.
pub struct OwnProtocol;

impl Outbound for OwnProtocol {
    fn request(&self, call: &Call) -> Result<Request, CallResult> {
        let method = if call.is_post { http::Method::POST } else { http::Method::GET };
        let mut r = http::Request::builder().method(method).uri(&call.path).header("host", &call.addr);
        for (k, v) in &call.headers {
            let Ok(v) = http::HeaderValue::from_bytes(v.as_bytes()) else {
                return Err(CallResult::Answered { code: 400, load: None, draining: false, body: Bytes::new() });
            };
            r = r.header(*k, v);
        }
        r.body(call.body.clone()).map_err(|_| CallResult::Failed(SendState::NotSent))
    }
    fn reply(&self, _: &Call, response: Response) -> Meant {
        let (head, body) = response.into_parts();
        let word = |n: &str| head.headers.get(n).and_then(|v| v.to_str().ok());
        let load = word("dahliawick-load").and_then(|v| v.parse().ok());
        let draining = word("dahliawick-draining") == Some("1");
        Meant { reply: CallResult::Answered { code: head.status.as_u16(), load, draining, body }, reuse: true }
    }
}
