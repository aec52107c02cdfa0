//! Searches the whole state space of every specification, and checks that each wrong variant violates
//! an invariant.

use rampbay_spec::{
    dispatch::{self, Dispatch},
    gang::{self, Gang},
    search::{SearchResult, explore},
    table::{self, TableSpec},
};
use rstest::rstest;

fn assert_no_violation(name: &str, found: SearchResult) {
    println!("{name}: {} states", found.states);
    assert_eq!(found.violation, None);
}

#[test]
fn gang_correct_variant_holds_its_invariants() {
    let found = explore(&Gang::new(gang::Variant::Correct));
    assert!(found.states > 10_000, "{} states", found.states);
    assert_no_violation("gang", found);
}

#[test]
fn dispatch_correct_variant_holds_its_invariants() {
    let found = explore(&Dispatch::new(dispatch::Variant::Correct));
    assert!(found.states > 1_000, "{} states", found.states);
    assert_no_violation("dispatch", found);
}

#[test]
fn table_correct_variant_holds_its_invariants() {
    let found = explore(&TableSpec::new(table::Variant::Correct));
    assert!(found.states > 1_000, "{} states", found.states);
    assert_no_violation("table", found);
}

#[rstest]
#[case(gang::Variant::OpensEarly)]
#[case(gang::Variant::NoFencing)]
#[case(gang::Variant::CommitsWithoutHold)]
#[case(gang::Variant::CommitsInPart)]
fn gang_wrong_variant_is_caught(#[case] variant: gang::Variant) {
    let found = explore(&Gang::new(variant));
    assert!(found.violation.is_some(), "{variant:?} passed {} states", found.states);
}

#[rstest]
#[case(dispatch::Variant::NoTombstone)]
#[case(dispatch::Variant::AnyIncarnation)]
#[case(dispatch::Variant::TrustsOtherIncarnation)]
#[case(dispatch::Variant::NotRunWithoutProof)]
#[case(dispatch::Variant::NoMemoryOfAttempts)]
#[case(dispatch::Variant::RetriesWithoutProof)]
fn dispatch_wrong_variant_is_caught(#[case] variant: dispatch::Variant) {
    let found = explore(&Dispatch::new(variant));
    assert!(found.violation.is_some(), "{variant:?} passed {} states", found.states);
}

#[rstest]
#[case(table::Variant::IgnoresBase)]
#[case(table::Variant::AppendsUnderNewId)]
#[case(table::Variant::CountsDuplicates)]
#[case(table::Variant::TakesOlder)]
#[case(table::Variant::SkipsMissing)]
fn table_wrong_variant_is_caught(#[case] variant: table::Variant) {
    let found = explore(&TableSpec::new(variant));
    assert!(found.violation.is_some(), "{variant:?} passed {} states", found.states);
}
