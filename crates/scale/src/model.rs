//! What the slopes come to at the size two years on.
use crate::amount::{bytes, core, count, flow, part, rate, time};
use crate::prelude::*;
use crate::target::{given, ALL};
use std::fmt::Write;

/// One limit of today's design and the size at which it is met.
pub struct Break {
    pub mechanism: &'static str,
    pub limit: String,
    pub size: f64,
    pub unit: &'static str,
    pub target: f64,
    pub from: &'static str,
    /// "measured" between two sizes, "fitted" beyond them, or "assumed".
    pub how: &'static str,
}

impl Break {
    pub fn share(&self) -> f64 {
        self.size / self.target
    }
}

/// Every table and every single figure of the page, by name.
pub struct Model {
    pub tables: BTreeMap<&'static str, String>,
    pub values: BTreeMap<&'static str, String>,
    pub breaks: Vec<Break>,
}

const PULLS: f64 = 2.5;
const DAY: f64 = 86_400.0;

impl Model {
    pub fn new(s: &Slopes) -> Result<Model, RecordError> {
        let breaks = breaks(s)?;
        let mut tables = BTreeMap::new();
        tables.insert("given", givens());
        tables.insert("slopes", slopes(s));
        tables.insert("breaks", listed(&breaks));
        tables.insert("first", first(&breaks));
        tables.insert("today", today(s)?);
        tables.insert("next", next(s)?);
        tables.insert("cells", cells(s)?);
        tables.insert("day", day(s)?);
        Ok(Model { tables, values: values(s, &breaks)?, breaks })
    }
}

fn row(out: &mut String, cells: &[&str]) {
    let _ = writeln!(out, "| {} |", cells.join(" | "));
}

fn head(cells: &[&str]) -> String {
    let mut out = String::new();
    row(&mut out, cells);
    row(&mut out, &vec!["---"; cells.len()]);
    out
}

fn givens() -> String {
    let mut out = head(&["name", "what", "value", "how"]);
    for g in &ALL {
        let value = if g.value < 1.0 { format!("{}", g.value) } else { count(g.value) };
        row(&mut out, &[g.name, g.what, &value, g.how]);
    }
    out
}

/// Every fit on file, so that a reader can recompute what rests on it.
fn slopes(s: &Slopes) -> String {
    let mut out = head(&["axis", "figure", "sizes", "fit", "residual"]);
    for a in &s.axes {
        for f in &a.figures {
            let (low, high) = (f.points.first().map_or(0.0, |p| p.0), f.points.last().map_or(0.0, |p| p.0));
            let law = match f.fit.form {
                Form::Line => format!("{:.3e} + {:.3e} x", f.fit.a, f.fit.b),
                Form::Square => format!("{:.3e} + {:.3e} x^2", f.fit.a, f.fit.b),
                Form::Power => format!("{:.3e} x^{:.3}", f.fit.a, f.fit.b),
            };
            let sizes = format!("{} to {}", count(low), count(high));
            row(&mut out, &[&a.name, &f.name, &sizes, &law, &format!("{:.1} %", f.fit.residual * 100.0)]);
        }
    }
    out
}

/// Heartbeats and bare pulls of a daemon, bytes a second.
fn calm(s: &Slopes) -> Result<f64, RecordError> {
    Ok(s.at("daemons", "agent: heartbeats, bytes/s", 600.0)? + s.at("daemons", "agent: pulls and news, bytes/s", 600.0)?)
}

fn changes() -> f64 {
    given("changes") / DAY
}

/// Bytes that one entry adds to a pull and its answer: a partition kept by a
/// store, a duty held by a delivery, a place a delivery names as assigned, a
/// duty a store names the holder of.
struct Entries {
    kept: f64,
    duty: f64,
    assigned: f64,
    seen: f64,
}

