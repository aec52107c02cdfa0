//! Every specification over its whole state space, and the wrong variants that it must catch.

use rampbay_spec::{
    dispatch::{self, Dispatch},
    gang::{self, Gang},
    search::{Found, explore},
    table::{self, TableSpec},
};
use rstest::rstest;

fn whole(name: &str, found: Found) {
    println!("{name}: {} states", found.states);
    assert_eq!(found.violation, None);
}

#[test]
fn gang_right_keeps_its_promises() {
    let found = explore(&Gang::new(gang::Variant::Right));
    assert!(found.states > 10_000, "{} states", found.states);
    whole("gang", found);
}

#[test]
fn dispatch_right_keeps_its_promises() {
    let found = explore(&Dispatch::new(dispatch::Variant::Right));
    assert!(found.states > 1_000, "{} states", found.states);
    whole("dispatch", found);
}

#[test]
fn table_right_keeps_its_promises() {
    let found = explore(&TableSpec::new(table::Variant::Right));
    assert!(found.states > 1_000, "{} states", found.states);
    whole("table", found);
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
#[case(dispatch::Variant::NotRunBySilence)]
#[case(dispatch::Variant::NoMemoryOfAttempts)]
#[case(dispatch::Variant::RetriesUnproved)]
fn dispatch_wrong_variant_is_caught(#[case] variant: dispatch::Variant) {
    let found = explore(&Dispatch::new(variant));
    assert!(found.violation.is_some(), "{variant:?} passed {} states", found.states);
}

#[rstest]
#[case(table::Variant::IgnoresBase)]
#[case(table::Variant::AppendsBlindly)]
#[case(table::Variant::CountsDoubled)]
#[case(table::Variant::TakesOlder)]
#[case(table::Variant::SkipsMissing)]
fn table_wrong_variant_is_caught(#[case] variant: table::Variant) {
    let found = explore(&TableSpec::new(variant));
    assert!(found.violation.is_some(), "{variant:?} passed {} states", found.states);
}
