//! Request heads: validation, and decoding with `async-h1`.

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

/// Largest head that is passed to `async-h1`, whose own limit is 8 KiB.
const DECODER_LIMIT_BYTES: usize = 8000;
/// Longest request line; it has to fit into `DECODER_LIMIT_BYTES`.
const REQUEST_LINE_LIMIT_BYTES: usize = 4096;

/// A decoded head of a request.
#[derive(Debug)]
pub struct Head {
    /// Method, URL and header fields; the body is empty.
    pub request: http_types::Request,
    /// Request target as received; the URL in `request` is normalized.
    pub target: String,
    /// Value of the `Host` field.
    pub host: String,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// The client sent `Expect: 100-continue`.
    pub expects_continue: bool,
    /// The client sent `Connection: close`.
    pub is_close_requested: bool,
}

/// A request head that is malformed or exceeds a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadError {
    /// HTTP status of the response.
    pub status: u16,
    /// Header field with the error, if it is in a single field.
    pub field: Option<String>,
    /// Explanation for the developer of the client.
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

    fn for_field(status: u16, field: &str, detail: &'static str) -> Self {
        Self {
            status,
            field: Some(field.to_owned()),
            detail,
        }
    }
}

/// Decodes a complete head, including the empty line at its end.
///
/// # Errors
///
/// The status and text of the response.
pub fn parse_head(bytes: &[u8], field_limit: usize) -> Result<Head, HeadError> {
    let text = validate_text(bytes)?;
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
        .ok_or_else(|| HeadError::for_field(400, "Host", "the field is missing"))?;
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
        is_close_requested: fields.is_close_requested,
    })
}

/// Allows only printable ASCII, tabs and CR LF: `async-h1` panics on field values that are not
/// ASCII and accepts bare line feeds.
fn validate_text(bytes: &[u8]) -> Result<&str, HeadError> {
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
                "the head contains a byte that is not printable ASCII, or a bare CR or LF",
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
        return Err(HeadError::new(505, "only HTTP/1.1 is supported"));
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
    is_chunked: bool,
    expects_continue: bool,
    is_close_requested: bool,
    others: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn add(&mut self, line: &'a str) -> Result<(), HeadError> {
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| HeadError::new(400, "a header field has no colon"))?;
        if name.is_empty() || !name.bytes().all(is_token_char) {
            return Err(HeadError::new(400, "a header field name is malformed"));
        }
        let value = value.trim_matches([' ', '\t']);
        if name.eq_ignore_ascii_case("host") {
            if self.host.replace(value).is_some() {
                return Err(HeadError::for_field(400, "Host", "the field appears twice"));
            }
        } else if name.eq_ignore_ascii_case("content-length") {
            self.add_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.add_encoding(value)?;
        } else if name.eq_ignore_ascii_case("expect") {
            if !value.eq_ignore_ascii_case("100-continue") {
                return Err(HeadError::for_field(
                    417,
                    "Expect",
                    "only 100-continue is supported",
                ));
            }
            self.expects_continue = true;
        } else {
            if name.eq_ignore_ascii_case("connection") {
                self.is_close_requested |= value
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
            HeadError::for_field(
                400,
                "Content-Length",
                "the value must be a single decimal number",
            )
        })?;
        if self.length.replace(length).is_some() {
            return Err(HeadError::for_field(
                400,
                "Content-Length",
                "the field appears twice",
            ));
        }
        Ok(())
    }

    fn add_encoding(&mut self, value: &str) -> Result<(), HeadError> {
        if self.is_chunked || !value.eq_ignore_ascii_case("chunked") {
            return Err(HeadError::for_field(
                501,
                "Transfer-Encoding",
                "only a single `chunked` is supported",
            ));
        }
        self.is_chunked = true;
        Ok(())
    }

    fn framing(&self) -> Result<Framing, HeadError> {
        match (self.length, self.is_chunked) {
            (Some(_), true) => Err(HeadError::for_field(
                400,
                "Content-Length",
                "the field is not allowed together with Transfer-Encoding",
            )),
            (_, true) => Ok(Framing::Chunked),
            (length, false) => Ok(Framing::Length(length.unwrap_or(0))),
        }
    }
}

fn is_token_char(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Encodes as many fields as fit into the limit of `async-h1`; returns the others separately.
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
    // All input is in memory, so the decoder never returns pending.
    match futures_lite::future::block_on(futures_lite::future::poll_once(decoding)) {
        Some(Ok(Some((request, _)))) => Ok(request),
        _ => Err(HeadError::new(
            400,
            "the method, the request target or the Host field is malformed",
        )),
    }
}

/// In-memory head that implements the reader and writer traits which `async-h1` requires.
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
