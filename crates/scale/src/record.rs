//! What a run leaves behind: points, fits and residuals, in one JSON file.
use crate::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};
use std::path::{Path, PathBuf};

#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RecordError {
    #[snafu(display("{} can't be read: {source}; make it with 'dahliawick-scale run --out FILE'", path.display()))]
    Unread { path: PathBuf, source: std::io::Error },
    #[snafu(display("{} is faulty: {source}; make it anew with 'dahliawick-scale run --out FILE'", path.display()))]
    Faulty { path: PathBuf, source: serde_json::Error },
    #[snafu(display("{} can't be written: {source}; name a file in an existing folder", path.display()))]
    Unwritten { path: PathBuf, source: std::io::Error },
    #[snafu(display("no figure '{axis} / {name}' is recorded; run 'dahliawick-scale run' for that axis"))]
    Lacking { axis: String, name: String },
    #[snafu(display("the page asks for '{name}', which nothing works out; mend the name or add it to the model"))]
    Nameless { name: String },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub name: String,
    pub unit: String,
    pub points: Vec<(f64, f64)>,
    pub fit: Fit,
    /// While measuring: the form that fits better is taken.
    #[serde(skip)]
    either: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Axis {
    pub name: String,
    /// What is counted along it.
    pub along: String,
    /// What was held still meanwhile.
    pub held: String,
    pub figures: Vec<Figure>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    pub made: String,
    pub machine: String,
    pub command: String,
    /// Largest resident size of the run itself.
    pub resident_mb: f64,
    pub seconds: f64,
    pub axes: Vec<Axis>,
}

impl Figure {
    fn timed(&self) -> bool {
        matches!(self.unit.as_str(), "us" | "us/s" | "ms" | "ms/s")
    }
    /// The size at which it reaches `y`, and whether that is measured: between
    /// two neighbouring sizes on their logarithms, else where the fit has it.
    pub fn reaches(&self, y: f64) -> (f64, bool) {
        let pair = self.points.windows(2).find(|w| w[0].1 <= y && y <= w[1].1 && w[0].1 < w[1].1);
        let Some([(x0, y0), (x1, y1)]) = pair else { return (self.fit.reaches(y), false) };
        let way = (y / y0).ln() / (y1 / y0).ln();
        (x0 * (x1 / x0).powf(way), true)
    }
}

impl Axis {
    pub fn new(name: &str, along: &str, held: impl Into<String>) -> Axis {
        Axis { name: name.into(), along: along.into(), held: held.into(), figures: Vec::new() }
    }
    /// Adds one point to a figure that grows in a straight line.
    pub fn line(&mut self, name: &str, unit: &str, x: f64, y: f64) {
        self.point(name, unit, false, x, y);
    }
    /// Adds one point to a figure that grows by a line, a square or a power.
    pub fn either(&mut self, name: &str, unit: &str, x: f64, y: f64) {
        self.point(name, unit, true, x, y);
    }
    /// The fit is made when all points are in.
    fn point(&mut self, name: &str, unit: &str, either: bool, x: f64, y: f64) {
        let round = |x: f64| format!("{x:.4e}").parse().unwrap_or(x);
        let y = round(y);
        match self.figures.iter_mut().find(|f| f.name == name) {
            Some(f) => f.points.push((x, y)),
            None => {
                let fit = Fit { form: Form::Line, a: 0.0, b: 0.0, residual: 0.0 };
                self.figures.push(Figure { name: name.into(), unit: unit.into(), points: vec![(x, y)], fit, either });
            }
        }
    }
    /// Of two passes the smaller processor time stands: a busy machine only
    /// ever adds to it. All else is the same in both, or the first's.
    pub fn least(mut self, other: &Axis) -> Axis {
        for f in self.figures.iter_mut().filter(|f| f.timed()) {
            let Some(o) = other.figures.iter().find(|o| o.name == f.name) else { continue };
            for p in &mut f.points {
                if let Some(q) = o.points.iter().find(|q| q.0 == p.0) {
                    p.1 = p.1.min(q.1);
                }
            }
        }
        self.fitted()
    }
    pub fn fitted(mut self) -> Axis {
        for f in &mut self.figures {
            f.fit = fit(Form::Line, &f.points);
            for other in [Form::Square, Form::Power].map(|form| fit(form, &f.points)) {
                if f.either && other.residual < f.fit.residual {
                    f.fit = other;
                }
            }
        }
        self
    }
}

impl Slopes {
    pub fn read(path: &Path) -> Result<Slopes, RecordError> {
        let text = std::fs::read_to_string(path).context(UnreadSnafu { path })?;
        serde_json::from_str(&text).context(FaultySnafu { path })
    }
    /// These axes in place of their namesakes; all else stays.
    pub fn with(mut self, some: Slopes) -> Slopes {
        for a in some.axes {
            match self.axes.iter_mut().find(|b| b.name == a.name) {
                Some(b) => *b = a,
                None => self.axes.push(a),
            }
        }
        for f in self.axes.iter_mut().flat_map(|a| &mut a.figures) {
            f.fit = fit(f.fit.form, &f.points);
        }
        self.seconds += some.seconds;
        self.resident_mb = self.resident_mb.max(some.resident_mb);
        self
    }
    pub fn write(&self, path: &Path) -> Result<(), RecordError> {
        let text = self.text().context(FaultySnafu { path })?;
        std::fs::write(path, text).context(UnwrittenSnafu { path })
    }
    /// One line for each figure, so that two runs compare line by line.
    fn text(&self) -> Result<String, serde_json::Error> {
        let bare = Slopes { axes: Vec::new(), ..self.clone() };
        let mut axes = Vec::new();
        for a in &self.axes {
            let figures: Result<Vec<String>, _> = a.figures.iter().map(serde_json::to_string).collect();
            let bare = serde_json::to_string(&Axis { figures: Vec::new(), ..a.clone() })?;
            axes.push(bare.replace("\"figures\":[]", &format!("\"figures\":[\n  {}]", figures?.join(",\n  "))));
        }
        let whole = serde_json::to_string_pretty(&bare)?;
        Ok(whole.replace("\"axes\": []", &format!("\"axes\": [\n{}]", axes.join(",\n"))) + "\n")
    }
    pub fn figure(&self, axis: &str, name: &str) -> Result<&Figure, RecordError> {
        let found = self.axes.iter().find(|a| a.name == axis).and_then(|a| a.figures.iter().find(|f| f.name == name));
        found.context(LackingSnafu { axis, name })
    }
    pub fn fit(&self, axis: &str, name: &str) -> Result<Fit, RecordError> {
        self.figure(axis, name).map(|f| f.fit)
    }
    /// The fit's value at `x`.
    pub fn at(&self, axis: &str, name: &str, x: f64) -> Result<f64, RecordError> {
        self.fit(axis, name).map(|f| f.at(x))
    }
}
