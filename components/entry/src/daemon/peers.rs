//! Exchange of the change log between entries while the table does not answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use control::PeerAnswer;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use types::Incarnation;
use types::Revision;
use wire::End;
use wire::Hello;
use wire::SessionError;
use wire::ToPeer;
use wire::establish;

use crate::core::Event;
use crate::core::Note;
use crate::daemon::Daemon;

/// Longest exchange; a snapshot of the whole fleet takes well under a second.
const EXCHANGE_MS: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE_MS: Duration = Duration::from_millis(100);

/// Serves other entries.
pub async fn accept(daemon: Rc<Daemon>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let serving = daemon.clone();
        daemon.spawn(async move {
            let served = within_limit(serve(&serving, stream)).await;
            if let Err(error) = served {
                serving.note(&Note::PeerRefused {
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
                daemon.feed(Event::PeerAsks { peer, after });
            }
        }
        Ok(())
    };
    let result = smol::future::or(receive, writer.send_all(messages)).await;
    daemon.peers.borrow_mut().remove(&peer);
    result
}

/// Sends an answer to a connected peer; one that has left does not need it.
pub fn answer(daemon: &Daemon, peer: Incarnation, answer: PeerAnswer) {
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

/// Asks a peer for the changes after a revision. A failure is left to the next try.
pub async fn ask(daemon: Rc<Daemon>, address: SocketAddr, after: Revision) {
    let _ = within_limit(exchange(&daemon, address, after)).await;
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
    // Identifies this exchange, so that parts of two snapshots are not mixed.
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
        daemon.feed(Event::PeerAnswered { peer, answer });
        if is_last {
            return Ok(());
        }
    }
    Ok(())
}

async fn within_limit(
    exchange: impl Future<Output = Result<(), SessionError>>,
) -> Result<(), SessionError> {
    let limit = async {
        Timer::after(EXCHANGE_MS).await;
        Ok(())
    };
    smol::future::or(exchange, limit).await
}
