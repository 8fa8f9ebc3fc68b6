//! Closed-loop load generator for one address. Results are comparable only within one session on
//! one machine.
//!
//! Usage: `cargo run --release -p http --example load -- ADDR PATH CALLERS SECONDS [BODY]`

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Client;
use http::ClientLimits;
use http_types::Method;
use smol::LocalExecutor;

#[derive(Default)]
struct Results {
    latencies: Vec<Duration>,
    failures: usize,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [addr, path, callers, seconds, ..] = arguments.as_slice() else {
        eprintln!("usage: load ADDR PATH CALLERS SECONDS [BODY]");
        return;
    };
    let client = Client::new(addr.parse().expect("ADDR"), ClientLimits::default());
    let callers: usize = callers.parse().expect("CALLERS");
    let duration = Duration::from_secs(seconds.parse().expect("SECONDS"));
    let body = arguments.get(4).cloned();
    let results = Rc::new(RefCell::new(Results::default()));
    let executor = Rc::new(LocalExecutor::new());
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let call = call(client.clone(), path.clone(), body.clone(), results.clone());
            executor.spawn(async move {
                while start.elapsed() < duration {
                    call().await;
                }
            })
        })
        .collect();
    smol::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    report(&mut results.borrow_mut(), start.elapsed());
}

fn call(
    client: Client,
    path: String,
    body: Option<String>,
    results: Rc<RefCell<Results>>,
) -> impl AsyncFn() {
    async move || {
        let method = if body.is_some() {
            Method::Post
        } else {
            Method::Get
        };
        let mut request = client.request(method, &path).expect("PATH");
        if let Some(body) = &body {
            request.insert_header("content-type", "application/json");
            request.set_body(body.as_str());
        }
        let sent = Instant::now();
        let result = client.send_buffered(request).await;
        let mut results = results.borrow_mut();
        match result {
            Ok(answer) if answer.status.is_success() => results.latencies.push(sent.elapsed()),
            _ => results.failures += 1,
        }
    }
}

fn report(results: &mut Results, elapsed: Duration) {
    results.latencies.sort_unstable();
    let count = results.latencies.len();
    let percentile = |percent: usize| {
        results
            .latencies
            .get(count * percent / 100)
            .copied()
            .unwrap_or_default()
    };
    println!(
        "answers {count}, failures {}, per second {:.0}, median {:?}, 95th percentile {:?}",
        results.failures,
        f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / elapsed.as_secs_f64(),
        percentile(50),
        percentile(95)
    );
}
