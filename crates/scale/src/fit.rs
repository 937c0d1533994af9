//! Least squares over few points that span decades.
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// y = a + b x
    Line,
    /// y = a + b x²
    Square,
    /// y = a x^b
    Power,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub form: Form,
    pub a: f64,
    pub b: f64,
    /// Root of the mean square of (measured - fitted) / measured.
    pub residual: f64,
}

impl Fit {
    pub fn at(&self, x: f64) -> f64 {
        match self.form {
            Form::Line => self.a + self.b * x,
            Form::Square => self.a + self.b * x * x,
            Form::Power => self.a * x.powf(self.b),
        }
    }
    /// Where the fit reaches `y`; endless when it never does.
    pub fn reaches(&self, y: f64) -> f64 {
        let x = match self.form {
            Form::Line => (y - self.a) / self.b,
            Form::Square => ((y - self.a) / self.b).sqrt(),
            Form::Power => (y / self.a).powf(1.0 / self.b),
        };
        if self.b > 0.0 && x.is_finite() {
            return x.max(0.0);
        }
        f64::INFINITY
    }
}

/// Sums of weights for a straight line through `points`.
fn line(points: &[(f64, f64, f64)]) -> (f64, f64) {
    let sum = |f: &dyn Fn(&(f64, f64, f64)) -> f64| points.iter().map(f).sum::<f64>();
    let (w, x, y) = (sum(&|p| p.2), sum(&|p| p.2 * p.0), sum(&|p| p.2 * p.1));
    let (xx, xy) = (sum(&|p| p.2 * p.0 * p.0), sum(&|p| p.2 * p.0 * p.1));
    let b = (w * xy - x * y) / (w * xx - x * x);
    ((y - b * x) / w, b)
}

/// Lines and squares are fitted to relative errors (weights 1/y²), so that small sizes
/// count as much as large ones; a power on the logarithms.
pub fn fit(form: Form, points: &[(f64, f64)]) -> Fit {
    let tiny = 1e-9;
    let weigh = |x: f64, y: f64| (x, y, 1.0 / y.abs().max(tiny).powi(2));
    let (a, b) = match form {
        Form::Square => line(&points.iter().map(|(x, y)| weigh(x * x, *y)).collect::<Vec<_>>()),
        Form::Line => line(&points.iter().map(|(x, y)| weigh(*x, *y)).collect::<Vec<_>>()),
        Form::Power => {
            let (a, b) = line(&points.iter().map(|(x, y)| (x.ln(), y.max(tiny).ln(), 1.0)).collect::<Vec<_>>());
            (a.exp(), b)
        }
    };
    // What only rounding made of a figure that does not grow is no slope.
    let most = points.iter().map(|p| if form == Form::Square { p.0 * p.0 } else { p.0 }).fold(0.0, f64::max);
    let flat = form != Form::Power && (b * most).abs() < 1e-9 * a.abs();
    let b = if flat { 0.0 } else { b };
    let raw = Fit { form, a, b, residual: 0.0 };
    let off = |p: &(f64, f64)| ((p.1 - raw.at(p.0)) / p.1.abs().max(tiny)).powi(2);
    let residual = (points.iter().map(off).sum::<f64>() / points.len().max(1) as f64).sqrt();
    // Rounded, so that the file reads well and reading it back changes nothing.
    let five = |x: f64| format!("{x:.5e}").parse().unwrap_or(x);
    Fit { form, a: five(a), b: five(b), residual: five(residual) }
}
