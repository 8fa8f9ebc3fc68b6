//! HTTP clients of the platform against the stand-in platform.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use smol::LocalExecutor;
use smol::net::TcpListener;
use standin::platform::Counters;
use standin::platform::PlatformOptions;
use store::Check;
use store::CommitOutcome;
use store::HostEntry;
use store::HostList;
use store::HostState;
use store::HttpHostList;
use store::HttpObjectStore;
use store::HttpOptions;
use store::HttpTable;
use store::HttpWeightStore;
use store::ObjectStore;
use store::Put;
use store::RateLimiter;
use store::RateLimits;
use store::RetryContext;
use store::RetryOptions;
use store::RetryingTable;
use store::StoreError;
use store::SystemTimer;
use store::Table;
use store::TableReply;
use store::TableRequest;
use store::Transaction;
use store::WeightStore;
use types::SystemClock;

/// Runs a test against a stand-in on a free port.
fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let options = PlatformOptions {
            host_lag_ms: Duration::ZERO,
            weight_interval_ms: Duration::from_mins(1),
            ..PlatformOptions::default()
        };
        let (_stop_sender, stop) = async_channel::bounded(1);
        let server = standin::platform::serve(listener, options, Rc::clone(&executor), stop);
        let server = async {
            server.await.unwrap();
        };
        test(address).or(server).await;
    }));
}

fn options() -> HttpOptions {
    HttpOptions {
        answer_ms: Duration::from_millis(200),
        ..HttpOptions::default()
    }
}

fn commit(key: &str, value: &str, version: u64) -> TableRequest {
    TableRequest::Commit(Transaction {
        checks: vec![Check {
            key: key.to_owned(),
            version,
        }],
        puts: vec![Put {
            key: key.to_owned(),
            value: Some(value.to_owned()),
        }],
        proof: key.to_owned(),
    })
}

async fn send(address: SocketAddr, method: Method, path: &str, body: &str) -> Vec<u8> {
    let client = Client::new(address, ClientLimits::default());
    let mut request = client.request(method, path).unwrap();
    request.set_body(body);
    let response = client.send_buffered(request).await.unwrap();
    assert!(response.status.is_success(), "{path}: {}", response.status);
    response.body
}

async fn counters(address: SocketAddr) -> Counters {
    let body = send(address, Method::Get, "/counters", "").await;
    serde_json::from_slice(&body).unwrap()
}

/// Guards against clients and stand-in that disagree on the encoding of table messages.
#[test]
fn commits_reads_and_conflicts_over_http() {
    with_platform(|address| async move {
        let table = HttpTable::new(address, options());
        let reply = table.call(commit("a/1", "\"x\"", 0)).await.unwrap();
        assert_eq!(reply, TableReply::Commit(CommitOutcome::Committed(vec![1])));
        let reply = table.call(commit("a/1", "\"y\"", 0)).await.unwrap();
        let TableReply::Commit(CommitOutcome::Conflict(rows)) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!((rows[0].version, rows[0].value.as_str()), (1, "\"x\""));
        let scan = TableRequest::Scan {
            prefix: "a/".to_owned(),
            after: String::new(),
            limit: 10,
        };
        assert_eq!(table.call(scan).await.unwrap(), TableReply::Rows(rows));
        let counters = counters(address).await.table;
        assert_eq!(
            (counters.reads, counters.writes, counters.commits),
            (1, 2, 1)
        );
    });
}

