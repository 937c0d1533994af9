//! Small HTTP calls, for the operator's command and the fleet runner.
use crate::prelude::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::sync::OnceLock;
use std::time::Duration;

/// A reply: its code, when to come back, and its bytes.
#[derive(Clone, Debug)]
pub struct Said {
    pub code: u16,
    pub after: Option<u64>,
    pub body: Bytes,
}

impl Said {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

fn client() -> &'static Client<HttpConnector, Full<Bytes>> {
    static ONE: OnceLock<Client<HttpConnector, Full<Bytes>>> = OnceLock::new();
    ONE.get_or_init(|| {
        let mut plug = HttpConnector::new();
        plug.set_connect_timeout(Some(Duration::from_millis(500)));
        plug.set_nodelay(true);
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(64).build(plug)
    })
}

pub async fn ask(method: http::Method, url: &str, body: impl Into<Bytes>) -> Result<Said, String> {
    ask_with(method, url, body, Duration::from_secs(8)).await
}

pub async fn ask_with(method: http::Method, url: &str, body: impl Into<Bytes>, limit: Duration) -> Result<Said, String> {
    let req = http::Request::builder()
        .method(method)
        .uri(url)
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .map_err(|e| e.to_string())?;
    let go = async {
        let res = client().request(req).await.map_err(|e| format!("{url}: {e}"))?;
        let code = res.status().as_u16();
        let after = res.headers().get("retry-after").and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
        let body = Limited::new(res.into_body(), 64 << 20).collect().await.map_err(|e| format!("{url}: {e}"))?;
        Ok(Said { code, after, body: body.to_bytes() })
    };
    tokio::time::timeout(limit, go).await.map_err(|_| format!("{url}: no reply in {} s", limit.as_secs()))?
}
