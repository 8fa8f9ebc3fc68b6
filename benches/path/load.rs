//! Load generator: callers on separate threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use http_types::Request;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;

const THREADS: usize = 4;
const WARM_UP_MS: Duration = Duration::from_millis(500);

/// Addresses and path that callers send to.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub addresses: Vec<SocketAddr>,
    pub path: String,
}

/// Rate at which callers send.
#[derive(Debug, Clone, Copy)]
pub enum Pace {
    /// Closed loop: each caller sends the next request when it has the response.
    Closed,
    /// Open loop: fixed number of requests per second, over all 64 callers.
    PerSecond(f64),
}

/// Result of a measurement at the callers.
#[derive(Debug, Clone, Copy)]
pub struct Measurement {
    pub per_s: f64,
    pub median_ms: f64,
    pub p95_ms: f64,
    pub failed: u64,
}

/// Requests that stay open until this guard is dropped.
pub struct OpenRequests {
    stop: smol::channel::Sender<()>,
}

/// Sends requests for the measuring time after a warm-up. `at_start` runs at the end of the
/// warm-up, so that it can read counters for the same period.
pub async fn measure(
    endpoint: &Endpoint,
    callers: usize,
    pace: Pace,
    run_ms: Duration,
    at_start: impl FnOnce(),
) -> Measurement {
    let threads: Vec<_> = (0..THREADS)
        .map(|index| {
            let endpoint = endpoint.clone();
            thread::spawn(move || run_callers(&endpoint, index, callers / THREADS, pace, run_ms))
        })
        .collect();
    Timer::after(WARM_UP_MS).await;
    at_start();
    let results = smol::unblock(move || {
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect::<Vec<_>>()
    })
    .await;
    let mut latencies = Histogram::<u64>::new(3).expect("3 digits are valid");
    let mut failed = 0;
    for (histogram, failures) in results {
        latencies.add(&histogram).expect("same range");
        failed += failures;
    }
    Measurement {
        per_s: as_f64(latencies.len()) / run_ms.as_secs_f64(),
        median_ms: as_f64(latencies.value_at_quantile(0.5)) / 1000.0,
        p95_ms: as_f64(latencies.value_at_quantile(0.95)) / 1000.0,
        failed,
    }
}

/// Opens streaming requests and keeps them open.
pub async fn open_requests(endpoint: &Endpoint, count: usize) -> OpenRequests {
    let (stop, stopped) = smol::channel::bounded::<()>(1);
    let endpoint = endpoint.clone();
    thread::spawn(move || {
        let executor = LocalExecutor::new();
        for number in 0..count {
            let client = client(endpoint.addresses[0]);
            let path = endpoint.path.clone();
            executor
                .spawn(async move {
                    let request = request(&client, &path, number, 100, true);
                    let _ = client.send_buffered(request).await;
                })
                .detach();
        }
        smol::block_on(executor.run(async {
            let _ = stopped.recv().await;
        }));
    });
    Timer::after(Duration::from_secs(3)).await;
    OpenRequests { stop }
}

impl Drop for OpenRequests {
    fn drop(&mut self) {
        self.stop.close();
    }
}

/// Receives streams and returns the number of events per second. `at_start` runs at the end of the
/// warm-up.
pub async fn measure_streams(
    endpoint: &Endpoint,
    streams: usize,
    run_ms: Duration,
    at_start: impl FnOnce(),
) -> f64 {
    let events = Arc::new(AtomicU64::new(0));
    for index in 0..THREADS {
        let (endpoint, events) = (endpoint.clone(), events.clone());
        thread::spawn(move || run_streams(&endpoint, index, streams / THREADS, &events, run_ms));
    }
    Timer::after(Duration::from_secs(1)).await;
    at_start();
    let before = events.load(Ordering::Relaxed);
    Timer::after(run_ms).await;
    as_f64(events.load(Ordering::Relaxed) - before) / run_ms.as_secs_f64()
}

