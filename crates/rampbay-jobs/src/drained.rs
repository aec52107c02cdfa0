//! Failure domains that operators have drained: nothing more is started there until the drain is revoked.
//!
//! Operators write to a topic of their own, which only entries follow. The leader copies what it reads
//! there into the state, where every agent sees it; an agent checks every start against its own copy. So
//! an assignment that an older leader made, or that arrives late, isn't carried out either.

use std::cell::RefCell;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::job::FailureDomain;
use crate::store::Offset;

/// The drained failure domains, as of one position of the operators' topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedDomains {
    /// Names of the drained failure domains.
    pub names: BTreeSet<FailureDomain>,
    /// Offset up to which the operators' topic had been read. Offsets never decrease, also when records
    /// are dropped, so of two views the one with the higher offset is the newer one.
    pub read_to: Offset,
}

impl DrainedDomains {
    /// Returns whether a failure domain is drained.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.names.contains(failure_domain)
    }

    /// Returns whether this view was read further than another and differs from it.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.read_to > other.read_to && self.names != other.names
    }
}

/// The drain orders in force, as a process has read them from the operators' topic.
#[derive(Debug, Default)]
pub struct DrainOrders {
    names: RefCell<BTreeSet<FailureDomain>>,
}

impl DrainOrders {
    /// Forgets all orders. Those in force are read again from the newest record of each key.
    pub fn reset(&self) {
        self.names.borrow_mut().clear();
    }

    /// Adds an order to drain a failure domain.
    pub fn drain(&self, failure_domain: &str) {
        if self.names.borrow_mut().insert(failure_domain.to_owned()) {
            log::info!("event=J112 drain order read failure_domain={failure_domain}");
        }
    }

    /// Revokes the order to drain a failure domain, which may then be used again.
    pub fn restore(&self, failure_domain: &str) {
        if self.names.borrow_mut().remove(failure_domain) {
            log::info!("event=J113 end of drain read failure_domain={failure_domain}");
        }
    }

    /// Returns the orders in force, with the offset up to which the topic was read.
    #[must_use]
    pub fn view(&self, read_to: Offset) -> DrainedDomains {
        DrainedDomains { names: self.names.borrow().clone(), read_to }
    }
}