fn entries(s: &Slopes) -> Result<Entries, RecordError> {
    let b = |name: &str| s.fit("reports", name).map(|f| f.b);
    Ok(Entries {
        kept: b("a store's claims and counts: bytes")? + b("a store's grants: bytes")?,
        duty: b("a delivery's claims: bytes")? + b("a delivery's grants: bytes")?,
        assigned: b("a delivery's assigned places: bytes")?,
        seen: b("a store's evidence of holders: bytes")?,
    })
}

/// Control bytes a second of one store and one delivery in a calm fleet of
/// today's design with so many destinations.
pub fn holder_flows(s: &Slopes, destinations: f64, stores: f64, deliveries: f64) -> Result<(f64, f64), RecordError> {
    let (e, base) = (entries(s)?, calm(s)?);
    let store = base + PULLS * (destinations / stores * e.kept + destinations * e.seen);
    let delivery = base + PULLS * (destinations / deliveries * e.duty + destinations * e.assigned);
    Ok((store, delivery))
}

/// Daemons that pull from a primary: all but placement and proxies.
fn members() -> f64 {
    given("stores") + given("deliveries") + given("proxies")
}

fn breaks(s: &Slopes) -> Result<Vec<Break>, RecordError> {
    let (all, daemons, flow_max) = (given("destinations"), members(), given("flow"));
    let to = |axis: &str, name: &str, y: f64| -> Result<(f64, &'static str), RecordError> {
        let f = s.figure(axis, name)?;
        let (size, between) = f.reaches(y);
        Ok((size, if between { "measured, between sizes" } else { "fitted, beyond" }))
    };
    let meets = |mechanism, limit: String, (size, how): (f64, &'static str), unit, target, from| Break {
        mechanism,
        limit,
        size,
        unit,
        target,
        from,
        how,
    };
    let spare = flow_max - calm(s)?;
    let (pulls, config, rooms) = (
        "every pull tells all that is held",
        "each change sends every daemon the whole charter",
        "each room told is looked up in every partition",
    );
    let (one, everywhere, members) = (
        "one primary looks at all duties, ten times a second and at each pull",
        "everybody holds the state of all",
        "each member's change sends everybody the whole list",
    );
    let change = "change of 1: bytes to each daemon";
    let up = given("link") / changes() / daemons;
    let frame = {
        let b = s.fit("changes", "charter, bytes")?.b + s.fit("reports", "places as news: bytes")?.b;
        (given("frame") - s.at("members", "the list as news, bytes", daemons)?) / b
    };
    let restarts = spare / (given("restarts") / DAY);
    let ends = 1e6 / (given("events") / given("stores"));
    let each = s.fit("backlog", "all stores: memory, bytes")?.b / 2.0;
    let down = all * given("down");
    let d = "destinations";
    let mut out = vec![
        meets(
            pulls,
            format!("a delivery's {}", flow(flow_max)),
            to("destinations", "delivery: control, bytes/s", flow_max)?,
            d,
            all,
            "destinations / delivery: control",
        ),
        meets(
            pulls,
            format!("a store's {}", flow(flow_max)),
            to("destinations", "store: control, bytes/s", flow_max)?,
            d,
            all,
            "destinations / store: control",
        ),
        meets(
            pulls,
            "a delivery's 2.2 % of a core".into(),
            to("destinations", "delivery: processor time, us/s", given("core"))?,
            d,
            all,
            "destinations / delivery: processor time",
        ),
        meets(
            config,
            format!("any daemon's {}", flow(flow_max)),
            to("changes", change, spare / changes())?,
            d,
            all,
            "changes / bytes to each daemon",
        ),
        meets(
            config,
            format!("the primary's network, {}", flow(given("link"))),
            to("changes", change, up)?,
            d,
            all,
            "changes / bytes to each daemon",
        ),
        meets(
            config,
            "any daemon's 2.2 % of a core".into(),
            to("changes", "change of 1: an agent, us", given("core") / changes())?,
            d,
            all,
            "changes / an agent",
        ),
        meets(
            config,
            format!("the log's {}", flow(given("disk"))),
            to("changes", "change of 1: primary's saves, bytes", given("disk") / changes())?,
            d,
            all,
            "changes / primary's saves",
        ),
        meets(
            rooms,
            "a store's 2.2 % of a core".into(),
            to("destinations", "store: processor time, us/s", given("core"))?,
            d,
            all,
            "destinations / store: processor time",
        ),
        meets(
            rooms,
            "a store's whole core".into(),
            to("destinations", "store: processor time, us/s", 1e6)?,
            d,
            all,
            "destinations / store: processor time",
        ),
        meets(
            one,
            "the primary's whole core".into(),
            to("destinations", "primary: processor time, us/s", 1e6)?,
            d,
            all,
            "destinations / primary: processor time",
        ),
        meets(
            config,
            format!("the largest charter committed, {}", bytes(given("commit"))),
            to("changes", "charter, bytes", given("commit"))?,
            d,
            all,
            "changes / charter",
        ),
        meets(
            everywhere,
            "the primary's 64 MB".into(),
            to("destinations", "primary: memory, bytes", given("memory"))?,
            d,
            all,
            "destinations / primary: memory",
        ),
        meets(
            everywhere,
            "an agent's 64 MB".into(),
            to("destinations", "agent: memory, bytes", given("memory"))?,
            d,
            all,
            "destinations / agent: memory",
        ),
        meets(
            everywhere,
            "one frame of news, 8 MiB, members in it".into(),
            (frame, "fitted, beyond"),
            d,
            all,
            "changes / charter; reports / places; members / list",
        ),
        meets(
            members,
            format!("any daemon's {}", flow(flow_max)),
            to("members", "the list as news, bytes", restarts)?,
            "members",
            daemons,
            "members / the list as news",
        ),
        meets(
            members,
            "2.5 s to learn one list: the charter's lease runs out".into(),
            to("members", "learning one list, ms", 2500.0)?,
            "members",
            daemons,
            "members / learning one list",
        ),
        meets(
            members,
            "2.2 % of a core for naming watchers, six times a second".into(),
            to("members", "naming one daemon's watchers, us", given("core") / 6.0)?,
            "members",
            daemons,
            "members / naming watchers",
        ),
        meets(
            "each waiting event has its entry in memory",
            format!("the default bound of a store, {} messages", count(given("store-bound"))),
            (given("store-bound") * given("stores") / given("copies"), "in the code"),
            "waiting",
            given("waiting"),
            "given / store-bound",
        ),
        meets(
            "each waiting event has its entry in memory",
            format!("{} of memory for a store's index", bytes(given("store-memory"))),
            (given("store-memory") / each * given("stores") / given("copies"), "fitted, beyond"),
            "waiting",
            given("waiting"),
            "backlog / memory",
        ),
        meets(
            "each end looks through its partition's whole line",
            format!("a core at {} ends a second a store", count(given("events") / given("stores"))),
            {
                let (all, how) = to("backlog", "all stores: ending one, us", ends)?;
                (all / 4.0, how)
            },
            "waiting in one partition",
            given("waiting") / down,
            "backlog / ending one",
        ),
        meets(
            "one take-over collects from all",
            "the window of 1 s, by processor time".into(),
            to("take-over", "heir's processor time until it serves, ms", 1000.0)?,
            "stores and deliveries",
            given("stores") + given("deliveries"),
            "take-over / heir's processor time",
        ),
    ];
    out.sort_by(|a, b| a.share().total_cmp(&b.share()));
    Ok(out)
}

