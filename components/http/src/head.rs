//! Checks of request heads in front of `async-h1`.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::io;
use futures_lite::io::Cursor;

use crate::body::Framing;

/// Largest head that is handed to `async-h1`, whose own limit is 8 KiB.
const DECODER_LIMIT_BYTES: usize = 8000;
/// Longest request line; it always has to fit into the decoder's limit.
const REQUEST_LINE_LIMIT_BYTES: usize = 4096;

/// A decoded head of a request.
#[derive(Debug)]
pub struct Head {
    /// Method, URL and fields; without a body.
    pub request: http_types::Request,
    /// Request target as it was sent; a URL normalizes it.
    pub target: String,
    /// Value of the `Host` field.
    pub host: String,
    /// How the end of the body is found.
    pub framing: Framing,
    /// The peer waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The peer asked to close the connection after the answer.
    pub close: bool,
}

/// A head that is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadError {
    /// HTTP status of the answer.
    pub status: u16,
    /// Field at fault, if it is one field.
    pub field: Option<String>,
    /// For the caller's developer.
    pub detail: &'static str,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.detail)
    }
}

impl std::error::Error for HeadError {}

impl HeadError {
    pub(crate) fn new(status: u16, detail: &'static str) -> Self {
        Self {
            status,
            field: None,
            detail,
        }
    }

    fn in_field(status: u16, field: &str, detail: &'static str) -> Self {
        Self {
            status,
            field: Some(field.to_owned()),
            detail,
        }
    }
}

/// Decodes a head that ends with an empty line.
///
/// # Errors
///
/// The status and text to answer with.
pub fn parse_head(bytes: &[u8], field_limit: usize) -> Result<Head, HeadError> {
    let text = checked_text(bytes)?;
    let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
    let request_line = lines
        .next()
        .ok_or_else(|| HeadError::new(400, "the request line is missing"))?;
    check_request_line(request_line)?;
    let mut fields = Fields::default();
    for (index, line) in lines.enumerate() {
        if index >= field_limit {
            return Err(HeadError::new(431, "the head has too many fields"));
        }
        fields.add(line)?;
    }
    let host = fields
        .host
        .ok_or_else(|| HeadError::in_field(400, "Host", "the field is missing"))?;
    let framing = fields.framing()?;
    let (decodable, rest) = split_fields(request_line, host, &fields.others);
    let mut request = decode(decodable)?;
    for (name, value) in rest {
        request.append_header(name, value);
    }
    Ok(Head {
        request,
        target: request_target(request_line).to_owned(),
        host: host.to_owned(),
        framing,
        expects_continue: fields.expects_continue,
        close: fields.close,
    })
}

/// `async-h1` panics on field values that are not ASCII and accepts bare line feeds.
fn checked_text(bytes: &[u8]) -> Result<&str, HeadError> {
    let mut previous = 0;
    for &byte in bytes {
        let allowed = match byte {
            b'\n' => previous == b'\r',
            b'\r' | b'\t' => true,
            _ => (b' '..=b'~').contains(&byte),
        };
        if !allowed || (previous == b'\r' && byte != b'\n') {
            return Err(HeadError::new(
                400,
                "the head has a byte that is not printable ASCII, or a line without CR LF",
            ));
        }
        previous = byte;
    }
    std::str::from_utf8(bytes).map_err(|_| HeadError::new(400, "the head is not ASCII"))
}

fn check_request_line(line: &str) -> Result<(), HeadError> {
    if line.len() > REQUEST_LINE_LIMIT_BYTES {
        return Err(HeadError::new(414, "the request line is too long"));
    }
    if line.ends_with(" HTTP/1.1") {
        return Ok(());
    }
    if line.contains(" HTTP/") {
        return Err(HeadError::new(505, "only HTTP/1.1 is spoken here"));
    }
    Err(HeadError::new(400, "the request line is malformed"))
}

fn request_target(request_line: &str) -> &str {
    request_line.split(' ').nth(1).unwrap_or_default()
}

