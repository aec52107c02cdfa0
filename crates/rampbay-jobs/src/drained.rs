//! Failure domains that operators have drained: nothing more is started there until that is taken back.
//!
//! Operators write to a topic of their own, which only entries follow. The leader copies what it reads
//! there into the state, where every agent sees it; an agent holds every start against its own copy. So
//! an assignment that an older leader made, or that was long on its way, isn't carried out either.

use std::cell::RefCell;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::job::FailureDomain;
use crate::store::Offset;

/// The drained failure domains, as of one position of the operators' topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedDomains {
    /// Their names.
    pub names: BTreeSet<FailureDomain>,
    /// Offset up to which the operators' topic had been read. Offsets never fall, also when records are
    /// dropped, so of two views the one read further is the newer one.
    pub read_to: Offset,
}

impl DrainedDomains {
    /// Returns whether a failure domain is drained.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.names.contains(failure_domain)
    }

    /// Returns whether this view was read further than another and says something else.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.read_to > other.read_to && self.names != other.names
    }
}

/// What a process reads of the drained failure domains in the operators' topic.
#[derive(Debug, Default)]
pub struct DrainOrders {
    names: RefCell<BTreeSet<FailureDomain>>,
}

impl DrainOrders {
    /// Forgets all orders: those that stand follow, out of the newest record of each key.
    pub fn reset(&self) {
        self.names.borrow_mut().clear();
    }

    /// Takes in that a failure domain is to be drained.
    pub fn drain(&self, failure_domain: &str) {
        if self.names.borrow_mut().insert(failure_domain.to_owned()) {
            log::info!("event=J112 drain of a failure domain read failure_domain={failure_domain}");
        }
    }

    /// Takes in that a failure domain may be used again.
    pub fn restore(&self, failure_domain: &str) {
        if self.names.borrow_mut().remove(failure_domain) {
            log::info!("event=J113 end of a drain read failure_domain={failure_domain}");
        }
    }

    /// Returns the orders in force, with the offset up to which the topic was read.
    #[must_use]
    pub fn view(&self, read_to: Offset) -> DrainedDomains {
        DrainedDomains { names: self.names.borrow().clone(), read_to }
    }
}
