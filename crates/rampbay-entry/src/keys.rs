//! Who may speak for which workspace.

use std::sync::{PoisonError, RwLock};

use rampbay_core::ids::WorkspaceId;
use subtle::ConstantTimeEq;

use crate::settings::KeySettings;

/// What a key allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Everything; no keys are set, or it is an operator's key.
    Operator,
    /// One workspace's requests.
    Workspace(WorkspaceId),
    /// Nothing.
    Denied,
}

impl Access {
    /// Returns whether it allows to speak for a workspace.
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
    /// Creates a set of keys; an empty one lets everybody in.
    #[must_use]
    pub fn new(keys: Vec<KeySettings>) -> Self {
        Self { keys: RwLock::new(keys) }
    }

    /// Replaces the keys. Old and new may stand side by side while callers change over.
    pub fn rotate(&self, keys: Vec<KeySettings>) {
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Returns what an `Authorization` header allows. Every key is compared, in constant time.
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
