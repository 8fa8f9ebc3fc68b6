//! The callers' port: requests, refusals, hang-ups and limits.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::ScriptedGateway;
use common::head;
use common::post;
use common::refused;
use common::send_raw;
use common::wait_for_call;
use common::with_port;
use common::with_reconfigurable_port;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use settings::Limits;
use smol::net::TcpStream;
use types::Method;
use types::RefusalReason;
use types::Reply;
use types::RunState;

const JSON: &str = "Content-Type: application/json\r\n";
const CHAT: &str = "/services/bitacora/v1/chat/completions";
const BODY: &str =
    r#"{"model":"m","messages":[{"role":"user","content":"hola"}],"max_tokens":50,"stream":true}"#;

fn gateway(replies: Vec<Reply>) -> Rc<ScriptedGateway> {
    Rc::new(ScriptedGateway {
        replies: replies.into(),
        ..ScriptedGateway::default()
    })
}

// Guards against a changed body, lost request properties and a credential in the caller's name.
#[test]
fn submits_the_request_unchanged_and_relays_the_response() {
    let gateway = gateway(vec![
        head("application/json"),
        Reply::Body(b"{\"a\":".to_vec()),
        Reply::Body(b"1}".to_vec()),
        Reply::End,
    ]);
    with_port(gateway.clone(), |addr| async move {
        let fields = format!(
            "{JSON}Idempotency-Key: k1\r\nRequest-Timeout-Ms: 1500\r\nAuthorization: Bearer s3cret\r\n"
        );
        let answer = send_raw(addr, &post(CHAT, &fields, BODY)).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("\r\n\r\n{\"a\":1}"), "{answer}");
        assert!(answer.contains("x-served-by: bitacora-03"), "{answer}");
        assert!(answer.contains("x-request-id: 00000000000000000000000000000abc"));
    });
    let submission = gateway.submissions.borrow()[0].clone();
    assert_eq!(submission.work.body, BODY.as_bytes());
    assert_eq!(submission.work.path, "/v1/chat/completions");
    assert_eq!(submission.work.service, "bitacora");
    assert_eq!(submission.work.method, Method::Post);
    assert_eq!(submission.work.max_output_tokens, 50);
    assert!(submission.work.stream);
    assert_eq!(submission.key.as_deref(), Some("k1"));
    assert_eq!(submission.deadline_ms, Some(Duration::from_millis(1500)));
    assert!(submission.caller.starts_with("credential-"));
    assert!(!submission.caller.contains("s3cret"));
    assert_eq!(*gateway.calls.borrow(), ["consumed 7"]);
}

#[test]
fn forwards_plain_requests_with_path_and_query() {
    let gateway = gateway(vec![head("text/plain"), Reply::End]);
    with_port(gateway.clone(), |addr| async move {
        let request = "PUT /services/mulas/orders/7?x=1 HTTP/1.1\r\nHost: a\r\n\
             Connection: close\r\nContent-Length: 2\r\n\r\nab";
        assert!(send_raw(addr, request).await.starts_with("HTTP/1.1 200"));
    });
    let submission = gateway.submissions.borrow()[0].clone();
    assert_eq!(submission.work.path, "/orders/7?x=1");
    assert_eq!(submission.work.method, Method::Put);
    assert_eq!(submission.caller, "anonymous");
}

