//! Behaviour of the stand-in engine and plain service that other tests rely on, over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Client;
use http::ClientLimits;
use http_types::Method;
use serde_json::Value;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use standin::engine::EngineOptions;
use standin::engine::output_text;
use standin::plain::PlainOptions;

struct TestClient {
    http: Client,
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

impl TestClient {
    fn new(address: SocketAddr) -> Self {
        Self {
            http: Client::new(address, ClientLimits::default()),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Option<(u16, Value)> {
        let mut request = self.http.request(method, path).expect("path");
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        if !body.is_empty() {
            request.set_body(body);
        }
        let response = self.http.send_buffered(request).await.ok()?;
        let value = serde_json::from_slice(&response.body).unwrap_or_default();
        Some((response.status.into(), value))
    }

    async fn post(&self, path: &str, body: &str) -> Option<(u16, Value)> {
        self.call(Method::Post, path, body, &[]).await
    }

    async fn get(&self, path: &str) -> Value {
        let (_, value) = self
            .call(Method::Get, path, "", &[])
            .await
            .expect("response");
        value
    }
}

fn with_engine<F: Future<Output = ()>>(
    configure: impl FnOnce(&mut EngineOptions),
    test: impl FnOnce(TestClient) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let (listener, address) = bind().await;
        let mut options = EngineOptions::new(address);
        options.instant = true;
        options.away_ms = 200;
        options.crash_ms = 200;
        configure(&mut options);
        let server = standin::engine::serve(options, listener, executor.clone());
        executor.spawn(server).detach();
        test(TestClient::new(address)).await;
    }));
}

async fn wait_until_available(client: &TestClient) {
    loop {
        let state = client.call(Method::Get, "/state", "", &[]).await;
        if state.is_some_and(|(_, state)| state["away"] == false) {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

const CHANGE_ROLE: &str =
    r#"{"number": 3, "fencing": 5, "order": {"kind": "change_role", "role": "decode"}}"#;
const STALE_ORDER: &str =
    r#"{"number": 4, "fencing": 4, "order": {"kind": "change_role", "role": "mixed"}}"#;

/// Guards against a stand-in that accepts stale orders, which would hide broken fencing.
#[test]
fn refuses_order_with_lower_fencing_number() {
    with_engine(
        |_| {},
        |client| async move {
            assert_eq!(
                client
                    .post("/orders", CHANGE_ROLE)
                    .await
                    .map(|response| response.0),
                Some(202)
            );
            wait_until_available(&client).await;
            assert_eq!(
                client
                    .post("/orders", STALE_ORDER)
                    .await
                    .map(|response| response.0),
                Some(409)
            );
            let state = client.get("/state").await;
            assert_eq!(state["role"], "decode");
            let counters = client.get("/counters").await;
            assert_eq!(counters["fenced"], 1);
            assert_eq!(counters["orders"][0]["fencing"], 5);
        },
    );
}

/// Guards against a stand-in that checks fencing numbers although it is configured to ignore them.
#[test]
fn accepts_lower_fencing_number_when_fencing_is_ignored() {
    with_engine(
        |options| options.ignore_fencing = true,
        |client| async move {
            client.post("/orders", CHANGE_ROLE).await;
            wait_until_available(&client).await;
            assert_eq!(
                client
                    .post("/orders", STALE_ORDER)
                    .await
                    .map(|response| response.0),
                Some(202)
            );
        },
    );
}

/// Guards against a crash during an order that is not counted or keeps the engine's state.
#[test]
fn loses_its_state_when_it_crashes_during_an_order() {
    with_engine(
        |options| options.crash_ms = 2000,
        |client| async move {
            client.post("/faults", r#"{"crash_in_change": 1}"#).await;
            client.post("/orders", CHANGE_ROLE).await;
            while client.get("/counters").await["crashes"] == 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
            let load = client.call(Method::Get, "/load", "", &[]).await;
            assert_eq!(load, None, "a crashed engine does not respond");
            wait_until_available(&client).await;
            assert_eq!(client.get("/state").await["role"], "mixed");
            assert_eq!(client.get("/counters").await["crashes"], 1);
        },
    );
}

/// Guards against responses that a checker cannot recompute, and against wrong usage figures.
#[test]
fn responds_deterministically_with_usage_and_cache_events() {
    with_engine(
        |options| options.cache_lag_ms = 0,
        |client| async move {
            let body = r#"{"messages": [{"role": "user", "content": "roof"}], "max_tokens": 5}"#;
            let headers = [("x-cache-pieces", "0a,0b"), ("x-request-id", "r-1")];
            for _ in 0..2 {
                let path = "/v1/chat/completions";
                let response = client.call(Method::Post, path, body, &headers).await;
                let (status, body) = response.expect("response");
                assert_eq!(status, 200);
                let text = &body["choices"][0]["message"]["content"];
                assert_eq!(*text, output_text("roof", 5));
                assert_eq!(body["usage"]["completion_tokens"], 5);
            }
            let events = client.get("/cache/events?after=1").await;
            assert_eq!(events["events"][0]["prefix"], 11);
            let runs = client.get("/counters").await["runs"].clone();
            assert_eq!(
                (&runs[0]["id"], &runs[0]["started"]),
                (&"r-1".into(), &2.into())
            );
        },
    );
}

/// Guards against cancelled requests that continue to run.
#[test]
fn cancels_a_request_by_its_id() {
    with_engine(
        |options| options.instant = false,
        |client| async move {
            let body = r#"{"prompt": "long", "max_tokens": 5000}"#;
            let headers = [("x-request-id", "r-2")];
            let run = client.call(Method::Post, "/v1/completions", body, &headers);
            let cancel = async {
                Timer::after(Duration::from_millis(100)).await;
                client.call(Method::Delete, "/requests/r-2", "", &[]).await
            };
            let (response, cancelled) = futures_lite::future::zip(run, cancel).await;
            assert_eq!(response, None, "the response is incomplete");
            assert_eq!(
                cancelled.map(|response| response.1["cancelled"].clone()),
                Some(1.into())
            );
            assert_eq!(client.get("/counters").await["runs"][0]["finished"], 0);
        },
    );
}

/// Guards against runs that are not counted because their response was lost.
#[test]
fn counts_plain_runs_whose_response_is_lost() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let (listener, listen) = bind().await;
        let options = PlainOptions {
            listen,
            delay_ms: 0,
        };
        let server = {
            let executor = executor.clone();
            async move { standin::plain::serve(&options, listener, executor).await }
        };
        executor.spawn(server).detach();
        let client = TestClient::new(listen);
        client.post("/faults", r#"{"lose_answers": 1}"#).await;
        assert_eq!(client.post("/orders-book/mules", "two mules").await, None);
        let (status, receipt) = client
            .post("/orders-book/mules", "two mules")
            .await
            .expect("response");
        assert_eq!(status, 200);
        let expected = standin::plain::receipt("/orders-book/mules", b"two mules");
        assert_eq!(receipt["receipt"], expected.receipt);
        let runs = client.get("/counters").await["runs"].clone();
        let digest = format!("{:016x}", standin::engine::body_digest(b"two mules"));
        assert_eq!(runs[digest.as_str()], 2);
    }));
}