fn listed(all: &[Break]) -> String {
    let mut out = head(&["mechanism of today", "what it meets", "at", "of", "part reached", "from", "how"]);
    for b in all {
        row(
            &mut out,
            &[b.mechanism, &b.limit, &format!("{} {}", count(b.size), b.unit), &count(b.target), &part(b.share()), b.from, b.how],
        );
    }
    out
}

/// The earliest limit of each mechanism, the first three.
fn first(all: &[Break]) -> String {
    let mut out = head(&["", "mechanism", "breaks at", "by meeting", "part of the size reached"]);
    let mut seen = BTreeSet::new();
    for b in all.iter().filter(|b| seen.insert(b.mechanism)).take(3).enumerate() {
        let (n, b) = b;
        row(&mut out, &[&(n + 1).to_string(), b.mechanism, &format!("{} {}", count(b.size), b.unit), &b.limit, &part(b.share())]);
    }
    out
}

/// Processor time of one event at each role's daemons, and frames of it.
fn event(s: &Slopes) -> Result<[(f64, f64); 3], RecordError> {
    let one = |r: &str| -> Result<(f64, f64), RecordError> {
        let cpu = s.fit("messages", &format!("{r}: processor time, us/s"))?.b;
        Ok((cpu, s.fit("messages", &format!("{r}: bytes sent, 1/s"))?.b))
    };
    Ok([one("proxy")?, one("store")?, one("delivery")?])
}

