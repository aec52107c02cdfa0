//! Gangs that want one rack: whether they wait for it or are spread over several.

use super::fit::{Need, rack_could_hold};
use super::policy::StepQuestion;

/// Returns whether a gang is placed in one rack or else waits: it wants one rack, the policy lets it wait, and some
/// rack could hold it if nothing else ran there.
pub fn requires_one_rack(question: &StepQuestion<'_>, need: &Need<'_>) -> bool {
    question.wants_rack()
        && need.policy.waits_for_rack(question, need)
        && rack_could_hold(question.fleet, need, question.count)
}
