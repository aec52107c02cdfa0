//! Keys of callers and operators, and the access that each gives.

use std::sync::{PoisonError, RwLock};

use rampbay_core::ids::WorkspaceId;
use subtle::ConstantTimeEq;

use crate::settings::KeySettings;

/// What a key allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Access to everything, with an operator's key or because no keys are set.
    Operator,
    /// Access to the requests of one workspace.
    Workspace(WorkspaceId),
    /// No access.
    Denied,
}

impl Access {
    /// Returns whether this access includes the requests of a workspace.
    #[must_use]
    pub fn covers(&self, workspace: &str) -> bool {
        match self {
            Access::Operator => true,
            Access::Workspace(own) => **own == *workspace,
            Access::Denied => false,
        }
    }
}

/// The keys of an entry; they can be replaced while it runs.
#[derive(Debug, Default)]
pub struct Keys {
    keys: RwLock<Vec<KeySettings>>,
}

impl Keys {
    /// Creates a set of keys; an empty set gives everyone full access.
    #[must_use]
    pub fn new(keys: Vec<KeySettings>) -> Self {
        Self { keys: RwLock::new(keys) }
    }

    /// Replaces the keys. The new set may contain old and new keys, so that callers can switch
    /// over one by one.
    pub fn rotate(&self, keys: Vec<KeySettings>) {
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Returns the access that an `Authorization` header gives.
    ///
    /// Every key is compared, in constant time.
    #[must_use]
    pub fn access(&self, authorization: Option<&str>) -> Access {
        let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner);
        if keys.is_empty() {
            return Access::Operator;
        }
        let given = authorization.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or("");
        let mut access = Access::Denied;
        for row in keys.iter() {
            if bool::from(row.key.as_bytes().ct_eq(given.as_bytes())) {
                access = match &row.workspace {
                    Some(workspace) => Access::Workspace(workspace.clone()),
                    None => Access::Operator,
                };
            }
        }
        access
    }
}
