//! Server: valid, malformed, slow and disconnecting clients, and the limits.

mod common;

use std::time::Duration;

use common::read_to_end;
use common::send_raw;
use common::wait_for_event;
use common::with_server;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http::ServerLimits;
use smol::net::TcpStream;

fn limits() -> ServerLimits {
    ServerLimits {
        head_ms: Duration::from_millis(200),
        body_ms: Duration::from_millis(200),
        idle_ms: Duration::from_millis(400),
        ..ServerLimits::default()
    }
}

// Guards against a decoder that reads ahead and loses the next pipelined request.
#[test]
fn answers_pipelined_requests_in_order() {
    with_server(limits(), |server| async move {
        let requests = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab\
             POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n\
             GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = send_raw(server.addr, requests.as_bytes()).await;
        assert_eq!(answer.matches("HTTP/1.1 200").count(), 3, "{answer}");
        assert!(answer.find("slow").unwrap() < answer.find("xyz").unwrap());
    });
}

// Guards against request smuggling, panics in `async-h1` and heads of unlimited size.
#[test]
fn rejects_malformed_requests_without_running_the_handler() {
    with_server(limits(), |server| async move {
        let many = "X: y\r\n".repeat(65);
        let long = "x".repeat(17 << 10);
        let cases = [
            ("GET / HTTP/1.1\r\nHost: a\r\nX: \u{e9}\r\n\r\n".into(), 400),
            ("GET / HTTP/1.1\r\n\r\n".into(), 400),
            ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".into(), 400),
            ("GET / HTTP/1.1\nHost: a\r\n\r\n".into(), 400),
            ("GET / HTTP/1.0\r\nHost: a\r\n\r\n".into(), 505),
            ("bad\r\n\r\n".into(), 400),
            ("GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n".into(), 400),
            ("GET / HTTP/1.1\r\nHost: a\r\nX : y\r\n\r\n".into(), 400),
            (format!("GET / HTTP/1.1\r\nHost: a\r\n{many}\r\n"), 431),
            (format!("GET / HTTP/1.1\r\nHost: a\r\nX: {long}\r\n\r\n"), 431),
            (long.clone(), 431),
            (format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", &long[..5000]), 414),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx".into(), 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx".into(), 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx".into(), 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nx".into(), 501),
            ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into(), 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n".into(), 413),
        ];
        for (request, status) in cases {
            let answer = send_raw(server.addr, request.as_bytes()).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{} got {answer}",
                &request[..request.len().min(80)]
            );
            assert!(answer.contains("application/problem+json"), "{answer}");
        }
        assert!(server.echo.events.borrow().is_empty());
    });
}

