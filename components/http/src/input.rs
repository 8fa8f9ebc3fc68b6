//! Receiving side of a connection.

use std::io;
use std::io::Read;
use std::net::TcpStream as StdStream;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use smol::Async;
use smol::net::TcpStream;

/// Reads of a connection that call the socket only when there may be something to read.
///
/// `TcpStream::poll_read` tries the socket on every poll. A connection that relays a stream is
/// polled for every event, to see whether the peer hung up, and nearly all of those reads find
/// nothing.
#[derive(Debug)]
pub(crate) struct Input {
    socket: Arc<Async<StdStream>>,
    /// The last read left the socket empty; the reactor tells when that changes.
    is_drained: bool,
}

impl Input {
    pub(crate) fn new(stream: &TcpStream) -> Self {
        Self {
            socket: stream.clone().into(),
            is_drained: false,
        }
    }

    /// Reads what is there; 0 at the end of the connection.
    pub(crate) fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.is_drained {
                ready!(self.socket.poll_readable(cx))?;
            }
            match self.socket.get_ref().read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => {
                    // The end of the connection counts as an empty socket: it stays readable.
                    self.is_drained = result.as_ref().is_ok_and(|count| *count < buffer.len());
                    return Poll::Ready(result);
                }
            }
        }
    }
}