fn run_streams(
    endpoint: &Endpoint,
    thread: usize,
    streams: usize,
    events: &Arc<AtomicU64>,
    run_ms: Duration,
) {
    let executor = LocalExecutor::new();
    for number in 0..streams {
        let client = client(endpoint.addresses[0]);
        let (path, events) = (endpoint.path.clone(), events.clone());
        executor
            .spawn(async move {
                loop {
                    let request = request(&client, &path, thread * streams + number, 1000, true);
                    let Ok(mut response) = client.send(request).await else {
                        Timer::after(Duration::from_millis(10)).await;
                        continue;
                    };
                    while let Ok(Some(chunk)) = response.next_chunk().await {
                        let count = chunk.windows(5).filter(|w| *w == b"data:").count();
                        events.fetch_add(count as u64, Ordering::Relaxed);
                    }
                }
            })
            .detach();
    }
    smol::block_on(executor.run(async {
        Timer::after(run_ms + Duration::from_secs(1)).await;
    }));
}

fn run_callers(
    endpoint: &Endpoint,
    thread: usize,
    callers: usize,
    pace: Pace,
    run_ms: Duration,
) -> (Histogram<u64>, u64) {
    let executor = LocalExecutor::new();
    let tasks: Vec<_> = (0..callers)
        .map(|index| {
            let number = thread * callers + index;
            let address = endpoint.addresses[number % endpoint.addresses.len()];
            executor.spawn(run_caller(
                address,
                endpoint.path.clone(),
                number,
                pace,
                run_ms,
            ))
        })
        .collect();
    smol::block_on(executor.run(async {
        let mut latencies = Histogram::<u64>::new(3).expect("3 digits are valid");
        let mut failed = 0;
        for task in tasks {
            let (histogram, failures) = task.await;
            latencies.add(&histogram).expect("same range");
            failed += failures;
        }
        (latencies, failed)
    }))
}

async fn run_caller(
    address: SocketAddr,
    path: String,
    number: usize,
    pace: Pace,
    run_ms: Duration,
) -> (Histogram<u64>, u64) {
    let client = client(address);
    let mut histogram = Histogram::<u64>::new(3).expect("3 digits are valid");
    let mut failed = 0;
    let warm_up_end = Instant::now() + WARM_UP_MS;
    let interval = match pace {
        Pace::Closed => None,
        Pace::PerSecond(rate) => Some(Duration::from_secs_f64(64.0 / rate)),
    };
    let mut due = Instant::now()
        + interval
            .unwrap_or_default()
            .mul_f64(as_f64(number as u64) / 64.0);
    while Instant::now() < warm_up_end + run_ms {
        if let Some(interval) = interval {
            Timer::at(due).await;
            due += interval;
        }
        let sent = Instant::now();
        let response = client
            .send_buffered(request(&client, &path, number, 4, false))
            .await;
        let is_answered = response.is_ok_and(|response| u16::from(response.status) == 200);
        if sent < warm_up_end {
            continue;
        }
        if is_answered {
            let us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            histogram.record(us).expect("the histogram grows");
        } else {
            failed += 1;
        }
    }
    (histogram, failed)
}

fn request(client: &Client, path: &str, number: usize, tokens: u32, stream: bool) -> Request {
    let mut request = client.request(Method::Post, path).expect("valid path");
    request.insert_header("content-type", "application/json");
    let body = json!({"model": "demo", "prompt": format!("question {number}"),
        "max_tokens": tokens, "stream": stream});
    request.set_body(body.to_string());
    request
}

fn client(address: SocketAddr) -> Client {
    let limits = ClientLimits {
        head_ms: Duration::from_mins(1),
        stall_ms: Duration::from_mins(1),
        ..ClientLimits::default()
    };
    Client::new(address, limits)
}

#[allow(clippy::cast_precision_loss)] // counts of one measurement are far below 2^53
fn as_f64(count: u64) -> f64 {
    count as f64
}
