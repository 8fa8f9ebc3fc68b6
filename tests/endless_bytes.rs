//! Answers without end to every kind of call that the processes make: to the stores, to the control
//! interface of engines, to entries by the command line, and of gateways to engines. Calls that run
//! requests are in `raw_engines.rs`, frames and datagrams of peers in the tests of `wire`.

mod common;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use agent::daemon::engine::EngineClient;
use common::with_gateway;
use futures_lite::AsyncWriteExt;
use http::Client;
use http::ClientLimits;
use operators::OperatorsClient;
use platform::StoreClient;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use standin::staged_engine::Stage;
use store::HostList;
use store::HttpHostList;
use store::HttpObjectStore;
use store::HttpOptions;
use store::HttpTable;
use store::HttpWeightStore;
use store::ObjectRequest;
use store::Table;
use store::TableRequest;
use store::WeightStore;
use testbed::gateways::TestRequest;
use testbed::gateways::send;
use testbed::raw_engine;
use types::Order;
use types::OrderKind;

/// Time after which a call counts as endless; more than all limits on the time of one.
const ENDLESS_MS: Duration = Duration::from_secs(15);
/// Time between two bytes of an answer that arrives slowly; less than all limits on stalls.
const TRICKLE_MS: Duration = Duration::from_millis(300);
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Content-Length: 999999999\r\n\r\n";

/// How an answer has no end.
#[derive(Debug, Clone, Copy)]
enum Endless {
    Head,
    Body,
    SlowBody,
}

const KINDS: [Endless; 3] = [Endless::Head, Endless::Body, Endless::SlowBody];

type Call = fn(SocketAddr) -> Pin<Box<dyn Future<Output = ()>>>;

/// Sends an answer until the client closes the connection.
async fn answer(mut stream: TcpStream, endless: Endless) {
    let (start, rest) = match endless {
        Endless::Head => ("HTTP/1.1 200 OK\r\n", "X-A: b\r\n".repeat(1_000)),
        Endless::Body => (HEAD, "[[[[[[[[".repeat(1_000)),
        Endless::SlowBody => (HEAD, " ".to_owned()),
    };
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        if matches!(endless, Endless::SlowBody) {
            Timer::after(TRICKLE_MS).await;
        }
        sent = stream.write_all(rest.as_bytes()).await;
    }
}

/// Makes each call to a server for each way in which its answer has no end, all at the same time.
/// Each must end.
fn check(calls: &[(&'static str, Call)]) {
    let executor = Rc::new(LocalExecutor::new());
    let mut tasks = Vec::new();
    for (name, call) in calls.iter().copied() {
        for endless in KINDS {
            let spawner = executor.clone();
            tasks.push(executor.spawn(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let address = listener.local_addr().expect("an address");
                let server = Rc::new(move |_, stream| answer(stream, endless));
                spawner.spawn(raw_engine::serve(listener, server)).detach();
                let timeout = async {
                    Timer::after(ENDLESS_MS).await;
                    panic!("{name}: the call does not end, with an endless {endless:?}");
                };
                smol::future::or(call(address), timeout).await;
            }));
        }
    }
    smol::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
}

#[test]
fn calls_of_the_platforms_store_end() {
    check(&[
        ("read", |address| {
            Box::pin(async move { drop(StoreClient::new(address).read("t").await) })
        }),
        ("write", |address| {
            Box::pin(async move { drop(StoreClient::new(address).write("t", "k", b"v").await) })
        }),
        ("remove", |address| {
            Box::pin(async move { drop(StoreClient::new(address).remove("t", "k").await) })
        }),
    ]);
}

#[test]
fn calls_of_the_stores_of_our_own_deployments_end() {
    check(&[
        ("table", |address| {
            let table = HttpTable::new(address, HttpOptions::default());
            Box::pin(async move { drop(table.call(TableRequest::Read(Vec::new())).await) })
        }),
        ("object store", |address| {
            let objects = HttpObjectStore::new(address, HttpOptions::default());
            let key = "k".to_owned();
            Box::pin(async move {
                drop(store::objects::call(&objects, ObjectRequest::Get { key }).await);
            })
        }),
        ("weight store", |address| {
            let weights = HttpWeightStore::new(address, HttpOptions::default());
            Box::pin(async move { drop(weights.reserve("m", "v").await) })
        }),
        ("host list", |address| {
            let hosts = HttpHostList::new(address, HttpOptions::default());
            Box::pin(async move { drop(hosts.hosts().await) })
        }),
    ]);
}

#[test]
fn calls_of_an_agent_to_the_control_interface_of_its_engine_end() {
    check(&[
        ("state", |address| {
            Box::pin(async move { drop(EngineClient::new(address).state().await) })
        }),
        ("load", |address| {
            Box::pin(async move {
                let _ = EngineClient::new(address).load().await;
            })
        }),
        ("cache events", |address| {
            Box::pin(async move { drop(EngineClient::new(address).cache_events(0).await) })
        }),
        ("order", |address| {
            let order = Order {
                target: "t".to_owned(),
                number: 1,
                fencing: 1,
                revision: 1,
                kind: OrderKind::UnloadAdapter {
                    adapter: "a".to_owned(),
                },
            };
            Box::pin(async move { drop(EngineClient::new(address).send_order(&order).await) })
        }),
    ]);
}

#[test]
fn calls_of_operators_to_an_entry_end() {
    check(&[("status", |address| {
        Box::pin(async move { drop(OperatorsClient::new(address, "token").status().await) })
    })]);
}

/// Sends a prompt through a gateway whose prefill engines answer each call without end, or only the
/// one that releases the KV cache.
async fn request_with_prefills(
    testbed: &mut testbed::GatewayTestbed,
    id: &str,
    is_release_only: bool,
    endless: Endless,
) -> eyre::Result<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = Rc::new(move |head: String, mut stream: TcpStream| async move {
        if is_release_only && !head.starts_with("DELETE") {
            let answer = raw_engine::prefill_answer(&head);
            let _ = stream.write_all(answer.as_bytes()).await;
            return;
        }
        answer(stream, endless).await;
    });
    testbed.spawn(raw_engine::serve(listener, server));
    for name in ["read-1", "read-2"] {
        testbed.set_address(name, address);
        testbed.register(name, "ready");
    }
    Timer::after(Duration::from_secs(2)).await;
    let client = Client::new(testbed.gateways[0].callers, ClientLimits::default());
    let request = TestRequest {
        id,
        path: "/draft/1",
        timeout_ms: Duration::from_secs(3),
        tokens: Some(16_000),
        part: None,
        resumes: None,
    };
    let started = Instant::now();
    let _ = send(&client, &request).await;
    Ok(started.elapsed())
}

#[test]
fn prefills_and_releases_without_end_do_not_hold_up_requests() {
    with_gateway("endless-prefills", async |mut testbed| {
        assert!(
            testbed
                .engines
                .iter()
                .any(|(e, _)| e.stage == Stage::Prefill)
        );
        for (number, endless) in KINDS.into_iter().enumerate() {
            for is_release_only in [false, true] {
                let id = format!("p{number}{is_release_only}");
                let took =
                    request_with_prefills(&mut testbed, &id, is_release_only, endless).await?;
                assert!(took < Duration::from_secs(4), "{id} took {took:?}");
            }
        }
        Ok(())
    });
}
