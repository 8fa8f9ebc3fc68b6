//! Gateway processes in front of engines whose bytes are not what HTTP servers send.

mod common;

use std::cell::Cell;
use std::future::Future;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::with_gateway;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http::BufferedResponse;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use standin::staged_engine::Stage;
use testbed::GatewayTestbed;
use testbed::gateways::TestRequest;
use testbed::gateways::prompt_head;
use testbed::gateways::send;
use testbed::raw_engine;
use testbed::raw_engine::chunked_stream_head;
use testbed::raw_engine::plain_answer;
use testbed::raw_engine::prefill_answer;
use testbed::raw_engine::read_head;
use testbed::raw_engine::refusal_head;
use testbed::raw_engine::request_id;
use testbed::raw_engine::stream_head;

/// Time that callers wait for an answer.
const CALLER_TIMEOUT_MS: Duration = Duration::from_secs(3);
/// Time after which a call is taken as endless; its deadline is earlier.
const ENDLESS_MS: Duration = Duration::from_secs(8);
/// Time in which gateways learn of a change of engines.
const CHANGE_MS: Duration = Duration::from_secs(2);

/// Replaces all engines of a stage by one server, which passes each request's head and connection
/// to `answer`.
async fn replace_engines<F: Future<Output = ()> + 'static>(
    testbed: &mut GatewayTestbed,
    stage: Stage,
    answer: impl Fn(String, TcpStream) -> F + 'static,
) -> eyre::Result<()> {
    let names: Vec<String> = testbed
        .engines
        .iter()
        .filter(|(engine, _)| engine.stage == stage)
        .map(|(engine, _)| engine.name.clone())
        .collect();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    testbed.spawn(raw_engine::serve(listener, Rc::new(answer)));
    for name in &names {
        testbed.set_address(name, address);
        testbed.register(name, "ready");
    }
    Timer::after(CHANGE_MS).await;
    Ok(())
}

async fn request(
    testbed: &GatewayTestbed,
    id: &str,
    path: &str,
) -> Result<BufferedResponse, ClientError> {
    let client = Client::new(testbed.gateways[0].callers, ClientLimits::default());
    let is_model = path.starts_with("/draft/") || path.starts_with("/tag/");
    let request = TestRequest {
        id,
        path,
        timeout_ms: CALLER_TIMEOUT_MS,
        tokens: is_model.then_some(4_000),
        part: None,
        resumes: None,
    };
    let endless = async {
        Timer::after(ENDLESS_MS).await;
        panic!("the call of {id} does not end");
    };
    smol::future::or(send(&client, &request), endless).await
}

fn body(response: &BufferedResponse) -> &str {
    std::str::from_utf8(&response.body).unwrap_or_default()
}

const TWO_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

#[test]
fn stream_without_length_or_chunks_that_ends_after_an_event_is_complete() {
    with_gateway("raw-unframed", async |mut testbed| {
        replace_engines(&mut testbed, Stage::Decode, async |head, mut stream| {
            let answer = stream_head(&head) + TWO_EVENTS;
            let _ = stream.write_all(answer.as_bytes()).await;
        })
        .await?;
        for path in ["/draft/1", "/tag/1"] {
            assert_eq!(body(&request(&testbed, "a1", path).await?), TWO_EVENTS);
        }
        Ok(())
    });
}

// Such a stream was passed on as complete if it had no event at all.
#[test]
fn stream_without_length_or_chunks_that_ends_inside_an_event_is_broken_off() {
    with_gateway("raw-broken", async |mut testbed| {
        replace_engines(&mut testbed, Stage::Decode, async |head, mut stream| {
            let events = if request_id(&head).starts_with("none") {
                ""
            } else {
                "id: 1\ndata: a\n\nid: 2\nda"
            };
            let answer = stream_head(&head) + events;
            let _ = stream.write_all(answer.as_bytes()).await;
        })
        .await?;
        let inside = request(&testbed, "inside", "/draft/1").await;
        assert!(inside.is_err(), "{inside:?}");
        let none = request(&testbed, "none", "/draft/2").await?;
        assert_eq!(u16::from(none.status), 502);
        Ok(())
    });
}

#[test]
fn resumable_stream_without_length_or_chunks_goes_on_after_its_last_whole_event() {
    with_gateway("raw-resumed", async |mut testbed| {
        replace_engines(&mut testbed, Stage::Decode, async |head, mut stream| {
            let events = if head.contains("last-event-id: 1\r\n") {
                "id: 2\ndata: b\n\n"
            } else {
                "id: 1\ndata: a\n\nid: 2\nda"
            };
            let answer = stream_head(&head) + events;
            let _ = stream.write_all(answer.as_bytes()).await;
        })
        .await?;
        // The budget of retries grows with the requests.
        for number in 0..20 {
            let _ = request(&testbed, &format!("first-{number}"), "/draft/1").await;
        }
        let response = request(&testbed, "resumed", "/tag/1").await?;
        assert_eq!(body(&response), TWO_EVENTS);
        Ok(())
    });
}

