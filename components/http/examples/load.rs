//! Closed-loop load on one address, for speed comparisons within one run.
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
struct Tally {
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
    let length = Duration::from_secs(seconds.parse().expect("SECONDS"));
    let body = arguments.get(4).cloned();
    let tally = Rc::new(RefCell::new(Tally::default()));
    let executor = Rc::new(LocalExecutor::new());
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let call = call(client.clone(), path.clone(), body.clone(), tally.clone());
            executor.spawn(async move {
                while start.elapsed() < length {
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
    report(&mut tally.borrow_mut(), start.elapsed());
}

fn call(
    client: Client,
    path: String,
    body: Option<String>,
    tally: Rc<RefCell<Tally>>,
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
        let result = client.send_whole(request).await;
        let mut tally = tally.borrow_mut();
        match result {
            Ok(answer) if answer.status.is_success() => tally.latencies.push(sent.elapsed()),
            _ => tally.failures += 1,
        }
    }
}

fn report(tally: &mut Tally, elapsed: Duration) {
    tally.latencies.sort_unstable();
    let count = tally.latencies.len();
    let at = |share: usize| {
        tally
            .latencies
            .get(count * share / 100)
            .copied()
            .unwrap_or_default()
    };
    println!(
        "answers {count}, failures {}, per second {:.0}, median {:?}, 95th percentile {:?}",
        tally.failures,
        f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / elapsed.as_secs_f64(),
        at(50),
        at(95)
    );
}
