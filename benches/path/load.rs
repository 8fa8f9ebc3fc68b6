//! Callers on threads of their own.

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

/// Where callers send to.
#[derive(Debug, Clone)]
pub struct Target {
    pub addresses: Vec<SocketAddr>,
    pub path: String,
}

/// How fast callers send.
#[derive(Debug, Clone, Copy)]
pub enum Pace {
    /// The next request follows the answer.
    Closed,
    /// All callers together.
    PerSecond(f64),
}

/// What callers saw.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    pub per_s: f64,
    pub median_ms: f64,
    pub p95_ms: f64,
    pub failed: u64,
}

/// Requests that stay open until this is dropped.
pub struct Held {
    stop: smol::channel::Sender<()>,
}

/// Sends requests for some time and waits for the figures. `at_start` runs after the warm-up, so
/// that what it reads covers the same time as the figures.
pub async fn measure(
    target: &Target,
    callers: usize,
    pace: Pace,
    time: Duration,
    at_start: impl FnOnce(),
) -> Seen {
    let threads: Vec<_> = (0..THREADS)
        .map(|index| {
            let target = target.clone();
            thread::spawn(move || on_thread(&target, index, callers / THREADS, pace, time))
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
    let mut all = Histogram::<u64>::new(3).expect("3 digits are valid");
    let mut failed = 0;
    for (histogram, failures) in results {
        all.add(&histogram).expect("same range");
        failed += failures;
    }
    Seen {
        per_s: as_f64(all.len()) / time.as_secs_f64(),
        median_ms: as_f64(all.value_at_quantile(0.5)) / 1000.0,
        p95_ms: as_f64(all.value_at_quantile(0.95)) / 1000.0,
        failed,
    }
}

/// Opens requests and keeps them open.
pub async fn hold(target: &Target, count: usize) -> Held {
    let (stop, stopped) = smol::channel::bounded::<()>(1);
    let target = target.clone();
    thread::spawn(move || {
        let executor = LocalExecutor::new();
        for number in 0..count {
            let client = client(target.addresses[0]);
            let path = target.path.clone();
            executor
                .spawn(async move {
                    let request = request(&client, &path, number, 100, true);
                    let _ = client.send_whole(request).await;
                })
                .detach();
        }
        smol::block_on(executor.run(async {
            let _ = stopped.recv().await;
        }));
    });
    Timer::after(Duration::from_secs(3)).await;
    Held { stop }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.stop.close();
    }
}

/// Keeps streams open and returns the events a second. `at_start` runs after the warm-up.
pub async fn stream(
    target: &Target,
    streams: usize,
    time: Duration,
    at_start: impl FnOnce(),
) -> f64 {
    let events = Arc::new(AtomicU64::new(0));
    for index in 0..THREADS {
        let (target, events) = (target.clone(), events.clone());
        thread::spawn(move || stream_on_thread(&target, index, streams / THREADS, &events, time));
    }
    Timer::after(Duration::from_secs(1)).await;
    at_start();
    let before = events.load(Ordering::Relaxed);
    Timer::after(time).await;
    as_f64(events.load(Ordering::Relaxed) - before) / time.as_secs_f64()
}

fn stream_on_thread(
    target: &Target,
    thread: usize,
    streams: usize,
    events: &Arc<AtomicU64>,
    time: Duration,
) {
    let executor = LocalExecutor::new();
    for number in 0..streams {
        let client = client(target.addresses[0]);
        let (path, events) = (target.path.clone(), events.clone());
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
        Timer::after(time + Duration::from_secs(1)).await;
    }));
}

fn on_thread(
    target: &Target,
    thread: usize,
    callers: usize,
    pace: Pace,
    time: Duration,
) -> (Histogram<u64>, u64) {
    let executor = LocalExecutor::new();
    let tasks: Vec<_> = (0..callers)
        .map(|index| {
            let number = thread * callers + index;
            let address = target.addresses[number % target.addresses.len()];
            executor.spawn(call(address, target.path.clone(), number, pace, time))
        })
        .collect();
    smol::block_on(executor.run(async {
        let mut all = Histogram::<u64>::new(3).expect("3 digits are valid");
        let mut failed = 0;
        for task in tasks {
            let (histogram, failures) = task.await;
            all.add(&histogram).expect("same range");
            failed += failures;
        }
        (all, failed)
    }))
}

async fn call(
    address: SocketAddr,
    path: String,
    number: usize,
    pace: Pace,
    time: Duration,
) -> (Histogram<u64>, u64) {
    let client = client(address);
    let mut histogram = Histogram::<u64>::new(3).expect("3 digits are valid");
    let mut failed = 0;
    let begin = Instant::now() + WARM_UP_MS;
    let gap = match pace {
        Pace::Closed => None,
        Pace::PerSecond(rate) => Some(Duration::from_secs_f64(64.0 / rate)),
    };
    let mut due = Instant::now()
        + gap
            .unwrap_or_default()
            .mul_f64(as_f64(number as u64) / 64.0);
    while Instant::now() < begin + time {
        if let Some(gap) = gap {
            Timer::at(due).await;
            due += gap;
        }
        let sent = Instant::now();
        let response = client
            .send_whole(request(&client, &path, number, 4, false))
            .await;
        let is_good = response.is_ok_and(|response| u16::from(response.status) == 200);
        if sent < begin {
            continue;
        }
        if is_good {
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
