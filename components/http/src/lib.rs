//! HTTP/1.1 for one thread: a server connection and a keep-alive client.
//!
//! `async-h1` decodes and encodes the heads. Bodies, pipelining and every limit are handled here,
//! in front of it, because version 2.3.4 of `async-h1`
//!
//! - reads a line of the head without a bound before it checks the length of the head,
//! - panics on a field value that is UTF-8 but not ASCII,
//! - accepts several `Content-Length` fields and takes the last one,
//! - ends a body that is shorter than announced without an error,
//! - loses pipelined requests that arrived with the bytes of an earlier one,
//! - can wait forever for trailers that arrive in two parts,
//! - starts threads of its own for `Expect: 100-continue`.

mod body;
mod client;
mod connection;
mod error;
mod exchange;
mod forward;
mod head;
mod input;
mod limits;
mod problem;
mod response;
mod server;
mod watchdog;

pub use body::BodyDecoder;
pub use body::BodyError;
pub use body::Framing;
pub use client::Client;
pub use error::ClientError;
pub use error::HungUp;
pub use exchange::Exchange;
pub use forward::ANSWER_HOP_FIELDS;
pub use forward::CONNECTION_FIELDS;
pub use forward::REQUEST_HOP_FIELDS;
pub use forward::answer_headers;
pub use forward::connection_options;
pub use forward::request_headers;
pub use head::Head;
pub use head::HeadError;
pub use head::parse_head;
pub use limits::ClientLimits;
pub use limits::ServerLimits;
pub use problem::Problem;
pub use response::StreamingResponse;
pub use response::WholeResponse;
pub use server::Handler;
pub use server::HandlerFuture;
pub use server::Request;
pub use server::serve;
