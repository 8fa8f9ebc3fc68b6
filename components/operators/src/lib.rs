//! The entry's HTTP API for operators, and its client, which the command line uses.
//!
//! | route | response |
//! | --- | --- |
//! | `POST /commands` | `CommandOutcome`, or `CommandError` with a status |
//! | `GET /profiles` | list of [`ActiveProfile`] |
//! | `GET /services` | list of `Service` |
//! | `GET /status` | state of targets and entries from the view of this entry |
//! | `GET /explain/{subject}` | information about a request ID or a target |
//! | `GET /audit?before=R&limit=N` | records of the audit trail, newest first |
//!
//! Every request needs `Authorization: Bearer {token}`. The operator's name is recorded in the
//! audit trail.

mod auth;
mod client;
mod control;
mod port;

pub use client::ActiveProfile;
pub use client::OperatorError;
pub use client::OperatorsClient;
pub use control::Control;
pub use control::ControlFuture;
pub use port::OperatorsPort;
pub use port::serve;
