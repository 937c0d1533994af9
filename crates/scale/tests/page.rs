//! The page and the recorded slopes agree, and the slopes are what they say.
use dw_scale::page::{differ, fill};
use dw_scale::prelude::*;
use std::path::{Path, PathBuf};

fn at(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}
fn slopes() -> Slopes {
    Slopes::read(&at("docs/measurements/capacity-slopes.json")).unwrap()
}
fn page() -> String {
    std::fs::read_to_string(at("docs/CAPACITY.md")).unwrap()
}

#[test]
fn the_page_says_what_the_slopes_give() {
    let page = page();
    let filled = fill(&page, &Model::new(&slopes()).unwrap()).unwrap();
    if let Some(line) = differ(&page, &filled) {
        panic!("docs/CAPACITY.md differs from the recorded slopes, {line}\nwrite it anew with 'cargo run -p dw-scale -- page'");
    }
}

#[test]
fn a_figure_altered_on_the_page_or_in_the_slopes_is_noticed() {
    let (page, model) = (page(), Model::new(&slopes()).unwrap());
    let altered = page.replacen("destinations |", "destinationz |", 1);
    assert!(altered != page);
    assert!(differ(&altered, &fill(&altered, &model).unwrap()).is_some());
    let mut other = slopes();
    for f in other.axes.iter_mut().flat_map(|a| &mut a.figures) {
        f.fit.b *= 1.1;
    }
    let filled = fill(&page, &Model::new(&other).unwrap()).unwrap();
    assert!(differ(&page, &filled).is_some());
}

#[test]
fn every_table_and_figure_worked_out_stands_on_the_page() {
    let (page, model) = (page(), Model::new(&slopes()).unwrap());
    for t in model.tables.keys() {
        assert!(page.contains(&format!("<!-- table {t} -->")), "no place for table {t}");
    }
    assert!(matches!(fill("<!--no such-->1<!---->", &model), Err(RecordError::Nameless { .. })));
}

#[test]
fn every_fit_on_file_follows_from_its_points() {
    for a in &slopes().axes {
        for f in &a.figures {
            assert_eq!(f.fit, fit(f.fit.form, &f.points), "{} / {}", a.name, f.name);
        }
    }
}

#[test]
fn every_axis_has_three_sizes_and_spans_ten_times() {
    for a in &slopes().axes {
        for f in &a.figures {
            let xs: Vec<f64> = f.points.iter().map(|p| p.0).collect();
            let (low, high) = (xs.iter().copied().fold(f64::MAX, f64::min), xs.iter().copied().fold(0.0, f64::max));
            assert!(xs.len() >= 3 && high >= low * 10.0, "{} / {}: {xs:?}", a.name, f.name);
        }
    }
}

#[test]
fn the_three_that_break_first_are_three_mechanisms_in_order() {
    let all = Model::new(&slopes()).unwrap().breaks;
    assert!(all.windows(2).all(|w| w[0].share() <= w[1].share()));
    let mechanisms: BTreeSet<&str> = all.iter().map(|b| b.mechanism).collect();
    assert!(mechanisms.len() >= 3);
    assert!(all.iter().all(|b| b.size > 0.0));
}

/// What the page works out for today's holders is what a whole fleet of other
/// sizes was measured to send.
#[test]
fn a_holders_bytes_worked_out_from_entries_are_those_measured() {
    let s = slopes();
    for (name, pick) in [("store: control, bytes/s", 0), ("delivery: control, bytes/s", 1)] {
        for (n, measured) in &s.figure("holders", name).unwrap().points {
            let (store, delivery) = dw_scale::model::holder_flows(&s, 200.0, n / 2.0, n / 2.0).unwrap();
            let worked = [store, delivery][pick];
            assert!((worked / measured - 1.0).abs() < 0.15, "{name} at {n}: {worked:.0} worked out, {measured} measured");
        }
    }
}
