//! Sessions with entries.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;
use slog::debug;
use smol::net::TcpStream;
use wire::ToAgent;
use wire::ToEntry;
use wire::session;
use wire::session::SessionReader;
use wire::session::SessionWriter;

use crate::daemon::Daemon;
use crate::daemon::server::with_timeout;
use crate::event::ConnectionId;
use crate::event::Event;

/// Timeout of the session handshake.
const HANDSHAKE_LIMIT_MS: Duration = Duration::from_secs(2);
/// Maximum number of queued frames per connection. Credit limits the chunks; this also limits other
/// frames.
const OUTGOING_LIMIT: usize = 16_384;
/// Time to send queued frames when the process ends.
const FLUSH_LIMIT_MS: Duration = Duration::from_millis(500);
const FLUSH_POLL_MS: Duration = Duration::from_millis(5);

/// Open connections.
#[derive(Default)]
pub struct Connections {
    last_id: Cell<ConnectionId>,
    open: RefCell<HashMap<ConnectionId, OpenConnection>>,
}

struct OpenConnection {
    messages: Sender<ToEntry>,
    /// Dropped to close the connection at once.
    _close_guard: Sender<()>,
}

impl Connections {
    /// Queues a message. Messages to a closed connection are dropped; a connection whose queue is
    /// full is closed.
    pub fn send(&self, connection: ConnectionId, message: ToEntry) {
        let mut open = self.open.borrow_mut();
        let Some(open_connection) = open.get(&connection) else {
            return;
        };
        if open_connection.messages.len() >= OUTGOING_LIMIT
            || open_connection.messages.try_send(message).is_err()
        {
            open.remove(&connection);
        }
    }

    /// Closes a connection without sending its queue.
    pub fn close(&self, connection: ConnectionId) {
        self.open.borrow_mut().remove(&connection);
    }

    fn is_flushed(&self) -> bool {
        let open = self.open.borrow();
        open.values()
            .all(|open_connection| open_connection.messages.is_empty())
    }
}

/// Spawns the handshake and session of an accepted connection.
pub fn spawn(daemon: &Rc<Daemon>, stream: TcpStream) {
    let serving = daemon.clone();
    daemon.spawn(async move {
        let _ = stream.set_nodelay(true);
        let random = rand::random();
        let keys = serving.keys();
        let opening = session::establish(stream, session::End::Acceptor, &keys, random);
        let Some(Ok((reader, writer))) = with_timeout(HANDSHAKE_LIMIT_MS, opening).await else {
            return;
        };
        serve(&serving, reader, writer).await;
    });
}

async fn serve(
    daemon: &Rc<Daemon>,
    mut reader: SessionReader<TcpStream>,
    mut writer: SessionWriter<TcpStream>,
) {
    let connection = daemon.connections.last_id.get() + 1;
    daemon.connections.last_id.set(connection);
    let (messages, outgoing) = async_channel::unbounded();
    let (close_guard, ended) = async_channel::bounded::<()>(1);
    daemon.connections.open.borrow_mut().insert(
        connection,
        OpenConnection {
            messages,
            _close_guard: close_guard,
        },
    );
    let end = wait_for_end(ended);
    let send = async { writer.send_all(outgoing).await.err() };
    let receive = async {
        loop {
            match reader.next_message::<ToAgent>().await {
                Ok(Some(message)) => daemon.handle_event(Event::Message {
                    connection,
                    message,
                }),
                Ok(None) => return None,
                Err(error) => return Some(error),
            }
        }
    };
    if let Some(error) = receive.or(send).or(end).await {
        debug!(daemon.logger(), "connection ended";
            "code" => "CS2304", "detail" => error.to_string());
    }
    daemon.connections.close(connection);
    daemon.handle_event(Event::Disconnected { connection });
}

async fn wait_for_end(ended: Receiver<()>) -> Option<session::SessionError> {
    let _ = ended.recv().await;
    None
}

/// Waits until the queues of all connections are empty, for at most `FLUSH_LIMIT_MS`.
pub async fn flush(daemon: &Rc<Daemon>) {
    let flushed = async {
        while !daemon.connections.is_flushed() {
            smol::Timer::after(FLUSH_POLL_MS).await;
        }
        // The last batch has left its queue but may not be written to the socket yet.
        smol::Timer::after(FLUSH_POLL_MS).await;
    };
    with_timeout(FLUSH_LIMIT_MS, flushed).await;
}
