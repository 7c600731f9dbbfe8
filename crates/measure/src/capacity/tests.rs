//! Tests of the capacity measurement.

use rstest::rstest;

use super::reference_folder::{CUSTOMERS, RACKS_PER_ZONE, reference_folder};
use super::slope::SlopeFit;
use super::wire_bytes;
use crate::plot::PlotPoint;

fn fit(points: &[[f64; 2]]) -> SlopeFit {
    let points = points.iter().map(|[x, y]| PlotPoint { x: *x, y: *y });
    SlopeFit::of(points.collect())
}

#[rstest]
#[case::through_zero(&[[1.0, 2.0], [2.0, 4.0], [4.0, 8.0]], 0.0, 2.0, 0.0)]
#[case::flat(&[[1.0, 5.0], [2.0, 5.0]], 5.0, 0.0, 0.0)]
#[case::bent(&[[0.0, 0.0], [1.0, 4.0], [2.0, 2.0]], 1.0, 1.0, 0.5)]
fn slope_fit_table(
    #[case] points: &[[f64; 2]],
    #[case] base: f64,
    #[case] slope: f64,
    #[case] residual: f64,
) {
    let fit = fit(points);
    assert!((fit.base - base).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope - slope).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - residual).abs() < 1e-9, "{fit:?}");
}

#[test]
fn reference_folder_full_zone() {
    let folder = reference_folder(RACKS_PER_ZONE, CUSTOMERS);
    let zone = folder.settings.zones.values().next().unwrap();
    assert_eq!(zone.racks * zone.workers_per_rack * 8, 440);
    assert_eq!(folder.settings.customers.len(), CUSTOMERS as usize);
}

#[test]
fn wire_bytes_grow_straight() {
    for slope in wire_bytes::measure() {
        assert!(slope.fit.slope > 0.0, "{slope:?}");
        assert!(slope.fit.residual < 0.05, "{slope:?}");
    }
}