/// Today's design at that size, as the fits have it.
fn today(s: &Slopes) -> Result<String, RecordError> {
    let (all, n) = (given("destinations"), members());
    let (stores, deliveries, proxies) = (given("stores"), given("deliveries"), given("proxies"));
    let config = changes() * s.at("changes", "change of 1: bytes to each daemon", all)?;
    let base = calm(s)? + config;
    let (kept, ends) = (all / stores, all / deliveries);
    let (store, delivery) = holder_flows(s, all, stores, deliveries)?;
    let (store, delivery) = (store + config, delivery + config);
    let known = s.at("destinations", "agent: memory, bytes", all)?;
    let learn = |who: &str| s.at("changes", &format!("change of 1: {who}, us"), all).map(|us| us * changes());
    let pull = s.at("destinations", "primary: one pull with a report, us", all)?;
    let primary =
        (stores + deliveries) * PULLS * pull + 2.0 * proxies / 2.0 * PULLS * s.at("daemons", "primary: one pull, us", n)?;
    let frames = s.at("daemons", "agent: control, frames/s", 600.0)?;
    let [p, st, d] = event(s)?;
    let per = |x: f64, n: f64| given("events") * x / n;
    let mut out = head(&[
        "role",
        "daemons",
        "state of each",
        "events/s of each",
        "control frames/s",
        "control bytes/s",
        "control processor time",
        "memory at least",
        "processor time for events",
        "bytes sent for events",
    ]);
    let sum = stores * store + deliveries * delivery + proxies * base;
    let cell = |x: f64| format!("{} fitted", bytes(x));
    row(
        &mut out,
        &[
            "placement (the primary)",
            "1 of 24",
            &format!("{} duties, {n} members, the charter", count(2.0 * all)),
            "-",
            &format!("{} fitted", rate(s.at("daemons", "primary: control, frames/s", n)?)),
            &format!("{} fitted", flow(sum)),
            &format!("{} fitted", core(primary)),
            &cell(s.at("destinations", "primary: memory, bytes", all)?),
            "-",
            "-",
        ],
    );
    let mut role = |name: &str, n: f64, state: &str, ev: Option<(f64, f64)>, bytes_s: f64, cpu: f64| {
        let (evs, cpus, sent) = match ev {
            Some((c, b)) => (rate(per(1.0, n)), format!("{} fitted", core(per(c, n))), format!("{} fitted", flow(per(b, n)))),
            None => ("-".into(), "-".into(), "-".into()),
        };
        row(
            &mut out,
            &[
                name,
                &count(n),
                state,
                &evs,
                &format!("{} measured", count(frames)),
                &format!("{} fitted", flow(bytes_s)),
                &format!("{} fitted", core(cpu)),
                &cell(known),
                &cpus,
                &sent,
            ],
        );
    };
    role(
        "store",
        stores,
        &format!(
            "{} partitions kept, {} copies of events; all else",
            count(kept),
            count(given("waiting") * given("copies") / stores)
        ),
        Some(st),
        store,
        learn("a store")?,
    );
    role(
        "delivery",
        deliveries,
        &format!("{} destinations held, {} of them down; all else", count(ends), count(ends * given("down"))),
        Some(d),
        delivery,
        learn("a delivery")?,
    );
    role(
        "proxy",
        proxies,
        "every route, place and member",
        Some(p),
        config + s.at("partitions", "proxy: control, bytes/s", 1.0)?,
        learn("a proxy")?,
    );
    role("agent", proxies, "every route, place and member", None, base, learn("an agent")?);
    Ok(out)
}

