//! Single-threaded HTTP/1.1 server and keep-alive client.
//!
//! `async-h1` decodes and encodes the heads of messages. Bodies, pipelining and all limits are
//! implemented in this crate, because version 2.3.4 of `async-h1`
//!
//! - buffers a header line of any length before it checks the length of the head,
//! - panics on a field value that is UTF-8 but not ASCII,
//! - accepts several `Content-Length` fields and uses the last one,
//! - reports no error for a body that is shorter than its `Content-Length`,
//! - loses pipelined requests that arrive in the same read as an earlier request,
//! - can wait forever for trailers that arrive in two reads,
//! - starts its own threads for `Expect: 100-continue`.

mod body;
mod budget;
mod client;
mod connection;
mod error;
mod exchange;
mod forward;
mod head;
mod limits;
mod problem;
mod response;
mod server;
mod socket_reader;
mod watchdog;

pub use body::BodyDecoder;
pub use body::BodyError;
pub use body::Framing;
pub use budget::ByteBudget;
pub use budget::Reservation;
pub use client::Client;
pub use error::ClientError;
pub use error::ForwardError;
pub use error::HungUp;
pub use exchange::Exchange;
pub use forward::CONNECTION_FIELDS;
pub use forward::REQUEST_HOP_FIELDS;
pub use forward::RESPONSE_HOP_FIELDS;
pub use forward::connection_options;
pub use forward::request_headers;
pub use forward::response_headers;
pub use head::Head;
pub use head::HeadError;
pub use head::parse_head;
pub use limits::ClientLimits;
pub use limits::ServerLimits;
pub use problem::Problem;
pub use response::BufferedResponse;
pub use response::StreamingResponse;
pub use server::Handler;
pub use server::HandlerFuture;
pub use server::Request;
pub use server::serve;
