//! Shapes, cells and knobs.

use proptest::{prelude::*, test_runner::RngSeed};
use rampbay_core::{
    guarantee::{CellIndex, Geometry, GuaranteeCells, worker_cells},
    knobs::Knobs,
    shape::{Level, Shape},
};
use rstest::rstest;

/// Runs the same cases each time; `RAMPBAY_SEED` draws other cases, `RAMPBAY_CASES` multiplies
/// their number.
fn config(cases: u32) -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seed = number("RAMPBAY_SEED").unwrap_or(1);
    let factor = number("RAMPBAY_CASES").unwrap_or(1);
    ProptestConfig {
        cases: cases * u32::try_from(factor).unwrap_or(1),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[rstest]
#[case("1 rack + 2 worker", 40)]
#[case("3 quad + 1 pair + 1 device", 15)]
#[case("2 workers", 16)]
#[case("", 0)]
fn parse_good_shape_counts_devices(#[case] text: &str, #[case] devices: u32) {
    let shape: Shape = text.parse().expect("shape");
    assert_eq!(shape.devices(), devices);
    assert_eq!(shape.to_string().parse::<Shape>(), Ok(shape));
}

#[rstest]
#[case("two worker", "shape count `two`: expected a whole number from 0 to 100000")]
#[case("1 shelf", "shape level `shelf`: expected device, pair, quad, worker or rack")]
#[case("worker", "shape term `worker`: expected `COUNT LEVEL`, for example `2 worker`")]
fn parse_bad_shape_names_the_fault(#[case] text: &str, #[case] message: &str) {
    let error = text.parse::<Shape>().expect_err("not a shape");
    assert_eq!(error.to_string(), message);
}

#[rstest]
#[case("1 rack", "2 worker + 1 quad", true, "1 quad")]
#[case("1 worker", "1 quad + 1 pair", true, "1 pair")]
#[case("2 quad", "1 worker", false, "2 quad")]
#[case("1 worker", "3 quad", false, "1 worker")]
fn take_splits_larger_cells(
    #[case] from: Shape,
    #[case] part: Shape,
    #[case] fits: bool,
    #[case] left: Shape,
) {
    let mut shape = from;
    assert_eq!(shape.take(&part), fits);
    assert_eq!(shape, left);
}

#[rstest]
#[case(&[0xff, 0xff, 0xff], "1 rack", "0 device")]
#[case(&[0xff, 0xff, 0x7f], "1 rack", "1 rack")]
#[case(&[0xff, 0xff, 0x7f], "2 worker + 1 quad + 1 pair + 1 device", "0 device")]
#[case(&[0x0f, 0xf0], "2 quad", "0 device")]
#[case(&[0x3c], "1 quad", "1 quad")]
#[case(&[0x3c], "2 pair", "0 device")]
fn missing_counts_what_does_not_fit(
    #[case] masks: &[u64],
    #[case] needs: Shape,
    #[case] missing: Shape,
) {
    let mut cells = CellIndex::default();
    for mask in masks {
        cells.update(0, 0, *mask);
    }
    assert_eq!(cells.missing(&needs), missing);
}

/// Racks of three workers.
struct Racks;

impl Geometry for Racks {
    fn rack_cell(&self, worker: usize) -> Option<[usize; 3]> {
        let first = worker / 3 * 3;
        Some([first, first + 1, first + 2])
    }
}

#[rstest]
#[case::second_worker_cell("2 worker", &[(0, 0xff), (5, 0xff), (6, 0xff)], &[true, true, false])]
#[case::rest_of_a_bound_rack("1 rack", &[(0, 0x01), (2, 0xff)], &[true, true])]
#[case::another_rack("1 rack", &[(0, 0x01), (3, 0x01)], &[true, false])]
#[case::not_aligned("1 quad", &[(0, 0x3c)], &[false])]
#[case::two_aligned_quads("2 quad", &[(0, 0xff)], &[true])]
#[case::smallest_cell_first("1 worker + 1 device", &[(0, 0x01), (1, 0xff)], &[true, true])]
fn claim_gang_is_owned_within_its_cells(
    #[case] guarantee: Shape,
    #[case] gangs: &[(usize, u64)],
    #[case] owned: &[bool],
) {
    let mut cells = GuaranteeCells::new(guarantee);
    let claims = gangs.iter().map(|gang| cells.claim(&[*gang], Level::Device, &Racks).is_some());
    assert_eq!(claims.collect::<Vec<_>>(), owned);
}

#[test]
fn claim_part_of_a_rack_binds_the_whole_cell() {
    let mut cells = GuaranteeCells::new("1 rack".parse().expect("shape"));
    assert_eq!(cells.claim(&[(4, 0x0f)], Level::Device, &Racks), Some(Level::Rack));
    assert!(cells.unbound().is_empty());
    assert_eq!(cells.bindings()[0].region, [(3, 0xff), (4, 0xff), (5, 0xff)]);
    assert_eq!(cells.unused(), "2 worker + 1 quad".parse().expect("shape"));
}

#[test]
fn release_last_gang_of_a_cell_unbinds_it() {
    let rack: Shape = "1 rack".parse().expect("shape");
    let mut cells = GuaranteeCells::new(rack);
    cells.claim(&[(4, 0x0f)], Level::Device, &Racks);
    cells.claim(&[(3, 0x01)], Level::Device, &Racks);
    cells.release(&[(4, 0x0f)]);
    assert_eq!(cells.bindings().len(), 1, "a gang is left in the cell, so it stays in its place");
    cells.release(&[(3, 0x01)]);
    assert_eq!(cells.unbound(), rack);
}

#[test]
fn reshape_smaller_guarantee_drops_the_latest_binding() {
    let mut cells = GuaranteeCells::new("2 worker".parse().expect("shape"));
    cells.claim(&[(0, 0xff)], Level::Device, &Racks);
    cells.claim(&[(5, 0xff)], Level::Device, &Racks);
    cells.reshape("1 worker".parse().expect("shape"));
    assert!(cells.covers(0, 0xff));
    assert!(!cells.covers(5, 0xff));
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn worker_cells_any_mask_counts_each_device_once(mask in any::<u64>()) {
        let [singles, pairs, quads, whole] = worker_cells(mask).counts;
        prop_assert_eq!(singles + pairs * 2 + quads * 4 + whole * 8, mask.count_ones());
    }

    #[test]
    fn tightest_any_size_counts_its_devices(devices in 0..5_000u32) {
        prop_assert_eq!(Shape::tightest(devices).devices(), devices);
    }
}

#[test]
fn check_bad_knobs_reports_all_at_once() {
    let knobs = Knobs { weight: 0, packing: 101, ..Knobs::default() };
    let errors = knobs.check().expect_err("two faults");
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["weight = 0: expected 1 to 10000", "packing = 101: expected 0 to 100"]);
}
