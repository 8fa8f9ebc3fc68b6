//! I/O of a connection to an agent.

use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use smol::net::TcpStream;
use types::TargetName;
use wire::End;
use wire::Hello;
use wire::SessionError;
use wire::SessionReader;
use wire::ToAgent;
use wire::ToEntry;
use wire::establish;

use crate::core::Event;
use crate::core::links::LinkId;
use crate::daemon::Daemon;

/// Opens a connection and transfers messages until it ends. Dropping the task closes it.
pub async fn run(
    daemon: Rc<Daemon>,
    link: LinkId,
    target: TargetName,
    address: SocketAddr,
    outbox: Receiver<ToAgent>,
) {
    let end = exchange(&daemon, link, target, address, outbox).await;
    let detail = end.err().map(|error| error.to_string());
    daemon.handle_event(Event::LinkClosed { link, detail });
}

async fn exchange(
    daemon: &Rc<Daemon>,
    link: LinkId,
    target: TargetName,
    address: SocketAddr,
    outbox: Receiver<ToAgent>,
) -> Result<(), SessionError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) =
        establish(stream, End::Opener, &daemon.keys(), rand::random()).await?;
    let hello = Hello {
        process: daemon.incarnation(),
        to: target,
    };
    writer.send(&ToAgent::Hello(hello)).await?;
    let receive = receive_all(daemon, link, &mut reader);
    let send = writer.send_all(outbox);
    smol::future::or(receive, send).await
}

async fn receive_all(
    daemon: &Rc<Daemon>,
    link: LinkId,
    reader: &mut SessionReader<TcpStream>,
) -> Result<(), SessionError> {
    while let Some(message) = reader.next_message::<ToEntry>().await? {
        daemon.handle_event(Event::LinkMessage { link, message });
    }
    Ok(())
}
