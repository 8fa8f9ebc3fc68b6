//! Sessions over a loopback TCP connection.

use smol::net::TcpListener;
use smol::net::TcpStream;
use wire::End;
use wire::Key;
use wire::Keyring;
use wire::SessionError;
use wire::ToAgent;
use wire::WireError;
use wire::establish;

fn keyring(secret: u8) -> Keyring {
    let key = Key {
        id: 1,
        secret: [secret; 32],
    };
    Keyring::new(vec![key]).expect("one key")
}

async fn exchange(opener_key: u8) -> Result<Option<ToAgent>, SessionError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let opener = async {
        let stream = TcpStream::connect(address).await?;
        let (_reader, mut writer) =
            establish(stream, End::Opener, &keyring(opener_key), [1; 16]).await?;
        writer.send(&ToAgent::Ping { nonce: 42 }).await
    };
    let acceptor = async {
        let (stream, _) = listener.accept().await?;
        let (mut reader, _writer) = establish(stream, End::Acceptor, &keyring(1), [2; 16]).await?;
        reader.next_message().await
    };
    let (sent, received) = smol::future::zip(opener, acceptor).await;
    sent?;
    received
}

/// Guards against the two ends deriving different nonces, which makes every MAC check fail.
#[test]
fn delivers_a_message_between_ends_with_the_same_key() {
    let message = smol::block_on(exchange(1)).expect("delivered");
    assert_eq!(message, Some(ToAgent::Ping { nonce: 42 }));
}

/// Guards against peers being accepted without the shared key.
#[test]
fn rejects_a_peer_with_another_key() {
    let error = smol::block_on(exchange(2)).expect_err("rejected");
    assert!(matches!(error, SessionError::Wire(WireError::BadMac)));
}
