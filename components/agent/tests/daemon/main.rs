//! The daemon over loopback, between a test entry and the stand-in engine.

mod engine;
mod entry;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agent::DaemonConfig;
use agent::Limits;
use http::Client;
use http::ClientLimits;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::net::UdpSocket;
use standin::engine::EngineCounters;
use standin::engine::EngineOptions;
use standin::engine::output_text;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::Link;
use standin::ports::free_address;
use store::MemoryTable;
use store::MemoryWeightStore;
use store::Put;
use store::TableRequest;
use store::Transaction;
use types::AttemptId;
use types::Order;
use types::OrderKind;
use types::Role;
use types::SystemClock;
use wire::AnswerDigest;
use wire::Datagram;
use wire::Key;
use wire::Keyring;
use wire::ToAgent;
use wire::ToEntry;

use crate::entry::Entry;
use crate::entry::dispatch;

const INCARNATION: u64 = 7;

fn keys() -> Keyring {
    Keyring::new(vec![Key {
        id: 1,
        secret: [5; 32],
    }])
    .expect("one key")
}

/// Starts an engine without delays, and an agent.
fn start() -> (SocketAddr, SocketAddr) {
    let engine = free_address();
    let options = EngineOptions {
        instant: true,
        ..EngineOptions::new(engine)
    };
    start_engine(options);
    (engine, start_agent(engine, Vec::new()))
}

/// Starts an engine on its own thread, which runs until the test process exits.
fn start_engine(options: EngineOptions) {
    let engine = options.listen;
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.clone().run(async move {
            let listener = TcpListener::bind(engine).await?;
            standin::engine::serve(options, listener, executor).await
        }))
    });
}

/// Starts an agent on its own thread, with the given rows in the table.
fn start_agent(engine: SocketAddr, rows: Vec<Put>) -> SocketAddr {
    let agent = free_address();
    std::thread::spawn(move || {
        let table = MemoryTable::new();
        table.apply(&TableRequest::Commit(Transaction {
            puts: rows,
            ..Transaction::default()
        }));
        agent::serve(DaemonConfig {
            listen: agent,
            limits: Limits::new("engine-1", INCARNATION, agent),
            target: engine,
            keys: keys(),
            table: Rc::new(table),
            weights: Rc::new(MemoryWeightStore::new(Rc::new(SystemClock), Duration::ZERO)),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
            reload: None,
        })
    });
    agent
}

async fn post(address: SocketAddr, path: &str, body: &str) {
    let client = Client::new(address, ClientLimits::default());
    let request = client.request(http_types::Method::Post, path);
    let mut request = request.expect("path");
    request.set_body(body);
    client.send_buffered(request).await.expect("answer");
}

async fn counters(engine: SocketAddr) -> EngineCounters {
    let client = Client::new(engine, ClientLimits::default());
    let request = client.request(http_types::Method::Get, "/counters");
    let answer = client.send_buffered(request.expect("path")).await;
    serde_json::from_slice(&answer.expect("answer").body).expect("JSON")
}

