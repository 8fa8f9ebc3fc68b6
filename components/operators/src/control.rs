//! Interface between the operators' API and the entry.

use std::future::Future;
use std::pin::Pin;

use ::control::CommandError;
use ::control::CommandOutcome;
use ::control::CommandRequest;
use types::Change;
use types::Profile;
use types::Revision;
use types::Service;

/// Future of an operation; not `Send`, because an entry runs on one thread.
pub type ControlFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, CommandError>> + 'a>>;

/// Operations of the entry that the operators' API uses.
pub trait Control {
    /// Executes a command; the audit trail records `operator` as its author.
    fn execute(
        &self,
        operator: String,
        request: CommandRequest,
    ) -> ControlFuture<'_, CommandOutcome>;
    /// Active profiles, each with the revision of its latest change.
    fn profiles(&self) -> Vec<(Revision, Profile)>;
    /// Services in this entry's configuration.
    fn services(&self) -> Vec<Service>;
    /// Targets, entries and their revisions from the view of this entry, as JSON.
    fn status(&self) -> serde_json::Value;
    /// Information about a request ID or a target name, as JSON; `None` if there is none.
    fn explain(&self, subject: &str) -> Option<serde_json::Value>;
    /// Records of the audit trail, newest first: at most `limit`, with revisions below `before`.
    fn audit(&self, before: Option<Revision>, limit: usize) -> ControlFuture<'_, Vec<Change>>;
}