#[derive(Default)]
struct Fields<'a> {
    host: Option<&'a str>,
    length: Option<u64>,
    chunked: bool,
    expects_continue: bool,
    close: bool,
    others: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn add(&mut self, line: &'a str) -> Result<(), HeadError> {
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| HeadError::new(400, "a field of the head has no colon"))?;
        if name.is_empty() || !name.bytes().all(is_token) {
            return Err(HeadError::new(400, "a field name of the head is malformed"));
        }
        let value = value.trim_matches([' ', '\t']);
        if name.eq_ignore_ascii_case("host") {
            if self.host.replace(value).is_some() {
                return Err(HeadError::in_field(400, "Host", "the field appears twice"));
            }
        } else if name.eq_ignore_ascii_case("content-length") {
            self.add_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.add_encoding(value)?;
        } else if name.eq_ignore_ascii_case("expect") {
            if !value.eq_ignore_ascii_case("100-continue") {
                return Err(HeadError::in_field(
                    417,
                    "Expect",
                    "only 100-continue is understood",
                ));
            }
            self.expects_continue = true;
        } else {
            if name.eq_ignore_ascii_case("connection") {
                self.close |= value
                    .split(',')
                    .any(|option| option.trim().eq_ignore_ascii_case("close"));
            }
            self.others.push((name, value));
        }
        Ok(())
    }

    fn add_length(&mut self, value: &str) -> Result<(), HeadError> {
        let digits_only = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let length = value.parse().ok().filter(|_| digits_only).ok_or_else(|| {
            HeadError::in_field(400, "Content-Length", "the value must be one number")
        })?;
        if self.length.replace(length).is_some() {
            return Err(HeadError::in_field(
                400,
                "Content-Length",
                "the field appears twice",
            ));
        }
        Ok(())
    }

    fn add_encoding(&mut self, value: &str) -> Result<(), HeadError> {
        if self.chunked || !value.eq_ignore_ascii_case("chunked") {
            return Err(HeadError::in_field(
                501,
                "Transfer-Encoding",
                "only a single `chunked` is understood",
            ));
        }
        self.chunked = true;
        Ok(())
    }

    fn framing(&self) -> Result<Framing, HeadError> {
        match (self.length, self.chunked) {
            (Some(_), true) => Err(HeadError::in_field(
                400,
                "Content-Length",
                "the field contradicts Transfer-Encoding",
            )),
            (_, true) => Ok(Framing::Chunked),
            (length, false) => Ok(Framing::Length(length.unwrap_or(0))),
        }
    }
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Builds the head for `async-h1`, and the fields that do not fit into its limit.
fn split_fields<'a>(
    request_line: &str,
    host: &str,
    fields: &[(&'a str, &'a str)],
) -> (Vec<u8>, Vec<(&'a str, &'a str)>) {
    let mut head = Vec::with_capacity(512);
    let mut rest = Vec::new();
    push_parts(&mut head, &[request_line, "\r\nHost: ", host, "\r\n"]);
    for &(name, value) in fields {
        if head.len() + name.len() + value.len() + 6 > DECODER_LIMIT_BYTES {
            rest.push((name, value));
        } else {
            push_parts(&mut head, &[name, ": ", value, "\r\n"]);
        }
    }
    head.extend_from_slice(b"\r\n");
    (head, rest)
}

fn push_parts(out: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        out.extend_from_slice(part.as_bytes());
    }
}

fn decode(head: Vec<u8>) -> Result<http_types::Request, HeadError> {
    let decoding = async_h1::server::decode(HeadBytes(Cursor::new(head.into())));
    // All bytes are in memory, so the decoder is never pending.
    match futures_lite::future::block_on(futures_lite::future::poll_once(decoding)) {
        Some(Ok(Some((request, _)))) => Ok(request),
        _ => Err(HeadError::new(
            400,
            "the method, the request target or the Host field is malformed",
        )),
    }
}

/// A whole head in memory, as `async-h1` wants its connection.
#[derive(Clone)]
struct HeadBytes(Cursor<Arc<[u8]>>);

impl AsyncRead for HeadBytes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for HeadBytes {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
