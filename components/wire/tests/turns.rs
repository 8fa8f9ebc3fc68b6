//! A peer whose messages are always there.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::future::or;
use futures_lite::future::yield_now;
use wire::End;
use wire::Key;
use wire::Keyring;
use wire::ToAgent;
use wire::establish;

type Bytes = Rc<RefCell<VecDeque<u8>>>;

const MESSAGES: u64 = 1_000;
const RANDOM: [[u8; 16]; 2] = [[1; 16], [2; 16]];

/// One end of a connection in memory, which never waits.
#[derive(Clone, Default)]
struct MemoryStream {
    input: Bytes,
    output: Bytes,
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(self.input.borrow_mut().read(buffer))
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.output.borrow_mut().extend(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn keyring() -> Keyring {
    let key = Key {
        id: 1,
        secret: [1; 32],
    };
    Keyring::new(vec![key]).expect("one key")
}

// A peer that sends faster than its messages are handled kept the thread to its connection.
#[test]
fn messages_that_are_always_there_leave_turns_to_other_tasks() {
    smol::block_on(async {
        let opener = MemoryStream::default();
        opener.input.borrow_mut().extend(RANDOM[1]);
        let established = establish(opener.clone(), End::Opener, &keyring(), RANDOM[0]).await;
        let (_, mut writer) = established.expect("established");
        for nonce in 0..MESSAGES {
            let sent = writer.send(&ToAgent::Ping { nonce }).await;
            sent.expect("sent");
        }
        let acceptor = MemoryStream {
            input: opener.output.clone(),
            output: Bytes::default(),
        };
        let established = establish(acceptor, End::Acceptor, &keyring(), RANDOM[1]).await;
        let (mut reader, _) = established.expect("established");
        let turns = Cell::new(0);
        let receive = async {
            for nonce in 0..MESSAGES {
                let message = reader.next_message().await.expect("received");
                assert_eq!(message, Some(ToAgent::Ping { nonce }));
            }
        };
        let other = async {
            loop {
                yield_now().await;
                turns.set(turns.get() + 1);
            }
        };
        or(receive, other).await;
        assert!(turns.get() >= 10, "{} turns", turns.get());
    });
}