/// The same roles in the design that is to carry it.
fn next(s: &Slopes) -> Result<String, RecordError> {
    let (all, c) = (given("destinations"), given("cells"));
    let (stores, deliveries, proxies) = (given("stores"), given("deliveries"), given("proxies"));
    let q = all / c;
    let base = calm(s)?;
    let own = base + changes() / c * given("change-bytes");
    let edge = base + changes() * given("change-bytes");
    // A real agent's, shell and kernel in.
    let daemon = s.at("beside", "real agent: processor time, us/s", 30.0)?;
    let resident = s.at("beside", "real agent: resident, bytes", 30.0)?;
    let frames = s.at("daemons", "agent: control, frames/s", 25.0)?;
    let mem = resident + s.at("destinations", "agent: memory, bytes", q)?;
    let primary = s.at("beside", "real primary: processor time, us/s", given("daemons") / c)?;
    let of_cell = given("daemons") / c;
    let replicas = 3.0 * c / given("machines");
    let [p, st, d] = event(s)?;
    let per = |x: f64, n: f64| core(given("events") * x / n);
    let copies = given("waiting") * given("copies") / stores;
    let stands = copies * s.fit("backlog", "all stores: on disk, bytes")?.b / 2.0;
    let index = stands / given("segment") * given("segment-index");
    let mut out = head(&[
        "role",
        "daemons",
        "state of each",
        "events/s of each",
        "control frames/s",
        "control bytes/s",
        "control processor time",
        "memory for control",
        "processor time for events",
        "carried by",
    ]);
    row(
        &mut out,
        &[
            "placement (a cell's primary)",
            &format!("{} primaries, {} replicas a machine", count(c), count(replicas)),
            &format!("{} duties, {} members", count(2.0 * q), count(of_cell)),
            "-",
            &rate(of_cell * PULLS * 2.0),
            &flow(of_cell * s.at("daemons", "agent: pulls and news, bytes/s", 25.0)?),
            &format!("{} real, calm; rounds by what is due", core(primary)),
            &bytes(resident + s.at("destinations", "primary: memory, bytes", q)?),
            "-",
            "cells; differences in pulls and rounds",
        ],
    );
    row(
        &mut out,
        &[
            "store",
            &count(stores),
            &format!(
                "{} partitions; {} on disk in {} segments, {} of index",
                count(all / stores),
                bytes(stands),
                count(stands / given("segment")),
                bytes(index)
            ),
            &rate(given("events") / stores),
            &count(frames),
            &flow(own),
            &core(daemon),
            &bytes(mem),
            &per(st.0, stores),
            "segments on disk; rooms looked up by duty",
        ],
    );
    row(
        &mut out,
        &[
            "delivery",
            &count(deliveries),
            &format!(
                "{} destinations, health of {} that are down",
                count(all / deliveries),
                count(all / deliveries * given("down"))
            ),
            &rate(given("events") / deliveries),
            &count(frames),
            &flow(own),
            &core(daemon),
            &bytes(mem),
            &per(d.0, deliveries),
            "health only where it is sent to",
        ],
    );
    row(
        &mut out,
        &[
            "proxy",
            &count(proxies),
            "routes of the tenants it serves, bounded",
            &rate(given("events") / proxies),
            &count(frames),
            &flow(edge),
            &core(daemon),
            &format!("{} at most", bytes(given("memory") / 2.0)),
            &per(p.0, proxies),
            "a bounded cache of routes, filled on demand",
        ],
    );
    row(
        &mut out,
        &[
            "agent",
            &count(proxies),
            "versions of all cells, differences under way",
            "-",
            &count(frames),
            &flow(edge),
            &core(daemon),
            &format!("{} at most", bytes(given("memory") / 2.0)),
            "-",
            "news through relays",
        ],
    );
    Ok(out)
}

