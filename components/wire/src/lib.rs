//! Wire protocol between the processes of the system.
//!
//! Entries open TCP connections to agents and to other entries, and exchange UDP datagrams with
//! both. The payload of every frame and datagram is encoded with `postcard`. Each one carries the
//! protocol version, a key id and a MAC, and its length is checked against a limit before memory is
//! allocated for it.

pub mod answer;
pub mod datagram;
pub mod error;
pub mod frame;
pub mod keys;
pub mod liveness;
pub mod message;
pub mod session;

pub use answer::AnswerDigest;
pub use answer::Digest;
pub use datagram::Datagram;
pub use error::WireError;
pub use frame::FrameReader;
pub use frame::FrameWriter;
pub use frame::MAX_FRAME_BYTES;
pub use keys::Key;
pub use keys::Keyring;
pub use liveness::Liveness;
pub use message::Dispatch;
pub use message::ForbidOutcome;
pub use message::Hello;
pub use message::Rejection;
pub use message::ToAgent;
pub use message::ToEntry;
pub use message::ToPeer;
pub use session::End;
pub use session::SessionError;
pub use session::SessionReader;
pub use session::SessionWriter;
pub use session::establish;

/// Protocol version. A process rejects frames and datagrams of other versions. Version 2 added
/// header fields to dispatches and answers.
pub const PROTOCOL_VERSION: u16 = 3;
