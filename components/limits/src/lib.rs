//! Limits on the requests a second that targets name in their answers.
//!
//! A target in need names a [`Rate`] that it takes from all processes together, for as long as its
//! answers say so. No process sees all calls, and processes may be cut off from each other, start
//! at any time, or learn of a limit late. So the limit is divided into equal shares, one for each
//! process of the deployment, and nobody ever uses a share that may be in use elsewhere:
//!
//! - A share of a small limit is less than a call now and then, and many of them would be used at
//!   the same time. Each process therefore lends its share of a target's limit to one that all
//!   choose alike from those that they hear and that have requests for the target. In a partition,
//!   each side uses what its members lend.
//! - A loan ends by the clock of the borrower, counted from a message that it sent before, so that
//!   it needs no common clock and no bound on delays. The lender does not use or lend its share
//!   again until the loan has ended.
//! - A process spaces its calls evenly, by [`Pace`], so that every span of [`SPAN_MS`] keeps to the
//!   limit, and does not save up calls.
//! - What answers say is exchanged with a revision, so that notices may be lost, repeated and
//!   reordered. A lower limit is valid at once. A higher one, or the end of a limit, counts only if
//!   the call was made after the limit had been named last.
//!
//! A target also says in its answers that it leaves, or that it wants no request for a time. This
//! holds for the process that got the answer, and needs no agreement ([`Standing`]).
//!
//! Where one process sees all calls of a target, as an agent does, [`TargetLimit`] alone is enough.
//! The crate does no I/O and reads no clock.

mod exchange;
mod limits;
mod loans;
mod notice;
mod pace;
mod rate;
mod returns;
mod standing;
mod target_limit;

pub use crate::limits::LimitChange;
pub use crate::limits::Limits;
pub use crate::limits::Room;
pub use crate::notice::LoanNotice;
pub use crate::notice::Notice;
pub use crate::notice::TargetNotice;
pub use crate::pace::Pace;
pub use crate::pace::SPAN_MS;
pub use crate::rate::NamedRate;
pub use crate::rate::Rate;
pub use crate::returns::Returns;
pub use crate::standing::Standing;
pub use crate::standing::Statement;
pub use crate::standing::pause_from_text;
pub use crate::target_limit::Revision;
pub use crate::target_limit::TargetLimit;

/// Id of one run of a target's process.
pub type ProcessKey = u64;
/// Id of one run of a process that calls targets.
pub type MemberId = u64;
