//! Which build of a target's software began a stream, so that it goes on at no other one.
//!
//! What two builds write does not fit together, and targets do not check it. A process that begins
//! a stream knows the build of its target; a caller may resume the stream at any other process. So
//! each beginning is told to a few processes that all choose alike ([`holders`]), and a process
//! that does not know a stream asks them. Messages do not grow with the number of processes.
//!
//! What is not known is never guessed: [`Directory::get`] returns a build only if it was told by
//! the process that began the stream, and nothing if two processes told different ones. That the
//! targets of a service have a single build now says nothing about a stream that began before this
//! process knew them. Entries are kept for [`LIFETIME_MS`]. The crate does no I/O and reads no clock.

mod directory;
mod holders;

use serde::Deserialize;
use serde::Serialize;
use types::ServiceName;

pub use crate::directory::Directory;
pub use crate::directory::LIFETIME_MS;
pub use crate::holders::StreamKey;
pub use crate::holders::asked;
pub use crate::holders::holders;
pub use crate::holders::stream_key;

/// Build of a target's software, not of the weights that it has loaded.
pub type Build = String;

/// At which builds a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedBuilds<'a> {
    /// At any; its answer has not begun.
    Any,
    /// At the one that began its answer.
    Only(&'a Build),
    /// At none, as its answer has begun and it is not known at which build.
    None,
}

impl<'a> AllowedBuilds<'a> {
    /// Only that of a target, which may not be known.
    #[must_use]
    pub fn same_as(build: Option<&'a Build>) -> Self {
        build.map_or(Self::None, Self::Only)
    }

    /// Whether a target may run the request; `None` if its build is not known.
    #[must_use]
    pub fn allow(self, build: Option<&Build>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(begun) => build == Some(begun),
            Self::None => false,
        }
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the target.
    pub service: ServiceName,
    /// Build of the target.
    pub build: Build,
}

/// Tells other processes where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: Origin,
}