// Engines in trouble send bytes until the caller closes.
#[test]
fn bytes_without_end_end_the_request_and_leave_the_gateway_serving() {
    with_gateway("raw-endless", async |mut testbed| {
        replace_engines(&mut testbed, Stage::Decode, async |head, mut stream| {
            let (start, rest) = match request_id(&head) {
                "event" => (stream_head(&head), "data: xxxxxxxxxxxxxxxxxxxx\n"),
                "head" => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
                _ => (stream_head(&head), "data: x\n\n"),
            };
            let rest = rest.repeat(1_000);
            let mut sent = stream.write_all(start.as_bytes()).await;
            while sent.is_ok() {
                sent = stream.write_all(rest.as_bytes()).await;
            }
        })
        .await?;
        for (id, path) in [("event", "/draft/1"), ("head", "/draft/2")] {
            let response = request(&testbed, id, path).await?;
            assert_eq!(u16::from(response.status), 502, "{id}");
            assert_eq!(
                u16::from(request(&testbed, "b", "/read/1").await?.status),
                200
            );
        }
        let stream = request(&testbed, "stream", "/draft/3").await;
        assert!(stream.is_err(), "a stream without end appears complete");
        assert_eq!(
            u16::from(request(&testbed, "c", "/read/1").await?.status),
            200
        );
        Ok(())
    });
}

// The refusal of a request was read for as long as bytes came.
#[test]
fn refusal_whose_body_has_no_end_does_not_hold_up_the_request() {
    with_gateway("raw-refusal", async |mut testbed| {
        replace_engines(&mut testbed, Stage::Plain, async |head, mut stream| {
            let start = refusal_head(&head, 1_000_000);
            let mut sent = stream.write_all(start.as_bytes()).await;
            while sent.is_ok() {
                Timer::after(Duration::from_millis(100)).await;
                sent = stream.write_all(b"x").await;
            }
        })
        .await?;
        let started = Instant::now();
        let response = request(&testbed, "d1", "/order/1").await?;
        assert_eq!(u16::from(response.status), 503);
        assert!(
            started.elapsed() < CALLER_TIMEOUT_MS,
            "the answer came after the deadline"
        );
        Ok(())
    });
}

// A pause between events is no failure, and a byte now and then is no event.
#[test]
fn slow_stream_is_not_cut_and_a_stalled_one_ends_at_its_deadline() {
    with_gateway("raw-slow", async |mut testbed| {
        replace_engines(&mut testbed, Stage::Decode, async |head, mut stream| {
            let is_sound = request_id(&head) == "sound";
            let start = stream_head(&head);
            let mut sent = stream.write_all(start.as_bytes()).await;
            let pieces = if is_sound {
                vec!["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"]
            } else {
                vec!["x"; 100]
            };
            for piece in pieces {
                let pause_ms = if is_sound { 1_200 } else { 200 };
                Timer::after(Duration::from_millis(pause_ms)).await;
                if sent.is_ok() {
                    sent = stream.write_all(piece.as_bytes()).await;
                }
            }
        })
        .await?;
        let sound = request(&testbed, "sound", "/draft/1").await?;
        assert_eq!(body(&sound), TWO_EVENTS);
        let stalled = request(&testbed, "stalled", "/draft/2").await;
        assert!(
            !matches!(&stalled, Ok(response) if response.status.is_success()),
            "{stalled:?}"
        );
        Ok(())
    });
}

// Operators of similar systems: the next caller got an answer that was not its own.
#[test]
fn late_copy_of_an_answer_on_a_connection_in_use_reaches_no_other_caller() {
    with_gateway("raw-copies", async |mut testbed| {
        let has_echo = Rc::new(Cell::new(true));
        let echo = has_echo.clone();
        let answer = move |head: String, stream: TcpStream| {
            let echo = echo.clone();
            async move {
                let mut stream = stream;
                let mut head = Some(head);
                let mut copy = String::new();
                while let Some(current) = head {
                    // The copy comes when the next request is there.
                    let _ = stream.write_all(copy.as_bytes()).await;
                    let answer = plain_answer(&current, true);
                    copy = plain_answer(&current, echo.get());
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    head = read_head(&mut stream).await;
                }
            }
        };
        replace_engines(&mut testbed, Stage::Plain, answer).await?;
        for with_echo in [true, false] {
            has_echo.set(with_echo);
            for number in 0..10 {
                let id = format!("copy-{with_echo}-{number}");
                let response = request(&testbed, &id, "/order/1").await?;
                assert_eq!(u16::from(response.status), 200);
                assert_eq!(body(&response), format!("answer to {id}"));
            }
        }
        Ok(())
    });
}

