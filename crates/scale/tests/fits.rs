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
    assert_eq!(core(2_500_000.0), "2.5 cores");
    assert_eq!(part(0.25), "25 %");
    assert_eq!(part(2.9e-6), "2.9 in a million");
}
