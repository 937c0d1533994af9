//! Figures as the page writes them: three digits and a unit.

fn digits(x: f64) -> String {
    let places = match x.abs() {
        x if x >= 100.0 || x == 0.0 => 0,
        x if x >= 10.0 => 1,
        x if x >= 0.1 => 2,
        x => (2.0 - x.log10()).ceil().min(9.0) as usize,
    };
    let text = format!("{x:.places$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

fn scaled(x: f64, steps: &[(f64, &str)], unit: &str) -> String {
    if !x.is_finite() {
        return "never".into();
    }
    // Three digits first, so that 999.6 becomes 1 k and not 1000.
    let x: f64 = format!("{x:.2e}").parse().unwrap_or(x);
    let (by, name) = steps.iter().copied().find(|s| x.abs() >= s.0).unwrap_or((1.0, ""));
    let space = if name.is_empty() && unit.is_empty() { "" } else { " " };
    format!("{}{space}{name}{unit}", digits(x / by))
}

pub const STEPS: [(f64, &str); 5] = [(1e15, "P"), (1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")];

pub fn count(x: f64) -> String {
    scaled(x, &STEPS, "")
}
pub fn bytes(x: f64) -> String {
    scaled(x, &STEPS, "B")
}
pub fn rate(x: f64) -> String {
    format!("{}/s", count(x))
}
pub fn flow(x: f64) -> String {
    format!("{}/s", bytes(x))
}
/// From microseconds.
pub fn time(us: f64) -> String {
    let steps = [(86_400e6, "days"), (3600e6, "h"), (60e6, "min"), (1e6, "s"), (1e3, "ms")];
    match us.abs() < 1e3 {
        true => format!("{} us", digits(format!("{us:.2e}").parse().unwrap_or(us))),
        false => scaled(us, &steps, ""),
    }
}
/// Of one core, from microseconds a second.
pub fn core(us: f64) -> String {
    if us >= 1e6 {
        return format!("{} cores", count(us / 1e6));
    }
    format!("{} %", digits(format!("{:.2e}", us / 1e4).parse().unwrap_or(us / 1e4)))
}
/// A part of the whole, in parts of a million below a thousandth.
pub fn part(x: f64) -> String {
    match x {
        x if !x.is_finite() => "-".into(),
        x if x >= 0.001 => format!("{} %", digits(format!("{:.2e}", x * 100.0).parse().unwrap_or(x))),
        x => format!("{} in a million", digits(format!("{:.2e}", x * 1e6).parse().unwrap_or(x))),
    }
}
