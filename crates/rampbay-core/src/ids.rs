//! Type aliases for the ids that all crates share.

use std::sync::Arc;

/// A job's id, chosen by its caller; unique within a workspace's retention window.
pub type JobId = Arc<str>;
/// A workspace's name, as in the first column of the table.
pub type WorkspaceId = Arc<str>;
/// A worker's name, as the platform gives it.
pub type WorkerId = Arc<str>;
/// An upstream's name.
pub type UpstreamId = Arc<str>;
/// A process's name, from its settings.
pub type ProcessId = Arc<str>;
/// A number that identifies one start of a process; drawn anew at each start.
pub type Incarnation = u64;
/// A row index into the planner's table of workers.
pub type WorkerIndex = usize;
/// A row index into the planner's table of workspaces.
pub type WorkspaceIndex = usize;
/// A fencing token; a larger one is newer.
pub type FencingToken = u64;
