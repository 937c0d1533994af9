//! Outward HTTP: each call ends, and its socket with it, at its limit.
use crate::prelude::*;
use crossbeam_channel::Sender;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;
use tokio::sync::mpsc;

type Out = Client<HttpConnector, Full<Bytes>>;

/// Starts the thread of outward calls; at most `most` wait to be begun.
pub fn start(ring: Sender<Event>, most: usize) -> std::io::Result<mpsc::Sender<(CallId, Call)>> {
    let (tx, mut rx) = mpsc::channel::<(CallId, Call)>(most);
    std::thread::Builder::new().name("calls".into()).spawn(move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        rt.block_on(async move {
            let mut plug = HttpConnector::new();
            plug.set_connect_timeout(Some(Duration::from_millis(500)));
            plug.set_nodelay(true);
            let client: Out = Client::builder(TokioExecutor::new())
                .pool_idle_timeout(Duration::from_secs(20))
                .pool_max_idle_per_host(8)
                .build(plug);
            while let Some((id, call)) = rx.recv().await {
                let (client, ring) = (client.clone(), ring.clone());
                tokio::spawn(async move {
                    let reply = make(client, call).await;
                    crate::wires::push(&ring, Event::Back(id, reply)).await;
                });
            }
        });
    })?;
    Ok(tx)
}

async fn make(client: Out, call: Call) -> Reply {
    let limit = Duration::from_micros(call.limit.0);
    // Dropping the future at the limit closes the socket it holds.
    match tokio::time::timeout(limit, go(client, call)).await {
        Ok(r) => r,
        Err(_) => Reply::Lost(Sent::Maybe),
    }
}

async fn go(client: Out, call: Call) -> Reply {
    let method = if call.post { http::Method::POST } else { http::Method::GET };
    let mut req = http::Request::builder().method(method).uri(format!("http://{}{}", call.addr, call.path));
    for (k, v) in &call.headers {
        let safe = http::HeaderValue::from_bytes(v.as_bytes());
        let Ok(v) = safe else { return Reply::Got { code: 400, load: None, draining: false, body: Bytes::new() } };
        req = req.header(*k, v);
    }
    let Ok(req) = req.body(Full::new(call.body)) else { return Reply::Lost(Sent::No) };
    let res = match client.request(req).await {
        Ok(r) => r,
        Err(e) if e.is_connect() => return Reply::Lost(Sent::No),
        Err(_) => return Reply::Lost(Sent::Maybe),
    };
    let code = res.status().as_u16();
    let head = |n: &str| res.headers().get(n).and_then(|v| v.to_str().ok()).map(str::to_string);
    let load = head("dahliawick-load").and_then(|v| v.parse().ok());
    let draining = head("dahliawick-draining").is_some_and(|v| v == "1");
    let Ok(body) = Limited::new(res.into_body(), 1 << 20).collect().await else { return Reply::Lost(Sent::Maybe) };
    Reply::Got { code, load, draining, body: body.to_bytes() }
}
