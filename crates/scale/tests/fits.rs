//! Least squares, and how amounts are written.
use dw_scale::amount::{bytes, core, count, part, time};
use dw_scale::prelude::*;

#[test]
fn a_line_and_a_power_are_found_again() {
    let line: Vec<(f64, f64)> = [1.0, 10.0, 100.0].iter().map(|x| (*x, 5.0 + 2.0 * x)).collect();
    let f = fit(Form::Line, &line);
    assert!((f.a - 5.0).abs() < 1e-3 && (f.b - 2.0).abs() < 1e-3 && f.residual < 1e-3);
    assert!((f.reaches(205.0) - 100.0).abs() < 0.1);
    let power: Vec<(f64, f64)> = [1.0, 10.0, 100.0].iter().map(|x: &f64| (*x, 3.0 * x.powf(1.5))).collect();
    let f = fit(Form::Power, &power);
    assert!((f.a - 3.0).abs() < 1e-3 && (f.b - 1.5).abs() < 1e-3);
    assert!((f.reaches(3000.0) - 100.0).abs() < 0.1);
}

#[test]
fn a_square_is_found_again_and_kept_where_it_fits_best() {
    let square: Vec<(f64, f64)> = [1.0, 10.0, 100.0].iter().map(|x| (*x, 400.0 + 0.2 * x * x)).collect();
    let f = fit(Form::Square, &square);
    assert!((f.a - 400.0).abs() < 0.1 && (f.b - 0.2).abs() < 1e-3);
    assert!((f.reaches(2400.0) - 100.0).abs() < 0.1);
    let mut axis = Axis::new("a", "x", "");
    square.iter().for_each(|(x, y)| axis.either("y", "us", *x, *y));
    assert_eq!(axis.fitted().figures[0].fit.form, Form::Square);
}

#[test]
fn of_two_passes_the_smaller_time_and_the_first_count_stand() {
    let pass = |time: f64, bytes: f64| {
        let mut a = Axis::new("a", "x", "");
        for x in [1.0, 10.0, 100.0] {
            a.line("time", "us", x, x * time);
            a.line("bytes", "bytes", x, x * bytes);
        }
        a
    };
    let both = pass(3.0, 5.0).least(&pass(2.0, 4.0));
    assert!((both.figures[0].fit.b - 2.0).abs() < 1e-3 && (both.figures[1].fit.b - 5.0).abs() < 1e-3);
}

#[test]
fn a_size_between_two_measured_ones_is_read_from_them() {
    let mut axis = Axis::new("a", "x", "");
    [(1.0, 1.0), (10.0, 100.0), (100.0, 200.0)].iter().for_each(|(x, y)| axis.line("y", "us", *x, *y));
    let axis = axis.fitted();
    let (x, measured) = axis.figures[0].reaches(10.0);
    assert!(measured && (x - 10f64.sqrt()).abs() < 1e-6);
    assert!(!axis.figures[0].reaches(1e6).1);
}

#[test]
fn what_does_not_grow_is_never_reached() {
    let f = fit(Form::Line, &[(1.0, 7.0), (10.0, 7.0), (100.0, 7.0)]);
    assert!(f.reaches(8.0).is_infinite());
    assert_eq!(count(f.reaches(8.0)), "never");
}

#[test]
fn the_residual_tells_what_the_fit_misses() {
    let f = fit(Form::Line, &[(1.0, 10.0), (10.0, 100.0), (100.0, 500.0)]);
    assert!(f.residual > 0.2);
}

#[test]
fn amounts_have_three_digits_and_a_unit() {
    assert_eq!(count(5.4e6), "5.4 M");
    assert_eq!(count(999.6), "1 k");
    assert_eq!(bytes(74_900_000_000.0), "74.9 GB");
    assert_eq!(bytes(83.3), "83.3 B");
    assert_eq!(time(415_000.0), "415 ms");
    assert_eq!(time(26.61), "26.6 us");
    assert_eq!(core(22_000.0), "2.2 %");
    assert_eq!(core(64.0), "0.0064 %");
    assert_eq!(core(2_500_000.0), "2.5 cores");
    assert_eq!(part(0.25), "25 %");
    assert_eq!(part(2.9e-6), "2.9 in a million");
}
