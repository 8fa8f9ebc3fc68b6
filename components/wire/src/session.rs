//! A TCP connection that carries frames.
//!
//! Opening exchange: each end sends 16 random bytes; together they are the nonce that every MAC
//! covers. All later bytes are frames.

use std::fmt;
use std::io;

use async_channel::Receiver;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::AsyncWriteExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::WireError;
use crate::frame::ConnectionNonce;
use crate::frame::FrameReader;
use crate::frame::FrameWriter;
use crate::keys::Keyring;

/// Random bytes that each end contributes.
pub const NONCE_BYTES: usize = 16;
/// Read size; one read takes many small frames or most of a large one.
const READ_BYTES: usize = 64 << 10;
/// Frames are gathered up to this size before they are written.
const WRITE_BATCH_BYTES: usize = 128 << 10;

/// Why a connection ended.
#[derive(Debug)]
pub enum SessionError {
    /// The socket failed.
    Io(io::Error),
    /// The peer sent something that was refused.
    Wire(WireError),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Wire(error) => write!(f, "connection refused: {error}"),
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

/// End of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Opened the connection.
    Opener,
    /// Accepted it.
    Acceptor,
}

/// Receiving half.
pub struct SessionReader<R> {
    stream: R,
    frames: FrameReader,
    buffer: Vec<u8>,
}

/// Sending half.
pub struct SessionWriter<W> {
    stream: W,
    frames: FrameWriter,
    buffer: Vec<u8>,
}

/// Does the opening exchange. The caller bounds its time.
///
/// # Errors
///
/// `Io` if the socket fails or the peer closes it.
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
    let mut theirs = [0; NONCE_BYTES];
    stream.read_exact(&mut theirs).await?;
    let (first, second) = match end {
        End::Opener => (random, theirs),
        End::Acceptor => (theirs, random),
    };
    let mut nonce: ConnectionNonce = [0; 2 * NONCE_BYTES];
    nonce[..NONCE_BYTES].copy_from_slice(&first);
    nonce[NONCE_BYTES..].copy_from_slice(&second);
    let (ours, peers) = match end {
        End::Opener => (0, 1),
        End::Acceptor => (1, 0),
    };
    let reader = SessionReader {
        stream: stream.clone(),
        frames: FrameReader::new(keys.clone(), nonce, peers),
        buffer: vec![0; READ_BYTES],
    };
    let writer = SessionWriter {
        stream,
        frames: FrameWriter::new(keys.clone(), nonce, ours),
        buffer: Vec::new(),
    };
    Ok((reader, writer))
}

impl<R: AsyncRead + Unpin> SessionReader<R> {
    /// Next message; `None` when the peer closed the connection between frames.
    ///
    /// # Errors
    ///
    /// `Io` if the socket fails, `Wire` if a frame is refused. The connection is of no use then.
    pub async fn next_message<M: DeserializeOwned>(&mut self) -> Result<Option<M>, SessionError> {
        loop {
            if let Some(message) = self.frames.next_message()? {
                return Ok(Some(message));
            }
            let bytes = self.stream.read(&mut self.buffer).await?;
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
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// `Io` if the socket fails, `Wire` if the message is too long.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), SessionError> {
        self.frames.write(message, &mut self.buffer)?;
        self.flush().await
    }

    /// Sends messages from a channel, many in one write, until the channel is closed.
    ///
    /// # Errors
    ///
    /// `Io` if the socket fails, `Wire` if a message is too long.
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
