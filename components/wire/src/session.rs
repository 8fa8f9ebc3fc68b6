//! Sessions: TCP connections that carry frames.
//!
//! In the handshake, each end sends 16 random bytes. Their concatenation is the nonce that every
//! MAC covers. Everything after the handshake is frames.

use std::fmt;
use std::io;

use async_channel::Receiver;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::AsyncWriteExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::Turn;

use crate::error::WireError;
use crate::frame::ConnectionNonce;
use crate::frame::FrameReader;
use crate::frame::FrameWriter;
use crate::keys::Keyring;

/// Number of random bytes that each end contributes to the nonce.
pub const NONCE_BYTES: usize = 16;
/// Size of the read buffer; fits many small frames.
const READ_BYTES: usize = 64 << 10;
/// Size from which buffered frames are written without waiting for more of them.
const WRITE_BATCH_BYTES: usize = 128 << 10;

/// Reason why a session ended.
#[derive(Debug)]
pub enum SessionError {
    /// The socket failed.
    Io(io::Error),
    /// A frame was rejected.
    Wire(WireError),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Wire(error) => write!(f, "frame rejected: {error}"),
        }
    }
}

impl std::error::Error for SessionError {}

impl From<io::Error> for SessionError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<WireError> for SessionError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

/// Side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Side that opened the connection.
    Opener,
    /// Side that accepted the connection.
    Acceptor,
}

/// Receiving half of a session.
pub struct SessionReader<R> {
    stream: R,
    frames: FrameReader,
    buffer: Vec<u8>,
    turn: Turn,
}

/// Sending half of a session.
pub struct SessionWriter<W> {
    stream: W,
    frames: FrameWriter,
    buffer: Vec<u8>,
    turn: Turn,
}

/// Performs the handshake. It has no timeout of its own.
///
/// # Errors
///
/// Returns `Io` if the socket fails or the peer closes it.
pub async fn establish<S>(
    mut stream: S,
    end: End,
    keys: &Keyring,
    random: [u8; NONCE_BYTES],
) -> Result<(SessionReader<S>, SessionWriter<S>), SessionError>
where
    S: AsyncRead + AsyncWrite + Clone + Unpin,
{
    stream.write_all(&random).await?;
    let mut peer_random = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_random).await?;
    let (first, second) = match end {
        End::Opener => (random, peer_random),
        End::Acceptor => (peer_random, random),
    };
    let mut nonce: ConnectionNonce = [0; 2 * NONCE_BYTES];
    nonce[..NONCE_BYTES].copy_from_slice(&first);
    nonce[NONCE_BYTES..].copy_from_slice(&second);
    let (own_direction, peer_direction) = match end {
        End::Opener => (0, 1),
        End::Acceptor => (1, 0),
    };
    let reader = SessionReader {
        stream: stream.clone(),
        frames: FrameReader::new(keys.clone(), nonce, peer_direction),
        buffer: vec![0; READ_BYTES],
        turn: Turn::default(),
    };
    let writer = SessionWriter {
        stream,
        frames: FrameWriter::new(keys.clone(), nonce, own_direction),
        buffer: Vec::new(),
        turn: Turn::default(),
    };
    Ok((reader, writer))
}

impl<R: AsyncRead + Unpin> SessionReader<R> {
    /// Receives the next message. Returns `None` if the peer closed the connection between frames.
    ///
    /// # Errors
    ///
    /// Returns `Io` if the socket fails and `Wire` if a frame is rejected. The connection must then
    /// be closed.
    pub async fn next_message<M: DeserializeOwned>(&mut self) -> Result<Option<M>, SessionError> {
        loop {
            self.turn.proceed(0).await;
            if let Some(message) = self.frames.next_message()? {
                return Ok(Some(message));
            }
            let bytes = self.stream.read(&mut self.buffer).await?;
            self.turn.spend(bytes);
            if bytes == 0 && self.frames.buffered_bytes() == 0 {
                return Ok(None);
            }
            if bytes == 0 {
                return Err(WireError::Truncated.into());
            }
            self.frames.push(&self.buffer[..bytes]);
        }
    }
}

impl<W: AsyncWrite + Unpin> SessionWriter<W> {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns `Io` if the socket fails and `Wire` if the message is too long.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), SessionError> {
        self.frames.write(message, &mut self.buffer)?;
        self.flush().await
    }

    /// Sends messages from a channel until the channel is closed, batching them into few writes.
    ///
    /// # Errors
    ///
    /// Returns `Io` if the socket fails and `Wire` if a message is too long.
    pub async fn send_all<M: Serialize>(
        &mut self,
        messages: Receiver<M>,
    ) -> Result<(), SessionError> {
        while let Ok(first) = messages.recv().await {
            self.frames.write(&first, &mut self.buffer)?;
            while self.buffer.len() < WRITE_BATCH_BYTES
                && let Ok(message) = messages.try_recv()
            {
                self.frames.write(&message, &mut self.buffer)?;
            }
            self.turn.proceed(self.buffer.len()).await;
            self.flush().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), SessionError> {
        self.stream.write_all(&self.buffer).await?;
        self.buffer.clear();
        self.buffer.shrink_to(WRITE_BATCH_BYTES);
        Ok(())
    }
}