// Guards against invalid requests that reach the gateway, or whose response has no run state.
#[test]
fn rejects_invalid_requests_without_submitting_them() {
    let gateway = gateway(vec![head("text/plain"), Reply::End]);
    with_port(gateway.clone(), |addr| async move {
        let chat = |body: &str| post(CHAT, JSON, body);
        let long = "x".repeat(1001);
        let cases = [
            (chat("{"), 400, ""),
            (chat("[]"), 400, ""),
            (chat(r#"{"messages":[]}"#), 400, "messages"),
            (chat(r#"{"prompt":"x"}"#), 400, "messages"),
            (chat(&BODY.replace("50", "-5")), 400, "max_tokens"),
            (chat(&BODY.replace("50", "0")), 400, "max_tokens"),
            (chat(&BODY.replace("50", "1e300")), 400, "max_tokens"),
            (chat(&BODY.replace("50", "101")), 400, "max_tokens"),
            (chat(&BODY.replace("50", "60,\"n\":2")), 400, "max_tokens"),
            (chat(&BODY.replace("50", "5,\"n\":0")), 400, "n"),
            (chat(&"[".repeat(900)), 400, ""),
            (chat(&long), 413, ""),
            (post(CHAT, "Content-Type: text/plain\r\n", BODY), 415, "Content-Type"),
            (post("/services/bitacora/v1/models", JSON, BODY), 404, ""),
            (post("/services/none/v1/completions", JSON, BODY), 404, ""),
            (post("/services/No%20Name/x", JSON, BODY), 404, ""),
            (post("/elsewhere", JSON, BODY), 404, ""),
            (post("/healthz", "", ""), 405, ""),
            (post(CHAT, &format!("{JSON}Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), BODY), 400, "Idempotency-Key"),
            (post(CHAT, &format!("{JSON}Request-Timeout-Ms: -1\r\n"), BODY), 400, "Request-Timeout-Ms"),
            (post(CHAT, &format!("{JSON}Request-Timeout-Ms: soon\r\n"), BODY), 400, "Request-Timeout-Ms"),
            ("GET /services/bitacora/v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".to_owned(), 405, ""),
            ("OPTIONS /services/mulas/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".to_owned(), 405, ""),
        ];
        for (request, status, field) in cases {
            let answer = send_raw(addr, &request).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{request}\n{answer}"
            );
            assert!(answer.contains("\"run\":\"not-run\""), "{answer}");
            assert!(
                field.is_empty() || answer.contains(&format!("\"field\":\"{field}\"")),
                "{answer}"
            );
        }
    });
    assert!(gateway.submissions.borrow().is_empty());
    assert!(gateway.calls.borrow().is_empty());
}

#[test]
fn maps_refusals_to_status_run_state_and_retry_time() {
    let cases = [
        (
            RefusalReason::Overloaded,
            RunState::NotRun,
            Some(1200),
            "503",
            "not-run",
        ),
        (
            RefusalReason::KeyReused,
            RunState::NotRun,
            None,
            "422",
            "not-run",
        ),
        (
            RefusalReason::DeadlineExceeded,
            RunState::Unknown,
            Some(1),
            "504",
            "unknown",
        ),
        (
            RefusalReason::OutcomeUnknown,
            RunState::Unknown,
            None,
            "502",
            "unknown",
        ),
    ];
    for (reason, run, retry_after_ms, status, run_text) in cases {
        let gateway = gateway(vec![refused(reason, run, retry_after_ms)]);
        with_port(gateway, |addr| async move {
            let answer = send_raw(addr, &post(CHAT, JSON, BODY)).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{answer}"
            );
            assert!(
                answer.contains(&format!("\"run\":\"{run_text}\"")),
                "{answer}"
            );
            assert_eq!(
                answer.contains("x-should-retry: false"),
                retry_after_ms.is_none()
            );
            let seconds = retry_after_ms.map_or(0, |ms| ms.div_ceil(1000));
            assert_eq!(
                answer.contains(&format!("retry-after: {seconds}\r\n")),
                retry_after_ms.is_some(),
                "{answer}"
            );
        });
    }
}

// Guards against a truncated response that appears complete.
#[test]
fn sends_no_last_chunk_after_a_failure() {
    for (media_type, is_refused) in [
        ("text/event-stream", true),
        ("text/event-stream", false),
        ("application/json", true),
    ] {
        let mut replies = vec![head(media_type), Reply::Body(b"data: 1\n\n".to_vec())];
        if is_refused {
            replies.push(refused(
                RefusalReason::TargetFailed,
                RunState::Unknown,
                None,
            ));
        }
        with_port(gateway(replies), |addr| async move {
            let answer = send_raw(addr, &post(CHAT, JSON, BODY)).await;
            assert!(answer.contains("data: 1"), "{answer}");
            assert!(!answer.contains("0\r\n\r\n"), "{answer}");
            let has_error_event = is_refused && media_type == "text/event-stream";
            assert_eq!(
                answer.contains("event: error\ndata: {"),
                has_error_event,
                "{answer}"
            );
        });
    }
}

// Guards against work that continues after its caller has disconnected.
#[test]
fn reports_hang_ups_to_the_gateway() {
    for replies in [
        vec![],
        vec![
            head("text/event-stream"),
            Reply::Body(b"data: 1\n\n".to_vec()),
        ],
    ] {
        let gateway = Rc::new(ScriptedGateway {
            replies: replies.clone().into(),
            keep_open: true,
            ..ScriptedGateway::default()
        });
        let recorded = gateway.clone();
        with_port(gateway.clone(), |addr| async move {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            let request = post(CHAT, JSON, BODY);
            stream.write_all(request.as_bytes()).await.unwrap();
            if replies.is_empty() {
                while recorded.submissions.borrow().is_empty() {
                    smol::Timer::after(Duration::from_millis(5)).await;
                }
            } else {
                let mut byte = [0; 1];
                stream.read_exact(&mut byte).await.unwrap();
                assert!(wait_for_call(&recorded, "consumed 9").await);
            }
            drop(stream);
            assert!(wait_for_call(&recorded, "hang up").await);
        });
    }
}

#[test]
fn reports_health_and_metrics() {
    with_port(gateway(vec![]), |addr| async move {
        let get =
            |path: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assert!(
            send_raw(addr, &get("/healthz"))
                .await
                .starts_with("HTTP/1.1 200")
        );
        assert!(
            send_raw(addr, &get("/readyz"))
                .await
                .starts_with("HTTP/1.1 503")
        );
        assert!(
            send_raw(addr, &get("/metrics"))
                .await
                .ends_with("requests 1\n")
        );
    });
}

// Guards against a limit that changes only on restart, or that counts finished requests.
#[test]
fn applies_a_changed_limit_on_requests_in_flight() {
    let gateway = Rc::new(ScriptedGateway {
        keep_open: true,
        ..ScriptedGateway::default()
    });
    let recorded = gateway.clone();
    with_reconfigurable_port(gateway, |addr, port| async move {
        let open_request = || async {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            let request = post(CHAT, JSON, BODY);
            stream.write_all(request.as_bytes()).await.unwrap();
            stream
        };
        let first = open_request().await;
        while port.in_flight() == 0 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        port.set_limits(&Limits {
            requests: 1,
            ..Limits::default()
        });
        let refused = send_raw(addr, &post(CHAT, JSON, BODY)).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.contains("\"run\":\"not-run\""), "{refused}");
        drop(first);
        assert!(wait_for_call(&recorded, "hang up").await);
        let _second = open_request().await;
        while recorded.submissions.borrow().len() < 2 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
}