/// Guards against clients that report an outage as an unknown outcome, or the reverse.
#[test]
fn distinguishes_rejected_calls_from_lost_replies() {
    with_platform(|address| async move {
        let table = HttpTable::new(address, options());
        send(address, Method::Post, "/faults", r#"{"outages":["table"]}"#).await;
        let error = table.call(commit("k", "1", 0)).await.unwrap_err();
        assert!(matches!(error, StoreError::Unavailable(_)), "{error}");
        send(address, Method::Post, "/faults", r#"{"table_silent":true}"#).await;
        let error = table.call(commit("k", "1", 0)).await.unwrap_err();
        assert!(matches!(error, StoreError::Unanswered(_)), "{error}");
        send(address, Method::Post, "/faults", r#"{"lose_replies":1}"#).await;
        let error = table.call(commit("k", "1", 0)).await.unwrap_err();
        assert!(matches!(error, StoreError::Unanswered(_)), "{error}");
        assert_eq!(counters(address).await.table.commits, 1);
        let unreachable = HttpTable::new(SocketAddr::from(([127, 0, 0, 1], 1)), options());
        let error = unreachable.call(commit("k", "1", 0)).await.unwrap_err();
        assert!(matches!(error, StoreError::Unavailable(_)), "{error}");
    });
}

/// Guards against a repeated commit, or a false failure, after the reply to a commit is lost.
#[test]
fn retrying_table_resolves_lost_reply_over_http() {
    with_platform(|address| async move {
        let rate_limit = RateLimiter::new(&RateLimits::default(), Instant::now());
        let table = RetryingTable::new(
            Rc::new(HttpTable::new(address, options())),
            RetryOptions::default(),
            RetryContext {
                clock: Rc::new(SystemClock),
                timer: Rc::new(SystemTimer),
                rate_limit: Rc::new(rate_limit),
            },
            7,
        );
        send(address, Method::Post, "/faults", r#"{"lose_replies":1}"#).await;
        let reply = table.call(commit("k", "1", 0)).await.unwrap();
        assert_eq!(reply, TableReply::Commit(CommitOutcome::Committed(vec![1])));
        assert_eq!(counters(address).await.table.commits, 1);
    });
}

/// Guards against object keys that are altered by URL encoding.
#[test]
fn stores_objects_under_any_key() {
    with_platform(|address| async move {
        let objects = HttpObjectStore::new(address, options());
        let key = "answer/a b?c#d%2F é";
        assert_eq!(objects.get(key).await.unwrap(), None);
        objects.put(key, vec![0, 255, 10]).await.unwrap();
        assert_eq!(objects.get(key).await.unwrap(), Some(vec![0, 255, 10]));
        assert_eq!(objects.get("answer/a b?c#d/ é").await.unwrap(), None);
        objects.delete(key).await.unwrap();
        objects.delete(key).await.unwrap();
        assert_eq!(objects.get(key).await.unwrap(), None);
    });
}

/// Guards against loads above the weight store's rate, and waits that the client does not return.
#[test]
fn weight_store_limits_the_rate_of_loads() {
    with_platform(|address| async move {
        let weights = HttpWeightStore::new(address, options());
        assert_eq!(weights.reserve("org/model:7b", "3").await.unwrap(), None);
        let wait = weights.reserve("org/model:7b", "3").await.unwrap();
        let wait = wait.expect("the second load must wait");
        assert!(!wait.is_zero() && wait <= Duration::from_mins(1));
        assert_eq!(counters(address).await.weights, 1);
    });
}

/// Guards against a fault that does not replace the host list, or that cannot be ended.
#[test]
fn host_list_returns_an_injected_wrong_list() {
    with_platform(|address| async move {
        let hosts = HttpHostList::new(address, options());
        let entry = |state| HostEntry {
            host: "h1".to_owned(),
            state,
        };
        let list = serde_json::to_string(&[entry(HostState::Live)]).unwrap();
        send(address, Method::Post, "/hosts", &list).await;
        assert_eq!(hosts.hosts().await.unwrap(), [entry(HostState::Live)]);
        let wrong = r#"{"hosts":[{"host":"h1","state":"leaving"}]}"#;
        send(address, Method::Post, "/faults", wrong).await;
        assert_eq!(hosts.hosts().await.unwrap(), [entry(HostState::Leaving)]);
        send(address, Method::Post, "/faults", "{}").await;
        assert_eq!(hosts.hosts().await.unwrap(), [entry(HostState::Live)]);
    });
}
