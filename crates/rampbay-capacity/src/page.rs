//! The capacity page.
#![expect(missing_docs, reason = "written next")]
pub fn write(_: &crate::measure::Figures) -> String {
    String::new()
}