/// Cells of several sizes, run by today's code: what each limit leaves.
fn cells(s: &Slopes) -> Result<String, RecordError> {
    let (all, holders) = (given("destinations"), given("stores") + given("deliveries"));
    let mut out = head(&[
        "cells",
        "destinations of each",
        "stores and deliveries of each",
        "a primary's memory",
        "pulls, cores of all primaries",
        "rounds, cores of all primaries",
        "of the cores set aside",
        "take-over: reports, today / by differences",
    ]);
    let e = entries(s)?;
    for c in [24.0, 150.0, 600.0, 1500.0] {
        let (q, h) = (all / c, holders / c);
        let pulls = c * h * PULLS * s.at("destinations", "primary: one pull with a report, us", q)?;
        let rounds = c * s.at("partitions", "primary: its own rounds, us/s", q)?;
        let sum = (pulls + rounds) / 1e6 / (given("machines") * given("cores"));
        let (stores, deliveries) = (given("stores") / c, given("deliveries") / c);
        let once = q * (e.kept + e.duty) / 2.0;
        let reports = format!(
            "{} / {}",
            bytes(once + q * (deliveries * e.assigned + stores * e.seen)),
            bytes(once + q * (e.assigned + e.seen))
        );
        row(
            &mut out,
            &[
                &count(c),
                &count(q),
                &count(h),
                &bytes(s.at("destinations", "primary: memory, bytes", q)?),
                &count(pulls / 1e6),
                &count(rounds / 1e6),
                &part(sum),
                &reports,
            ],
        );
    }
    Ok(out)
}

fn day(s: &Slopes) -> Result<String, RecordError> {
    let (n, c, all) = (members(), given("cells"), given("destinations"));
    let of_cell = given("daemons") / c;
    let (stores, deliveries) = (given("stores"), given("deliveries"));
    let restart = |n: f64| s.at("daemons", "one restart: news sent by the primary, bytes", n);
    let stands = given("waiting") * given("copies") / stores * s.fit("backlog", "all stores: on disk, bytes")?.b / 2.0;
    // One store of three held two of the three copies' share: 2/3 of the sizes.
    let back = s.fit("backlog", "one store: reading its folder back, ms")?;
    let back = back.at(given("waiting") * given("copies") / stores * 1.5) * 1e3;
    let kept = all / stores;
    let e = entries(s)?;
    let us = s.fit("reports", "a delivery's assigned places: written and read, us")?.b;
    let reading = (deliveries + stores) * all * us;
    let waits = given("events") / given("regions") * given("apart");
    let disk = s.fit("backlog", "all stores: on disk, bytes")?.b;
    let mut out = head(&["failure", "how often", "what it touches", "today", "in cells"]);
    row(
        &mut out,
        &[
            "a daemon restarted or replaced",
            &format!("{} a day", count(given("restarts"))),
            "one member's entry",
            &format!("the list to all {}: {}, {} a day", count(n), bytes(restart(n)?), bytes(restart(n)? * given("restarts"))),
            &format!(
                "its cell's {}: {}, {} a day",
                count(of_cell),
                bytes(restart(of_cell)?),
                bytes(restart(of_cell)? * given("restarts"))
            ),
        ],
    );
    row(
        &mut out,
        &[
            "a store restarted",
            "part of those",
            &format!("{} partitions, {} copies to read back", count(kept), count(given("waiting") * given("copies") / stores)),
            &format!("{} of processor time to read back", time(back)),
            &format!("{} of segment index to read back", bytes(stands / given("segment") * given("segment-index"))),
        ],
    );
    row(
        &mut out,
        &[
            "a machine fails",
            &format!("{} a day", count(given("failing"))),
            &format!("{} partitions, {} to copy", count(kept), bytes(stands)),
            &format!("{} from one peer at {}", time(stands / given("disk") * 1e6), flow(given("disk"))),
            &format!(
                "{} from a cell's {} others",
                time(stands / given("disk") / (stores / c - 1.0) * 1e6),
                count(stores / c - 1.0)
            ),
        ],
    );
    row(
        &mut out,
        &[
            "a rack or switch",
            "each week",
            &format!("{} machines, {} partitions", count(given("rack")), count(given("rack") * kept)),
            "one primary grants them all anew",
            &format!("{} cells lose one store each", count(given("rack"))),
        ],
    );
    row(
        &mut out,
        &[
            "a zone",
            "a few a year",
            &format!(
                "{} stores, {} partitions, {} destinations' senders",
                count(stores / given("zones")),
                count(all / given("zones")),
                count(all / given("zones"))
            ),
            "one primary grants them all anew",
            &format!("{} partitions in each cell", count(all / given("zones") / c)),
        ],
    );
    row(
        &mut out,
        &[
            "regions apart",
            &format!("several a year, {} taken", time(given("apart") * 1e6)),
            &format!("{} events for others wait in each region", count(waits)),
            "the regions without the majority stop",
            &format!("each goes on; {} more on disk", bytes(waits * disk)),
        ],
    );
    row(
        &mut out,
        &[
            "the primary lost",
            "among the machines above",
            &format!("{} reports", count(stores + deliveries)),
            &format!(
                "{} of reports, {} to write and read them",
                bytes(stores * (kept * e.kept / 2.0 + all * e.seen) + deliveries * all * e.assigned),
                time(reading)
            ),
            &format!("{} of reports, window 1 s", bytes(all / c * ((e.kept + e.duty) / 2.0 + e.assigned + e.seen))),
        ],
    );
    Ok(out)
}

