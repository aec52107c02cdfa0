//! The operators' configuration: queues, workspaces and their guarantees.

use crate::job::{QueueName, ServiceName, WorkspaceName};

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host of its calls.
    pub host: String,
    /// Prefix of the paths of its calls.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang, after which a job has failed.
    pub attempts: u32,
    /// Factor on the longest chain of dependent steps in the objective, in thousandths.
    pub stretch_permille: u64,
    /// Time added to the objective, in milliseconds.
    pub target_ms: u64,
    /// Whether callers need no key.
    pub public: bool,
}

/// A workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Number of accelerators that are guaranteed to it at any time.
    pub guaranteed_devices: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routing {
    /// Rises from version to version.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// Longest body of a call, in bytes; 0 for no limit.
    pub body_limit: usize,
}

impl Routing {
    /// Returns the queue of a call: the queue of the host with the longest prefix of `path`.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let is_match = |queue: &&Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        };
        self.queues.iter().filter(is_match).max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the workspace that a key belongs to.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.keys.iter().any(|known| known == key))
    }

    /// Returns the guarantee of a workspace in accelerators.
    #[must_use]
    pub fn guaranteed_devices(&self, workspace: &str) -> u64 {
        let found = self.workspaces.iter().find(|candidate| candidate.name == workspace);
        found.map_or(0, |workspace| workspace.guaranteed_devices)
    }
}
