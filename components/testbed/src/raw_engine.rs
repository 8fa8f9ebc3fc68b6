//! Stand-in for an engine whose bytes a test writes itself.

use std::future::Future;
use std::rc::Rc;

use futures_lite::AsyncReadExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Passes the head of the first request on each connection to `answer`, with the connection.
pub async fn serve<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    answer: Rc<impl Fn(String, TcpStream) -> F + 'static>,
) {
    let tasks = smol::LocalExecutor::new();
    let accepting = async {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let serving = async move {
                let mut stream = stream;
                if let Some(head) = read_head(&mut stream).await {
                    answer(head, stream).await;
                }
            };
            tasks.spawn(serving).detach();
        }
    };
    tasks.run(accepting).await;
}

/// Reads the head of a request; `None` if the connection is closed before its end.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Id of the request with this head.
#[must_use]
pub fn request_id(head: &str) -> &str {
    let mut fields = head.lines();
    let id = fields.find_map(|line| line.strip_prefix("x-attempt-id: "));
    id.unwrap_or_default()
}

/// Head of an answer with an event stream that ends with its connection.
#[must_use]
pub fn stream_head(head: &str) -> String {
    let id = request_id(head);
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: raw.{id}\r\n\
         Content-Type: text/event-stream\r\n\r\n"
    )
}

/// The same for an answer in chunks.
#[must_use]
pub fn chunked_stream_head(head: &str) -> String {
    let fields = stream_head(head);
    fields.trim_end().to_owned() + "\r\nTransfer-Encoding: chunked\r\n\r\n"
}

/// Head of an answer that states that the request has not run.
#[must_use]
pub fn refusal_head(head: &str, length: usize) -> String {
    let id = request_id(head);
    format!(
        "HTTP/1.1 503 Busy\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Whole answer of a plain service, with or without the id of its request.
#[must_use]
pub fn plain_answer(head: &str, has_id: bool) -> String {
    let id = request_id(head);
    let body = format!("answer to {id}");
    let length = body.len();
    let id_field = if has_id {
        format!("X-Attempt-Id: {id}\r\n")
    } else {
        String::new()
    };
    format!(
        "HTTP/1.1 200 OK\r\n{id_field}X-Response-Signature: raw.{id}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Answer to a prefill, with a handle that no engine knows.
#[must_use]
pub fn prefill_answer(head: &str) -> String {
    let id = request_id(head);
    let body = r#"{"handle":"unknown","tokens":1,"version":1}"#;
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}
