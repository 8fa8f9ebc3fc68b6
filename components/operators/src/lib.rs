//! Operators' port of an entry, and the client that the command line uses.
//!
//! | route | answer |
//! | --- | --- |
//! | `POST /commands` | `CommandOutcome`, or `CommandError` with a status |
//! | `GET /profiles` | list of [`ProfileInForce`] |
//! | `GET /services` | list of `Service` |
//! | `GET /status` | state of the fleet as this entry sees it |
//! | `GET /explain/{subject}` | what is known about a request id or target |
//! | `GET /audit?before=R&limit=N` | records of the change log, newest first |
//!
//! Every request carries `Authorization: Bearer {token}`; the operator's name goes into the audit
//! trail.

pub mod control;

mod auth;
mod client;
mod port;

pub use client::OperatorError;
pub use client::OperatorsClient;
pub use client::ProfileInForce;
pub use control::Control;
pub use control::ControlFuture;
pub use port::AUDIT_LIMIT;
pub use port::OperatorsPort;
pub use port::serve;