/// Sends a prompt that is long enough for a prefill engine, and returns all bytes of the answer.
async fn bytes_of_answer(testbed: &GatewayTestbed, id: &str) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(testbed.gateways[0].callers).await?;
    let head = prompt_head(id, "/tag/1", CALLER_TIMEOUT_MS, 16_000);
    stream.write_all(head.as_bytes()).await?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

// The gateway wrote the head of a 504 into a resumed stream whose prefill had no end.
#[test]
fn resumed_stream_gets_no_second_head_after_a_prefill_without_end() {
    with_gateway("raw-midstream", async |mut testbed| {
        let prefills = Rc::new(Cell::new(0));
        let endless = prefills.clone();
        replace_engines(&mut testbed, Stage::Prefill, move |head, mut stream| {
            let endless = endless.clone();
            async move {
                if !head.contains("last-event-id: ") {
                    let _ = stream.write_all(prefill_answer(&head).as_bytes()).await;
                    return;
                }
                endless.set(endless.get() + 1);
                let start = chunked_stream_head(&head);
                let mut sent = stream.write_all(start.as_bytes()).await;
                while sent.is_ok() {
                    Timer::after(Duration::from_millis(100)).await;
                    sent = stream.write_all(b"1\r\n \r\n").await;
                }
            }
        })
        .await?;
        replace_engines(&mut testbed, Stage::Decode, async |head, mut stream| {
            let events = if request_id(&head).starts_with("calm") {
                TWO_EVENTS
            } else {
                "id: 1\ndata: a\n\nid: 2\nda"
            };
            let answer = stream_head(&head) + events;
            let _ = stream.write_all(answer.as_bytes()).await;
        })
        .await?;
        // The budget of retries grows with the requests.
        for number in 0..20 {
            bytes_of_answer(&testbed, &format!("calm-{number}")).await?;
        }
        let answer = bytes_of_answer(&testbed, "broken").await?;
        assert!(prefills.get() > 0, "the stream was not resumed: {answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
        assert!(answer.contains("data: a"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        Ok(())
    });
}

/// Begins a stream, and reads it until the connection is closed.
fn read_endless_stream(callers: SocketAddr) -> std::io::Result<usize> {
    let mut stream = std::net::TcpStream::connect(callers)?;
    stream.set_nodelay(true)?;
    let head = prompt_head("endless", "/draft/1", CALLER_TIMEOUT_MS, 400);
    stream.write_all(head.as_bytes())?;
    let mut buffer = vec![0; 1 << 20];
    let mut total = 0;
    while let Ok(count) = stream.read(&mut buffer)
        && count > 0
    {
        total += count;
    }
    Ok(total)
}

/// Sends an event again and again, on each connection until it is closed.
fn serve_endless_streams(listener: &std::net::TcpListener) {
    let chunks = "20\r\ndata: xxxxxxxxxxxxxxxxxxxxxxxx\n\n\r\n".repeat(2_000);
    while let Ok((mut stream, _)) = listener.accept() {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut buffer = [0; 1024];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => head.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
        let start = chunked_stream_head(&String::from_utf8_lossy(&head));
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(chunks.as_bytes());
        }
    }
}

// One stream without end, and its gateway answered nobody until the deadline of that stream.
#[test]
fn gateway_answers_others_while_a_stream_has_no_end() {
    with_gateway("raw-busy", async |mut testbed| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        // The peers have threads of their own, so that the gateway is the only one that can fall
        // behind.
        std::thread::spawn(move || serve_endless_streams(&listener));
        for name in ["read-1", "read-2", "write-2", "write-3"] {
            testbed.unregister(name);
        }
        testbed.set_address("write-1", address);
        testbed.register("write-1", "ready");
        Timer::after(CHANGE_MS).await;
        let callers = testbed.gateways[0].callers;
        let caller = std::thread::spawn(move || read_endless_stream(callers));
        Timer::after(Duration::from_millis(300)).await;
        for number in 0..20 {
            let response = request(&testbed, &format!("r{number}"), "/read/1").await?;
            assert_eq!(u16::from(response.status), 200);
            assert!(testbed.is_ready(0).await, "no answer to the load balancer");
        }
        assert!(
            !caller.is_finished(),
            "the requests were answered only after the stream"
        );
        let read = caller.join().expect("the caller does not panic")?;
        assert!(read > 1 << 20, "the stream had {read} bytes");
        Ok(())
    });
}