/// Guards against answers that are truncated or relayed to the wrong request.
#[test]
fn relays_complete_answers_to_the_right_requests() {
    let (engine, agent) = start();
    smol::block_on(async {
        let mut entry = Entry::connect(agent).await;
        assert!(matches!(entry.next().await, ToEntry::Welcome { .. }));
        for request in 1..20 {
            let prompt = format!("hut {request}");
            let body = format!(r#"{{"prompt": "{prompt}", "max_tokens": 40}}"#);
            let (status, bytes) = entry.complete(request, &body, false).await;
            assert_eq!(status, 200);
            let answer: serde_json::Value = serde_json::from_slice(&bytes).expect("JSON");
            assert_eq!(answer["choices"][0]["text"], output_text(&prompt, 40));

            let body = format!(r#"{{"prompt": "{prompt}", "max_tokens": 40, "stream": true}}"#);
            let (_, bytes) = entry.complete(1000 + request, &body, true).await;
            let text = String::from_utf8(bytes).expect("UTF-8");
            let relayed: String = text
                .split("\n\n")
                .filter_map(|event| event.strip_prefix("data: "))
                .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
                .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
                .collect();
            assert_eq!(relayed, output_text(&prompt, 40));
            assert!(text.ends_with("data: [DONE]\n\n"));
        }
        let counters = counters(engine).await;
        assert_eq!(counters.runs.len(), 38);
        assert!(counters.runs.iter().all(|run| run.finished == run.started));
    });
}

/// Guards against unanswered probes, after which entries send the target no new work.
#[test]
fn answers_probes_with_a_load_report() {
    let (_, agent) = start();
    smol::block_on(async {
        Entry::connect(agent).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback");
        let probe = Datagram::Probe {
            entry: 3,
            sequence: 9,
            head: 0,
        };
        let bytes = probe.encode(&keys()).expect("short");
        socket.send_to(&bytes, agent).await.expect("sent");
        let mut buffer = [0; 2048];
        let (count, _) = socket.recv_from(&mut buffer).await.expect("answer");
        match Datagram::decode(&buffer[..count], &keys()) {
            Ok(Datagram::Alive {
                target,
                sequence,
                load,
            }) => {
                assert_eq!((target.as_str(), sequence), ("engine-1", 9));
                assert_eq!(load.incarnation, INCARNATION);
            }
            other => panic!("{other:?}"),
        }
    });
}

/// Guards against an answer that is truncated or generated again when the entry's connection stalls
/// permanently.
#[test]
fn resumes_a_stream_after_the_entry_connection_stalled() {
    let engine = free_address();
    let options = EngineOptions {
        decode_rate: 100.0,
        ..EngineOptions::new(engine)
    };
    start_engine(options);
    let agent = start_agent(engine, Vec::new());
    let (control, forwarder_address) = (free_address(), free_address());
    std::thread::spawn(move || {
        standin::forwarder::run(&ForwarderOptions {
            control,
            link: vec![Link {
                listen: forwarder_address,
                target: agent,
            }],
        })
    });
    smol::block_on(async {
        while TcpStream::connect(control).await.is_err() {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let mut entry = Entry::connect(forwarder_address).await;
        entry.wait_until_ready().await;
        let attempt = AttemptId {
            request: 77,
            number: 1,
        };
        let body = r#"{"prompt": "hut", "max_tokens": 150, "stream": true}"#;
        let mut first = dispatch(attempt, body, true);
        first.credit_bytes = 1 << 20;
        entry.send(ToAgent::Dispatch(Box::new(first))).await;
        let mut bytes = Vec::new();
        while bytes.len() < 2000 {
            if let ToEntry::Chunk { bytes: chunk, .. } = entry.next().await {
                bytes.extend_from_slice(&chunk);
            }
        }
        post(control, "/mode", r#"{"silence": "existing"}"#).await;
        smol::Timer::after(Duration::from_millis(300)).await;

        let mut other = Entry::connect(forwarder_address).await;
        other
            .send(ToAgent::Resume {
                attempt,
                offset: bytes.len() as u64,
                credit_bytes: 1 << 20,
            })
            .await;
        let mut digest = AnswerDigest::default();
        let whole = loop {
            match other.next().await {
                ToEntry::Chunk {
                    offset,
                    bytes: chunk,
                    ..
                } => {
                    assert_eq!(offset, bytes.len() as u64);
                    bytes.extend_from_slice(&chunk);
                }
                ToEntry::End { digest, .. } => break digest,
                ToEntry::Failed { detail, .. } => panic!("{detail}"),
                _ => {}
            }
        };
        digest.push(&bytes);
        assert_eq!(whole, digest.digest());
        let counters = counters(engine).await;
        assert_eq!((counters.runs.len(), counters.runs[0].started), (1, 1));
    });
}

/// Guards against an engine that is not in the ordered state because it crashed during the change.
#[test]
fn repeats_an_order_after_the_engine_crashed_during_it() {
    let engine = free_address();
    let options = EngineOptions {
        away_ms: 300,
        crash_ms: 300,
        instant: true,
        ..EngineOptions::new(engine)
    };
    let order = Order {
        target: "engine-1".to_owned(),
        number: 1,
        fencing: 4,
        revision: 1,
        kind: OrderKind::ChangeRole { role: Role::Decode },
    };
    let row = Put {
        key: control::keys::order("engine-1"),
        value: serde_json::to_string(&order).ok(),
    };
    start_engine(options);
    smol::block_on(async {
        while TcpStream::connect(engine).await.is_err() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        post(engine, "/faults", r#"{"crash_in_change": 1}"#).await;
        let agent = start_agent(engine, vec![row]);
        let mut entry = Entry::connect(agent).await;
        loop {
            entry.send(ToAgent::Ping { nonce: 1 }).await;
            let is_executed = match entry.next().await {
                ToEntry::Pong { load, .. } => load.applied == 1 && !load.away,
                _ => false,
            };
            if is_executed {
                break;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let counters = counters(engine).await;
        assert_eq!(counters.crashes, 1);
        assert_eq!((counters.overlapping, counters.backward), (0, 0));
        let passed: Vec<(u64, u64)> = counters
            .orders
            .iter()
            .map(|order| (order.number, order.fencing))
            .collect();
        assert_eq!(passed, [(1, 4), (1, 4)]);
    });
}
