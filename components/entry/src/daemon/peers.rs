//! Exchange of the change log between entries while the table is unavailable.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use control::PeerAnswer;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use types::Incarnation;
use types::Revision;
use types::Turn;
use wire::End;
use wire::Hello;
use wire::SessionError;
use wire::ToPeer;
use wire::establish;

use crate::core::Event;
use crate::core::LogEvent;
use crate::daemon::Daemon;

/// Timeout of an exchange; a snapshot of the whole fleet takes well under a second.
const EXCHANGE_TIMEOUT_MS: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE_MS: Duration = Duration::from_millis(100);

/// Accepts connections from other entries.
pub async fn accept(daemon: Rc<Daemon>, listener: TcpListener) {
    let mut turn = Turn::default();
    loop {
        turn.proceed(0).await;
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let serving = daemon.clone();
        daemon.spawn(async move {
            let served = with_timeout(serve(&serving, stream)).await;
            if let Err(error) = served {
                serving.log_event(&LogEvent::PeerRefused {
                    detail: format!("{from}: {error}"),
                });
            }
        });
    }
}

async fn serve(daemon: &Rc<Daemon>, stream: TcpStream) -> Result<(), SessionError> {
    let (mut reader, mut writer) =
        establish(stream, End::Acceptor, &daemon.keys(), rand::random()).await?;
    let Some(ToPeer::Hello(hello)) = reader.next_message().await? else {
        return Ok(());
    };
    let peer = hello.process;
    let (outbox, messages) = async_channel::unbounded();
    daemon.peers.borrow_mut().insert(peer, outbox);
    let receive = async {
        while let Some(message) = reader.next_message().await? {
            if let ToPeer::ChangesAfter(after) = message {
                daemon.handle_event(Event::ChangesRequested { peer, after });
            }
        }
        Ok(())
    };
    let result = smol::future::or(receive, writer.send_all(messages)).await;
    daemon.peers.borrow_mut().remove(&peer);
    result
}

/// Sends an answer to a peer, unless it has disconnected.
pub fn send_answer(daemon: &Daemon, peer: Incarnation, answer: PeerAnswer) {
    let message = match answer {
        PeerAnswer::Changes { head, records } => ToPeer::Changes { head, records },
        PeerAnswer::Snapshot {
            head,
            part,
            parts,
            records,
        } => ToPeer::Snapshot {
            head,
            part,
            parts,
            records,
        },
    };
    if let Some(outbox) = daemon.peers.borrow().get(&peer) {
        let _ = outbox.try_send(message);
    }
}

/// Requests the changes after a revision from a peer. After a failure the follower requests them
/// again.
pub async fn request_changes(daemon: Rc<Daemon>, address: SocketAddr, after: Revision) {
    let _ = with_timeout(exchange(&daemon, address, after)).await;
}

async fn exchange(
    daemon: &Rc<Daemon>,
    address: SocketAddr,
    after: Revision,
) -> Result<(), SessionError> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) =
        establish(stream, End::Opener, &daemon.keys(), rand::random()).await?;
    let hello = Hello {
        process: daemon.incarnation(),
        to: String::new(),
    };
    writer.send(&ToPeer::Hello(hello)).await?;
    writer.send(&ToPeer::ChangesAfter(after)).await?;
    // Identifies this exchange, so that parts of different snapshots are not combined.
    let peer = rand::random();
    while let Some(message) = reader.next_message().await? {
        let (answer, is_last) = match message {
            ToPeer::Changes { head, records } => (PeerAnswer::Changes { head, records }, true),
            ToPeer::Snapshot {
                head,
                part,
                parts,
                records,
            } => {
                let answer = PeerAnswer::Snapshot {
                    head,
                    part,
                    parts,
                    records,
                };
                (answer, part + 1 >= parts)
            }
            ToPeer::Hello(_) | ToPeer::ChangesAfter(_) => return Ok(()),
        };
        daemon.handle_event(Event::ChangesReceived { peer, answer });
        if is_last {
            return Ok(());
        }
    }
    Ok(())
}

async fn with_timeout(
    exchange: impl Future<Output = Result<(), SessionError>>,
) -> Result<(), SessionError> {
    let timeout = async {
        Timer::after(EXCHANGE_TIMEOUT_MS).await;
        Ok(())
    };
    smol::future::or(exchange, timeout).await
}
