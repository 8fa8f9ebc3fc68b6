//! Reads from a socket without needless system calls.

use std::io;
use std::io::Read;
use std::net::TcpStream as StdStream;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use smol::Async;
use smol::net::TcpStream;
use types::Turn;

/// Read half of a connection, which reads the socket only when it may be readable.
///
/// `TcpStream::poll_read` makes a system call on every poll. A connection that relays a stream is
/// polled for every event, to detect that the peer closed it, and nearly all of those reads would
/// return no data.
#[derive(Debug)]
pub(crate) struct SocketReader {
    socket: Arc<Async<StdStream>>,
    /// The last read emptied the socket; the reactor reports when it is readable again.
    is_drained: bool,
    turn: Turn,
}

impl SocketReader {
    pub(crate) fn new(stream: &TcpStream) -> Self {
        Self {
            socket: stream.clone().into(),
            is_drained: false,
            turn: Turn::default(),
        }
    }

    /// Makes the next read try the socket.
    pub(crate) fn assume_readable(&mut self) {
        self.is_drained = false;
        self.turn.renew();
    }

    /// Reads the available bytes; returns 0 at the end of the stream. Pending, too, at the end of the
    /// task's turn.
    pub(crate) fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.turn.poll_proceed(cx));
        loop {
            if self.is_drained {
                let readable = self.socket.poll_readable(cx);
                if readable.is_pending() {
                    self.turn.renew();
                }
                ready!(readable)?;
            }
            match self.socket.get_ref().read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => {
                    // The end of the stream counts as an empty socket; it stays readable.
                    self.is_drained = result.as_ref().is_ok_and(|count| *count < buffer.len());
                    self.turn.spend(result.as_ref().map_or(0, |count| *count));
                    return Poll::Ready(result);
                }
            }
        }
    }
}
