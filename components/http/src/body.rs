//! Decoder of message bodies: `Content-Length`, chunked, or until the connection closes.

use std::fmt;

/// Longest chunk size line, including chunk extensions.
const SIZE_LINE_LIMIT_BYTES: usize = 256;
/// Longest trailer section; trailers are read and discarded.
const TRAILER_LIMIT_BYTES: usize = 4096;

/// How the end of a message body is determined (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`; 0 for a message without a body.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Neither; the body of a response ends when the peer closes the connection.
    UntilClose,
}

/// Violation of the chunked transfer encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The size of a chunk is not a hexadecimal number below 2^60, or its line is too long.
    ChunkSize,
    /// A chunk or a line does not end with CR LF.
    LineEnd,
    /// The trailer section is too long.
    Trailers,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ChunkSize => "a chunk size is not a hexadecimal number below 2^60",
            Self::LineEnd => "a chunk or a line of the chunked encoding does not end with CR LF",
            Self::Trailers => "the trailer section is too long",
        })
    }
}

impl std::error::Error for BodyError {}

/// What the decoder expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Data,
    Size { digits: u8, line_bytes: usize },
    SizeExtension { line_bytes: usize },
    SizeLf,
    ChunkData,
    ChunkCr,
    ChunkLf,
    TrailerStart { bytes: usize },
    TrailerLine { bytes: usize },
    TrailerLf { bytes: usize },
    LastLf,
    Done,
}

/// Incremental decoder of one body.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: State,
    remaining: u64,
}

impl BodyDecoder {
    /// A decoder at the first byte of a body.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self {
                state: State::Done,
                remaining: 0,
            },
            Framing::Length(length) => Self {
                state: State::Data,
                remaining: length,
            },
            Framing::UntilClose => Self {
                state: State::Data,
                remaining: u64::MAX,
            },
            Framing::Chunked => Self {
                state: State::Size {
                    digits: 0,
                    line_bytes: 0,
                },
                remaining: 0,
            },
        }
    }

    /// Whether the end of the body was decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Appends decoded data to `out` and returns how many bytes of `input` were consumed. Bytes
    /// after the end of the body are not consumed.
    ///
    /// # Errors
    ///
    /// The first violation of the chunked encoding.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let mut at = 0;
        while at < input.len() && !self.is_done() {
            if matches!(self.state, State::Data | State::ChunkData) {
                at += self.copy_data(&input[at..], out);
            } else {
                self.state = self.step(input[at])?;
                at += 1;
            }
        }
        Ok(at)
    }

    fn copy_data(&mut self, input: &[u8], out: &mut Vec<u8>) -> usize {
        let left = usize::try_from(self.remaining).unwrap_or(usize::MAX);
        let count = input.len().min(left);
        out.extend_from_slice(&input[..count]);
        self.remaining -= count as u64;
        if self.remaining == 0 {
            self.state = match self.state {
                State::Data => State::Done,
                _ => State::ChunkCr,
            };
        }
        count
    }

    fn step(&mut self, byte: u8) -> Result<State, BodyError> {
        match self.state {
            State::Size { digits, line_bytes } => self.step_size(byte, digits, line_bytes),
            State::SizeExtension { line_bytes } => match byte {
                b'\r' => Ok(State::SizeLf),
                b'\n' => Err(BodyError::LineEnd),
                _ if line_bytes >= SIZE_LINE_LIMIT_BYTES => Err(BodyError::ChunkSize),
                _ => Ok(State::SizeExtension {
                    line_bytes: line_bytes + 1,
                }),
            },
            State::SizeLf if self.remaining == 0 => {
                expect_byte(byte, b'\n', State::TrailerStart { bytes: 0 })
            }
            State::SizeLf => expect_byte(byte, b'\n', State::ChunkData),
            State::ChunkCr => expect_byte(byte, b'\r', State::ChunkLf),
            State::ChunkLf => expect_byte(
                byte,
                b'\n',
                State::Size {
                    digits: 0,
                    line_bytes: 0,
                },
            ),
            State::TrailerStart { .. } if byte == b'\r' => Ok(State::LastLf),
            State::TrailerStart { bytes } | State::TrailerLine { bytes } => match byte {
                b'\r' => Ok(State::TrailerLf { bytes }),
                b'\n' => Err(BodyError::LineEnd),
                _ if bytes >= TRAILER_LIMIT_BYTES => Err(BodyError::Trailers),
                _ => Ok(State::TrailerLine { bytes: bytes + 1 }),
            },
            State::TrailerLf { bytes } => expect_byte(byte, b'\n', State::TrailerStart { bytes }),
            State::LastLf => expect_byte(byte, b'\n', State::Done),
            State::Data | State::ChunkData | State::Done => Ok(self.state),
        }
    }

    fn step_size(&mut self, byte: u8, digits: u8, line_bytes: usize) -> Result<State, BodyError> {
        if let Some(digit) = char::from(byte).to_digit(16) {
            // A size of 15 hexadecimal digits fits into 64 bits.
            if digits >= 15 {
                return Err(BodyError::ChunkSize);
            }
            self.remaining = self.remaining * 16 + u64::from(digit);
            return Ok(State::Size {
                digits: digits + 1,
                line_bytes: line_bytes + 1,
            });
        }
        match byte {
            _ if digits == 0 => Err(BodyError::ChunkSize),
            b'\r' => Ok(State::SizeLf),
            b';' | b' ' | b'\t' => Ok(State::SizeExtension { line_bytes }),
            _ => Err(BodyError::ChunkSize),
        }
    }
}

fn expect_byte(byte: u8, expected: u8, next: State) -> Result<State, BodyError> {
    if byte == expected {
        Ok(next)
    } else {
        Err(BodyError::LineEnd)
    }
}
