//! The stand-in engine and plain service over HTTP, as checks rely on them.

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
use standin::engine::answer_text;
use standin::plain::PlainOptions;

struct Host {
    client: Client,
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

impl Host {
    fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address, ClientLimits::default()),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
        fields: &[(&str, &str)],
    ) -> Option<(u16, Value)> {
        let mut request = self.client.request(method, path).expect("path");
        for (name, value) in fields {
            request.insert_header(*name, *value);
        }
        if !body.is_empty() {
            request.set_body(body);
        }
        let answer = self.client.send_whole(request).await.ok()?;
        let value = serde_json::from_slice(&answer.body).unwrap_or_default();
        Some((answer.status.into(), value))
    }

    async fn post(&self, path: &str, body: &str) -> Option<(u16, Value)> {
        self.call(Method::Post, path, body, &[]).await
    }

    async fn get(&self, path: &str) -> Value {
        let (_, value) = self
            .call(Method::Get, path, "", &[])
            .await
            .expect("an answer");
        value
    }
}

fn with_engine<F: Future<Output = ()>>(
    change: impl FnOnce(&mut EngineOptions),
    test: impl FnOnce(Host) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let (listener, address) = bind().await;
        let mut options = EngineOptions::new(address);
        options.instant = true;
        options.away_ms = 200;
        options.crash_ms = 200;
        change(&mut options);
        let server = standin::engine::serve(options, listener, executor.clone());
        executor.spawn(server).detach();
        test(Host::new(address)).await;
    }));
}

async fn wait_until_back(host: &Host) {
    loop {
        let state = host.call(Method::Get, "/state", "", &[]).await;
        if state.is_some_and(|(_, state)| state["away"] == false) {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

const ROLE: &str =
    r#"{"number": 3, "fencing": 5, "order": {"kind": "change_role", "role": "decode"}}"#;
const OLD: &str =
    r#"{"number": 4, "fencing": 4, "order": {"kind": "change_role", "role": "mixed"}}"#;

/// Guards against a stand-in that lets stale orders pass, which would hide broken fencing.
#[test]
fn refuses_order_with_lower_fencing_number() {
    with_engine(
        |_| {},
        |host| async move {
            assert_eq!(host.post("/orders", ROLE).await.map(|at| at.0), Some(202));
            wait_until_back(&host).await;
            assert_eq!(host.post("/orders", OLD).await.map(|at| at.0), Some(409));
            let state = host.get("/state").await;
            assert_eq!(state["role"], "decode");
            let counters = host.get("/counters").await;
            assert_eq!(counters["fenced"], 1);
            assert_eq!(counters["orders"][0]["fencing"], 5);
        },
    );
}

/// Guards against a stand-in that honours fencing numbers where it stands for one that does not.
#[test]
fn obeys_lower_fencing_number_when_told_to_ignore_it() {
    with_engine(
        |options| options.ignore_fencing = true,
        |host| async move {
            host.post("/orders", ROLE).await;
            wait_until_back(&host).await;
            assert_eq!(host.post("/orders", OLD).await.map(|at| at.0), Some(202));
        },
    );
}

/// Guards against counts that miss what a crash in a change or a cut request did.
#[test]
fn loses_its_state_when_it_crashes_in_a_change() {
    with_engine(
        |options| options.crash_ms = 2000,
        |host| async move {
            host.post("/faults", r#"{"crash_in_change": 1}"#).await;
            host.post("/orders", ROLE).await;
            while host.get("/counters").await["crashes"] == 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
            let during = host.call(Method::Get, "/load", "", &[]).await;
            assert_eq!(during, None, "a crashed engine does not answer");
            wait_until_back(&host).await;
            assert_eq!(host.get("/state").await["role"], "mixed");
            assert_eq!(host.get("/counters").await["crashes"], 1);
        },
    );
}

/// Guards against answers that a checker cannot recompute, and against wrong usage figures.
#[test]
fn answers_deterministically_with_usage_and_cache_events() {
    with_engine(
        |options| options.cache_lag_ms = 0,
        |host| async move {
            let body = r#"{"messages": [{"role": "user", "content": "roof"}], "max_tokens": 5}"#;
            let fields = [("x-cache-pieces", "0a,0b"), ("x-request-id", "r-1")];
            for _ in 0..2 {
                let path = "/v1/chat/completions";
                let answer = host.call(Method::Post, path, body, &fields).await;
                let (status, answer) = answer.expect("an answer");
                assert_eq!(status, 200);
                let text = &answer["choices"][0]["message"]["content"];
                assert_eq!(*text, answer_text("roof", 5));
                assert_eq!(answer["usage"]["completion_tokens"], 5);
            }
            let events = host.get("/cache/events?after=1").await;
            assert_eq!(events["events"][0]["prefix"], 11);
            let runs = host.get("/counters").await["runs"].clone();
            assert_eq!(
                (&runs[0]["id"], &runs[0]["started"]),
                (&"r-1".into(), &2.into())
            );
        },
    );
}

/// Guards against cancelled requests that go on running.
#[test]
fn cancels_a_request_by_its_id() {
    with_engine(
        |options| options.instant = false,
        |host| async move {
            let body = r#"{"prompt": "long", "max_tokens": 5000}"#;
            let fields = [("x-request-id", "r-2")];
            let run = host.call(Method::Post, "/v1/completions", body, &fields);
            let cancel = async {
                Timer::after(Duration::from_millis(100)).await;
                host.call(Method::Delete, "/requests/r-2", "", &[]).await
            };
            let (answer, cancelled) = futures_lite::future::zip(run, cancel).await;
            assert_eq!(answer, None, "the answer is incomplete");
            assert_eq!(
                cancelled.map(|at| at.1["cancelled"].clone()),
                Some(1.into())
            );
            assert_eq!(host.get("/counters").await["runs"][0]["finished"], 0);
        },
    );
}

/// Guards against runs that are not counted because their answer was lost.
#[test]
fn counts_plain_runs_whose_answer_is_lost() {
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
        let host = Host::new(listen);
        host.post("/faults", r#"{"lose_answers": 1}"#).await;
        assert_eq!(host.post("/orders-book/mules", "two mules").await, None);
        let (status, receipt) = host
            .post("/orders-book/mules", "two mules")
            .await
            .expect("answer");
        assert_eq!(status, 200);
        let expected = standin::plain::receipt("/orders-book/mules", b"two mules");
        assert_eq!(receipt["receipt"], expected.receipt);
        let runs = host.get("/counters").await["runs"].clone();
        let digest = format!("{:016x}", standin::engine::body_digest(b"two mules"));
        assert_eq!(runs[digest.as_str()], 2);
    }));
}
