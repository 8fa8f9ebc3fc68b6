//! What the operators' port asks of the entry behind it.

use std::future::Future;
use std::pin::Pin;

use ::control::CommandError;
use ::control::CommandOutcome;
use ::control::CommandRequest;
use types::Change;
use types::Profile;
use types::Revision;
use types::Service;

/// Future of a call; an entry runs on one thread.
pub type ControlFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, CommandError>> + 'a>>;

/// The entry, as the operators' port sees it.
pub trait Control {
    /// Carries out a command in the name of an operator.
    fn execute(
        &self,
        operator: String,
        request: CommandRequest,
    ) -> ControlFuture<'_, CommandOutcome>;
    /// Profiles in force here, with the revision of each.
    fn profiles(&self) -> Vec<(Revision, Profile)>;
    /// Services in force here.
    fn services(&self) -> Vec<Service>;
    /// Targets, entries and their revisions as this entry sees them, as JSON.
    fn status(&self) -> serde_json::Value;
    /// What is known about a request id or a target name, as JSON; `None` if nothing is.
    fn explain(&self, subject: &str) -> Option<serde_json::Value>;
    /// Records of the change log, newest first, at most `limit` with a revision below `before`.
    fn audit(&self, before: Option<Revision>, limit: usize) -> ControlFuture<'_, Vec<Change>>;
}
