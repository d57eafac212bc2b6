//! Least-squares fits of lines.

use grebehook_scale_laboratory::fit::{Line, Sample};

/// Creates samples from pairs of `x` and `y`.
#[expect(clippy::min_ident_chars, reason = "the coordinates of a plane")]
fn samples<const N: usize>(points: [(f64, f64); N]) -> [Sample; N] {
    points.map(|(x, y)| Sample { x, y })
}

#[test]
fn line_through_points_on_a_line_has_no_residual() {
    let points = samples([1.0, 2.0, 3.0, 4.0, 5.0].map(|size| (size, 3.0 + 2.0 * size)));
    let line = Line::through(&points).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-12 && (line.intercept - 3.0).abs() < 1e-12);
    assert!(line.residual < 1e-12 && line.r_squared > 0.999_999);
}

/// The expected values are computed by hand: slope 0.9, intercept 0.5, and squared residuals of 0.2 in
/// total over three degrees of freedom.
#[test]
fn line_through_scattered_points_has_the_least_squares() {
    let line = Line::through(&samples([(1.0, 1.5), (2.0, 2.0), (3.0, 3.5), (4.0, 4.0), (5.0, 5.0)])).unwrap();
    assert!((line.slope - 0.9).abs() < 1e-12, "{line:?}");
    assert!((line.intercept - 0.5).abs() < 1e-12, "{line:?}");
    assert!((line.residual - (0.2_f64 / 3.0).sqrt()).abs() < 1e-12, "{line:?}");
}

#[test]
fn constant_values_give_a_line_without_slope() {
    let points = samples([61.0, 610.0, 2000.0, 6100.0, 190_000.0].map(|size| (size, 324.1)));
    let line = Line::through(&points).unwrap();
    assert_eq!(line.r_squared, 1.0);
    assert!(line.slope.abs() < 1e-12, "{line:?}");
}

#[test]
fn too_few_points_give_no_line() {
    assert!(Line::through(&samples([(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0)])).is_none());
    assert!(Line::through(&samples([(1.0, 1.0); 6])).is_none());
}
