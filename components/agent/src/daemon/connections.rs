//! Connections from entries.

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
use crate::daemon::server::within;
use crate::event::ConnectionId;
use crate::event::Event;

/// Time for the opening exchange.
const HANDSHAKE_LIMIT_MS: Duration = Duration::from_secs(2);
/// Frames waiting on one connection. Chunks are bounded by credit; this bounds the rest.
const WAITING_LIMIT: usize = 16_384;
/// Time to write what is waiting when the process ends.
const FLUSH_LIMIT_MS: Duration = Duration::from_millis(500);
const FLUSH_POLL_MS: Duration = Duration::from_millis(5);

/// Open connections.
#[derive(Default)]
pub struct Connections {
    next: Cell<ConnectionId>,
    open: RefCell<HashMap<ConnectionId, Open>>,
}

struct Open {
    messages: Sender<ToEntry>,
    /// Dropped to end the connection at once.
    _alive: Sender<()>,
}

impl Connections {
    /// Queues a message; messages to a closed connection are dropped.
    pub fn send(&self, connection: ConnectionId, message: ToEntry) {
        let mut open = self.open.borrow_mut();
        let Some(target) = open.get(&connection) else {
            return;
        };
        if target.messages.len() >= WAITING_LIMIT || target.messages.try_send(message).is_err() {
            open.remove(&connection);
        }
    }

    /// Ends a connection at once.
    pub fn close(&self, connection: ConnectionId) {
        self.open.borrow_mut().remove(&connection);
    }

    fn is_flushed(&self) -> bool {
        let open = self.open.borrow();
        open.values().all(|target| target.messages.is_empty())
    }
}

/// Serves one accepted connection.
pub fn spawn(daemon: &Rc<Daemon>, stream: TcpStream) {
    let serving = daemon.clone();
    daemon.spawn(async move {
        let _ = stream.set_nodelay(true);
        let random = rand::random();
        let keys = serving.keys();
        let opening = session::establish(stream, session::End::Acceptor, &keys, random);
        let Some(Ok((reader, writer))) = within(HANDSHAKE_LIMIT_MS, opening).await else {
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
    let connection = daemon.connections.next.get() + 1;
    daemon.connections.next.set(connection);
    let (messages, outgoing) = async_channel::unbounded();
    let (alive, ended) = async_channel::bounded::<()>(1);
    daemon.connections.open.borrow_mut().insert(
        connection,
        Open {
            messages,
            _alive: alive,
        },
    );
    let end = wait_for_end(ended);
    let send = async { writer.send_all(outgoing).await.err() };
    let receive = async {
        loop {
            match reader.next_message::<ToAgent>().await {
                Ok(Some(message)) => daemon.tell(Event::Message {
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
    daemon.tell(Event::Disconnected { connection });
}

async fn wait_for_end(ended: Receiver<()>) -> Option<session::SessionError> {
    let _ = ended.recv().await;
    None
}

/// Waits until the sockets have taken what is queued.
pub async fn flush(daemon: &Rc<Daemon>) {
    let flushed = async {
        while !daemon.connections.is_flushed() {
            smol::Timer::after(FLUSH_POLL_MS).await;
        }
        // The last batch has left the queue and may still be on its way to the socket.
        smol::Timer::after(FLUSH_POLL_MS).await;
    };
    within(FLUSH_LIMIT_MS, flushed).await;
}
