//! One configuration change: what it costs each daemon, by the size of the
//! configuration and of the change.
use super::sizes;
use crate::prelude::*;
use serde_json::json;

const AGENTS: usize = 20;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new(
        "changes",
        "destinations in the charter",
        format!("3 stores, 3 deliveries, {AGENTS} agents, 2 edges; patches of 1 and of 100 entries"),
    );
    for n in sizes(quick, &[30, 100, 300, 500]) {
        let shape = Shape { edges: 2, agents: AGENTS, tenants: 1, lists: 1, parts: 1, destinations: n, ..Shape::default() };
        let text = shape.config_text();
        let mut f = Fleet::new(shape);
        let Some(primary) = f.settle(n + 1) else { continue };
        f.run(Span::secs(2));
        let x = n as f64;
        axis.line("charter, bytes", "bytes", x, text.len() as f64);
        // The calm first, to be taken off.
        f.reset();
        f.run(Span::secs(3));
        let calm = (
            f.meter(&primary),
            f.meters(DaemonKind::Agent).0,
            f.meters(DaemonKind::Store).0,
            f.meters(DaemonKind::Delivery).0,
            f.meters(DaemonKind::Proxy).0,
        );
        for (turn, size) in [(1u64, 1usize), (2, 100)] {
            f.reset();
            f.notes.clear();
            let ends: Vec<_> =
                (0..size.min(n)).map(|i| json!({"name": format!("destination-{i:07}"), "allowance": 20 + turn})).collect();
            let base = f.status(&primary)["charter"].as_str().unwrap_or_default().to_string();
            let charge = ApplyRequest {
                operation_id: format!("scale-{turn}"),
                base,
                json: json!({ "endpoints": ends }).to_string(),
                is_patch: true,
            };
            let began = f.now;
            f.ask(&primary, RequestId(turn), ApiRequest::Apply(charge));
            f.run(Span::secs(3));
            if f.verdicts.get(&RequestId(turn)).is_none_or(|v| v.code != 200) {
                continue;
            }
            let last =
                f.notes.iter().filter(|n| n.2 == LogEvent::ConfigInstalled).map(|n| n.0.since(began)).max().unwrap_or_default();
            let name = |what: &str| format!("change of {size}: {what}");
            axis.either(&name("in force everywhere after, ms"), "ms", x, last.as_millis() as f64);
            let p = f.meter(&primary);
            let news = |m: &Meter| m.said.get("news").map_or(0.0, |x| x.bytes as f64);
            let daemons = (AGENTS + 2 + 3 + 3) as f64;
            axis.line(&name("bytes to each daemon"), "bytes", x, (news(&p) - news(&calm.0)) / daemons);
            // Checking, writing down and sending; its other rounds go on beside it.
            let spent = |m: &Meter| {
                let took = ["ask", "hard", "saved"].iter().filter_map(|k| m.took.get(k));
                let said = ["hard", "news"].iter().filter_map(|k| m.said.get(k));
                took.chain(said).map(|p| p.nanos as f64 / 1e3).sum::<f64>()
            };
            axis.either(&name("primary, us"), "us", x, (spent(&p) - spent(&calm.0)).max(0.1));
            axis.line(&name("primary's saves, bytes"), "bytes", x, p.saved_bytes as f64);
            for (who, kind, c) in [
                ("an agent", DaemonKind::Agent, &calm.1),
                ("a store", DaemonKind::Store, &calm.2),
                ("a delivery", DaemonKind::Delivery, &calm.3),
                ("a proxy", DaemonKind::Proxy, &calm.4),
            ] {
                let (m, count) = f.meters(kind);
                // The news alone: the daemon's rounds go on beside it.
                let at = |m: &Meter| m.took.get("news").map_or(0.0, |p| p.nanos as f64 / 1e3);
                axis.either(&name(&format!("{who}, us")), "us", x, (at(&m) - at(c)).max(0.1) / count as f64);
            }
        }
    }
    axis.fitted()
}