fn values(s: &Slopes, breaks: &[Break]) -> Result<BTreeMap<&'static str, String>, RecordError> {
    let mut v = BTreeMap::new();
    let all = given("destinations");
    let [p, st, d] = event(s)?;
    v.insert("seconds", format!("{} s", count(s.seconds)));
    v.insert("resident", format!("{} MB", count(s.resident_mb)));
    v.insert("index", bytes(s.fit("backlog", "all stores: memory, bytes")?.b / 2.0));
    v.insert("stored", bytes(s.fit("backlog", "all stores: on disk, bytes")?.b / 2.0));
    v.insert("partition-memory", bytes(s.fit("partitions", "store: memory, bytes")?.b));
    v.insert("partition-disk", bytes(s.fit("partitions", "store: on disk, bytes")?.b));
    v.insert("event-time", time(p.0 + st.0 + d.0));
    v.insert("event-cores", count(given("events") * (p.0 + st.0 + d.0) / 1e6));
    v.insert("frame-time", time(s.at("frames", "both ends, with their threads and the kernel, us", 512.0)?));
    let frames = ["proxy", "store", "delivery"].iter().map(|r| s.fit("messages", &format!("{r}: frames sent, 1/s")).map(|f| f.b));
    let frames = frames.sum::<Result<f64, RecordError>>()?;
    v.insert("event-frames", count(frames));
    let shell = frames * s.at("frames", "both ends, with their threads and the kernel, us", 512.0)?;
    v.insert("event-shell-cores", count(given("events") * shell / 1e6));
    v.insert("beats", flow(s.at("daemons", "agent: heartbeats, bytes/s", 600.0)?));
    v.insert("pulls", flow(s.at("daemons", "agent: pulls and news, bytes/s", 600.0)?));
    v.insert("calm-part", part(calm(s)? / given("flow")));
    v.insert("changes", rate(changes()));
    v.insert("change-entry", bytes(s.fit("changes", "change of 1: bytes to each daemon")?.b));
    v.insert("change-entry-100", bytes(s.fit("changes", "change of 100: bytes to each daemon")?.b));
    v.insert("change-time", time(s.fit("changes", "change of 1: an agent, us")?.at(500.0)));
    v.insert("charter", bytes(s.at("changes", "charter, bytes", all)?));
    v.insert("force", time(s.at("changes", "change of 100: in force everywhere after, ms", 500.0)? * 1e3));
    let whole = s.at("changes", "change of 1: bytes to each daemon", all)? * given("daemons") / given("link");
    v.insert("force-today", time(whole * 1e6));
    let hops = (given("daemons").ln() / 25f64.ln()).ceil();
    v.insert("hops", count(hops));
    let hop = s.at("changes", "change of 100: in force everywhere after, ms", 500.0)? * 1e3;
    v.insert("force-relays", time(hops * hop));
    v.insert("probes-each", rate(all * given("down") / given("deliveries") / 5.0));
    v.insert("probes", rate(all * given("down") / 5.0));
    v.insert("cell-holders", count((given("stores") + given("deliveries")) / given("cells")));
    v.insert("cell-memory", bytes(s.at("destinations", "primary: memory, bytes", all / given("cells"))?));
    v.insert("rounds", time(s.at("partitions", "primary: its own rounds, us/s", 1024.0)? / 1024.0));
    v.insert("pull-entry", time(s.fit("destinations", "primary: one pull with a report, us")?.at(1000.0) / 1000.0));
    v.insert("restart-bytes", bytes(s.at("daemons", "one restart: news sent by the primary, bytes", members())?));
    v.insert("restart-flow", flow(s.at("members", "the list as news, bytes", members())? * given("restarts") / DAY));
    v.insert("ending-few", time(s.at("backlog", "all stores: ending one, us", 2000.0)?));
    v.insert("ending-many", time(s.at("backlog", "all stores: ending one, us", 40_000.0)?));
    v.insert("taking-few", time(s.at("backlog", "all stores: taking one in, us", 2000.0)?));
    v.insert("taking-many", time(s.at("backlog", "all stores: taking one in, us", 40_000.0)?));
    v.insert("cell-machines-stores", count(given("stores") / given("cells")));
    v.insert("members", count(members()));
    v.insert("real-cpu", core(s.at("beside", "real agent: processor time, us/s", 30.0)?));
    v.insert("hollow-cpu", core(s.at("beside", "hollow agent: processor time, us/s", 30.0)?));
    v.insert("real-resident", bytes(s.at("beside", "real agent: resident, bytes", 30.0)?));
    v.insert("real-primary", time(s.fit("beside", "real primary: processor time, us/s")?.b));
    v.insert("replicas", count(3.0 * given("cells") / given("machines")));
    v.insert("primaries", count(given("cells") / given("machines")));
    v.insert("learn", time(s.at("members", "learning one list, ms", members())? * 1e3));
    v.insert("down", count(all * given("down")));
    v.insert("down-each", count(all * given("down") / given("deliveries")));
    v.insert("waiting-each", count(given("waiting") / (all * given("down"))));
    v.insert("copies-each", count(given("waiting") * given("copies") / given("stores")));
    v.insert(
        "disk-each",
        bytes(given("waiting") * given("copies") / given("stores") * s.fit("backlog", "all stores: on disk, bytes")?.b / 2.0),
    );
    v.insert("disk-all", bytes(given("waiting") * s.fit("backlog", "all stores: on disk, bytes")?.b));
    v.insert(
        "memory-each",
        bytes(given("waiting") * given("copies") / given("stores") * s.fit("backlog", "all stores: memory, bytes")?.b / 2.0),
    );
    v.insert("elected", time(s.at("take-over", "from the kill to elected, ms", 60.0)? * 1e3));
    v.insert("collected", time(s.at("take-over", "from elected to serving, ms", 60.0)? * 1e3));
    v.insert("cell-destinations", count(all / given("cells")));
    v.insert("cell-daemons", count(given("daemons") / given("cells")));
    v.insert("relay-flow", flow(changes() * given("change-bytes")));
    let mut seen = BTreeSet::new();
    for (name, b) in ["first", "second", "third"].iter().zip(breaks.iter().filter(|b| seen.insert(b.mechanism))) {
        v.insert(name, format!("{} {}", count(b.size), b.unit));
    }
    Ok(v)
}
