//! Quarantine of prompt parts, and of whole requests, that crash engines.
//!
//! Some part of a prompt may crash each engine that begins to answer on it, or a request that comes
//! again may do so as a whole (a query of death). Both are identified by hashes and treated alike:
//! what is said of parts here holds for whole requests, also those without a prompt. An
//! engine that crashes ends all its calls at once, so one crash proves little: every request that
//! had no event yet may be the cause, and engines also crash for other reasons. [`Quarantine`]
//! collects the crashes that all processes see and decides which requests may still reach engines:
//!
//! - A request that is lost before its first event makes the parts of its prompt suspect. Requests
//!   with a suspect part are sent one at a time, and are not retried.
//! - A part that is the likeliest cause of two crashes is quarantined: requests with it are
//!   refused. The time grows with the number of crashes; after it, one request is sent as a trial.
//!   Crashes under requests without the head of an answer count half, unless the request was on
//!   trial.
//! - The first event of an answer proves that no part of its prompt crashes engines.
//! - A process that answers a call that began after its crash was reported has not crashed.
//!
//! Processes exchange [`Notice`]s. Each one repeats what its sender knows, so notices may be lost,
//! repeated and reordered. The crate does no I/O and reads no clock.

mod causes;
mod evidence;
mod exchange;
mod notice;
mod recent;
mod state;

pub use crate::evidence::CrashReport;
pub use crate::notice::Crash;
pub use crate::notice::CrashNotice;
pub use crate::notice::Notice;
pub use crate::notice::Record;
pub use crate::notice::SoundNotice;
pub use crate::state::Admission;
pub use crate::state::PartChange;
pub use crate::state::PartState;
pub use crate::state::Quarantine;

/// Id of a part of a prompt, or of a whole request; equal ones have the same id.
pub type PartId = u64;
/// Id of one run of an engine's process.
pub type ProcessKey = u64;
/// Name of a process that exchanges notices.
pub type SenderName = String;