// Guards against rejecting heads above the 8 KiB limit of `async-h1`; the server's limit is 16 KiB.
#[test]
fn accepts_heads_larger_than_the_limit_of_the_decoder() {
    with_server(limits(), |server| async move {
        let cookie = "c".repeat(12 << 10);
        let request =
            format!("GET / HTTP/1.1\r\nHost: a\r\nCookie: {cookie}\r\nConnection: close\r\n\r\n");
        let answer = send_raw(server.addr, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

// Guards against connections that stay open because of incomplete requests.
#[test]
fn times_out_incomplete_requests() {
    with_server(limits(), |server| async move {
        let head = send_raw(server.addr, b"GET / HTTP/1.1\r\nHo").await;
        assert!(head.starts_with("HTTP/1.1 408"), "{head}");
        let body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf";
        let body = send_raw(server.addr, body).await;
        assert!(body.starts_with("HTTP/1.1 408"), "{body}");
        assert_eq!(send_raw(server.addr, b"").await, "");
        assert!(server.echo.events.borrow().is_empty());
    });
}

// Guards against work for clients that have disconnected.
#[test]
fn reports_hang_ups_to_the_handler() {
    with_server(limits(), |server| async move {
        for path in ["/never", "/endless"] {
            let mut stream = TcpStream::connect(server.addr).await.unwrap();
            let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
            stream.write_all(request.as_bytes()).await.unwrap();
            assert!(wait_for_event(&server.echo, &format!("run {path}")).await);
            drop(stream);
            assert!(wait_for_event(&server.echo, &format!("hung up {path}")).await);
        }
    });
}

// Guards against a shutdown that aborts a request or waits for idle connections.
#[test]
fn finishes_requests_in_progress_when_stopped() {
    with_server(ServerLimits::default(), |server| async move {
        let mut idle = TcpStream::connect(server.addr).await.unwrap();
        let mut busy = TcpStream::connect(server.addr).await.unwrap();
        busy.write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        assert!(wait_for_event(&server.echo, "run /slow").await);
        server.stop.close();
        assert_eq!(read_to_end(&mut idle).await, "");
        let answer = read_to_end(&mut busy).await;
        assert!(answer.ends_with("slow"), "{answer}");
        assert!(server.serve_ended.recv().await.is_err());
    });
}

// Guards against unlimited memory use by many connections.
#[test]
fn rejects_connections_above_the_limit() {
    let limits = ServerLimits {
        connections: 1,
        ..limits()
    };
    with_server(limits, |server| async move {
        let mut first = TcpStream::connect(server.addr).await.unwrap();
        first
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let mut byte = [0; 1];
        first.read_exact(&mut byte).await.unwrap();
        let answer = send_raw(server.addr, b"").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("not-run"), "{answer}");
    });
}

// Guards against `100 Continue` for a request that is rejected by its head.
#[test]
fn sends_100_continue_only_if_the_request_is_admitted() {
    with_server(limits(), |server| async move {
        let head = "HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n";
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        stream
            .write_all(format!("POST / {head}").as_bytes())
            .await
            .unwrap();
        let mut interim = [0; 25];
        stream.read_exact(&mut interim).await.unwrap();
        assert!(interim.starts_with(b"HTTP/1.1 100"));
        stream.write_all(b"ok").await.unwrap();
        assert!(read_to_end(&mut stream).await.ends_with("ok"));
        let refused = send_raw(server.addr, format!("POST /unknown {head}").as_bytes()).await;
        assert!(refused.starts_with("HTTP/1.1 404"), "{refused}");
    });
}

// Guards against unlimited memory use by many bodies that are each within the limit of one body.
#[test]
fn rejects_bodies_above_the_limit_on_buffered_bytes() {
    let limits = ServerLimits {
        buffered_bodies_limit_bytes: 1500,
        ..ServerLimits::default()
    };
    with_server(limits, |server| async move {
        let request = |path: &str| {
            let body = "x".repeat(1000);
            format!(
                "POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n{body}"
            )
        };
        let mut first = TcpStream::connect(server.addr).await.unwrap();
        first.write_all(request("/never").as_bytes()).await.unwrap();
        assert!(wait_for_event(&server.echo, "run /never").await);
        let refused = send_raw(server.addr, request("/b").as_bytes()).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.contains("\"run\":\"not-run\""), "{refused}");
        drop(first);
        assert!(wait_for_event(&server.echo, "hung up /never").await);
        let accepted = send_raw(server.addr, request("/b").as_bytes()).await;
        assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
    });
}

// Guards against empty lines that reset the idle timeout.
#[test]
fn closes_idle_connections_that_send_only_empty_lines() {
    with_server(limits(), |server| async move {
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        let mut writer = stream.clone();
        let lines = async {
            while writer.write_all(b"\r\n").await.is_ok() {
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        };
        let closed = async {
            assert_eq!(read_to_end(&mut stream).await, "");
        };
        futures_lite::future::or(lines, closed).await;
    });
}

// Guards against a body after a response that must not have one, which a peer would decode as the
// next response.
#[test]
fn sends_no_body_where_the_status_allows_none() {
    with_server(limits(), |server| async move {
        for path in ["/no-content", "/not-modified"] {
            let request = format!(
                "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n\
                 HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\n\
                 GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            );
            let answer = send_raw(server.addr, request.as_bytes()).await;
            let heads: Vec<&str> = answer.split("\r\n\r\n").collect();
            assert_eq!(heads.len(), 4, "{answer}");
            assert!(heads[..3].iter().all(|head| head.starts_with("HTTP/1.1 ")));
            assert_eq!(heads[3], "");
            assert!(!heads[0].contains("transfer-encoding"), "{answer}");
        }
    });
}

/// Sends a request with blocking calls, so that the server does not run meanwhile.
fn send_blocking(stream: &mut std::net::TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    std::io::Write::write_all(stream, request.as_bytes()).unwrap();
}

fn connect_blocking(server: &common::TestServer) -> std::net::TcpStream {
    std::net::TcpStream::connect(server.addr).unwrap()
}

async fn answer_of(stream: std::net::TcpStream) -> String {
    stream.set_nonblocking(true).unwrap();
    let mut stream = TcpStream::try_from(stream).unwrap();
    read_to_end(&mut stream).await
}

// Operators of similar systems: requests were cut off without an answer during a planned stop.
#[test]
fn requests_on_connections_that_wait_to_be_accepted_at_a_stop_are_answered() {
    with_server(limits(), |server| async move {
        let mut streams: Vec<_> = (0..20).map(|_| connect_blocking(&server)).collect();
        for stream in &mut streams {
            send_blocking(stream, "/b");
        }
        server.stop.close();
        for stream in streams {
            let answer = answer_of(stream).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert!(server.serve_ended.recv().await.is_err());
    });
}

// The second request had arrived, and the connection was closed without reading it.
#[test]
fn request_on_an_idle_connection_that_arrives_with_a_stop_is_answered() {
    with_server(limits(), |server| async move {
        let mut stream = connect_blocking(&server);
        send_blocking(&mut stream, "/first");
        assert!(wait_for_event(&server.echo, "run /first").await);
        smol::Timer::after(Duration::from_millis(20)).await;
        send_blocking(&mut stream, "/second");
        server.stop.close();
        let answer = answer_of(stream).await;
        assert_eq!(answer.matches("HTTP/1.1 200").count(), 2, "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    });
}

// A client connects and sends its first request at once; the request may arrive a little later.
#[test]
fn first_request_of_a_connection_that_was_opened_before_a_stop_is_answered() {
    with_server(limits(), |server| async move {
        let mut stream = connect_blocking(&server);
        smol::Timer::after(Duration::from_millis(20)).await;
        server.stop.close();
        smol::Timer::after(Duration::from_millis(20)).await;
        send_blocking(&mut stream, "/late");
        let answer = answer_of(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

// The head of a 504 was written where the size of the next chunk was due.
#[test]
fn second_head_closes_the_connection_and_reaches_no_client() {
    with_server(limits(), |server| async move {
        for (path, begin) in [
            ("second-head", "4\r\nhalf\r\n"),
            ("second-response", "first"),
            ("no-head", ""),
        ] {
            let request = format!("GET /{path} HTTP/1.1\r\nHost: a\r\n\r\n");
            let answer = send_raw(server.addr, request.as_bytes()).await;
            let heads = answer.matches("HTTP/1.1").count();
            assert_eq!(heads, usize::from(path != "no-head"), "{path}: {answer}");
            assert!(answer.ends_with(begin), "{path}: {answer}");
        }
    });
}
