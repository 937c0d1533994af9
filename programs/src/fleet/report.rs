//! Figures of a run.
use crate::fleet::prelude::*;
use serde_json::{json, Value};

async fn status(http: &str) -> Value {
    match ask_with(http::Method::GET, &format!("http://{http}/v1/status"), "", Duration::from_secs(2)).await {
        Ok(s) => s.json(),
        Err(_) => Value::Null,
    }
}

/// CPU, memory, syncs and bytes of every process, and sums per message.
pub async fn figures(fleet: &mut Fleet, accepted: usize) -> Value {
    let mut all = Vec::new();
    let (mut cpu, mut far, mut bytes, mut saves, mut frames) = (0.0, 0, 0, 0, 0);
    for id in fleet.all.keys().cloned().collect::<Vec<_>>() {
        let s = status(&fleet.http(&id)).await;
        let (c, top) = fleet.meter(&id);
        cpu += c;
        far += s["wire"]["bytes_between_zones"].as_u64().unwrap_or(0);
        bytes += s["wire"]["bytes"].as_u64().unwrap_or(0);
        frames += s["wire"]["frames"].as_u64().unwrap_or(0);
        saves += s["counts"]["saves"].as_u64().unwrap_or(0);
        all.push(json!({"id": id, "cpu_s": (c * 100.0).round() / 100.0, "top_kb": top,
                        "dropped": s["wire"]["dropped"], "counts": s["counts"]}));
    }
    let per = |n: f64| (n / accepted.max(1) as f64 * 100.0).round() / 100.0;
    json!({
        "processes": all,
        "per_message": {"cpu_ms": per(cpu * 1000.0), "bytes_between_zones": per(far as f64), "bytes": per(bytes as f64),
                        "syncs": per(saves as f64), "frames": per(frames as f64)},
    })
}

pub fn percentile(all: &mut [u64], p: usize) -> u64 {
    all.sort_unstable();
    all.get((all.len() * p / 100).min(all.len().saturating_sub(1))).copied().unwrap_or(0)
}
