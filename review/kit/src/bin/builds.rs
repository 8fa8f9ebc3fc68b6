//! Engines are replaced by ones of another software version. Streams whose first event comes after
//! their engine's entry is gone go on at an engine of the other version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review::Engine;
use review::Folder;
use review::Gateway;
use review::HOST;
use review::Record;
use review::Request;
use review::Store;
use review::call;
use review::chunk;
use review::client_limits;
use review::end;
use review::engine_properties;
use review::give_up;
use review::has_trouble;
use review::stream_head;
use serde_json::json;

/// `drainMs`, and how much longer an engine serves after it has left.
const DRAIN: Duration = Duration::from_millis(2_000);
const LONGER: Duration = Duration::from_millis(300);
const ENGINES: usize = 12;
/// Engines that are replaced in two releases, `AT_ONCE` at a time; the new ones start `AHEAD` before.
const RELEASES: [std::ops::Range<usize>; 2] = [0..6, 6..11];
const AT_ONCE: usize = 2;
const AHEAD: Duration = Duration::from_millis(400);
const GAP: Duration = Duration::from_secs(1);
const STREAMS_PER_S: u32 = 32;
const EVENTS: u32 = 68;
/// The first window of the retry budget, in which a gateway that has just started has no slack.
const CALM: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(46);
/// Streams of events of two versions that the rule allows.
const ALLOWED: usize = 2;

/// One engine with the rates of the sheet: prompts are read one after the other.
fn engine(store: Store, id: &str, version: &'static str, record: &Record) -> Engine {
    let entry = json!({ "service": "modelos", "version": version, "slots": 64, "stage": "decode" });
    let reading = Arc::new(Mutex::new(()));
    let running = Arc::new(AtomicUsize::new(0));
    let (own, record) = (id.to_owned(), record.clone());
    let serve = move |request: &Request, stream: &mut TcpStream| {
        let after: u32 = request.head.get("last-event-id").parse().unwrap_or(0);
        let counts = request.head.get("x-token-counts");
        let tokens: f64 = counts
            .split(',')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0.0);
        let pairs = tokens * tokens / 2.0;
        let steps =
            (tokens / 512.0).ceil() * (4.55 + 0.181 * running.load(Ordering::SeqCst) as f64);
        let prefill_ms = (tokens / 61.4 + pairs / 1e6 * 0.525) * 2.0 + steps;
        {
            let _turn = reading.lock().unwrap();
            thread::sleep(Duration::from_secs_f64(prefill_ms / 1e3));
        }
        thread::sleep(Duration::from_millis(90));
        running.fetch_add(1, Ordering::SeqCst);
        let result = (|| {
            record.write(format!(
                "{}: {own} ({version}) begins after event {after}",
                request.id()
            ));
            stream.write_all(stream_head(request).as_bytes())?;
            for number in after + 1..=EVENTS {
                let event = format!(
                    "id: {number}\ndata: {} {number} {version} {own}\n\n",
                    request.id()
                );
                stream.write_all(chunk(&event).as_bytes())?;
                let step_ms = 7.0 * (4.55 + 0.181 * running.load(Ordering::SeqCst) as f64);
                thread::sleep(Duration::from_secs_f64(step_ms / 1e3));
            }
            stream.write_all(b"0\r\n\r\n")
        })();
        running.fetch_sub(1, Ordering::SeqCst);
        result
    };
    Engine::start(store, id, entry, Arc::new(serve))
}

fn main() {
    let record = Record::default();
    let folder = Folder::new("builds");
    let store = Store::start();
    let configuration = json!({
        "version": 1,
        "routes": [{ "name": "parte", "host": HOST, "pathPrefix": "/parte/", "kind": "streaming",
                     "timeoutMs": 8_000, "targetLatencyMs": 800, "gapAimMs": 300, "priority": 1,
                     "service": "modelos", "maxAttempts": 2, "resumable": true }],
        "services": [{ "name": "modelos", "healthPath": "/health", "maxConnections": 370,
                       "engine": engine_properties() }],
        "limits": client_limits(),
    });
    store.put("op", "config", &configuration);
    let old: Vec<Engine> = (0..ENGINES)
        .map(|number| engine(store, &format!("old-{number}"), "7.1", &record))
        .collect();
    let gateways: Vec<Gateway> = (0..2)
        .map(|number| Gateway::start(&folder.0, number, store).expect("the gateway starts"))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        drop(gateways);
        drop(folder);
        give_up(&record, "a gateway is not ready");
    }
    // Versions of the events of each answer, by request.
    let versions: Arc<Mutex<BTreeMap<String, BTreeSet<String>>>> = Arc::default();
    let started = Instant::now();
    let clients = {
        let (versions, record) = (versions.clone(), record.clone());
        let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.clients).collect();
        thread::spawn(move || {
            let mut calls = Vec::new();
            let mut number = 0;
            while started.elapsed() < LENGTH {
                number += 1;
                let address = addresses[number % addresses.len()];
                let (versions, record) = (versions.clone(), record.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("p{number}");
                    let request = format!(
                        "POST /parte/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
                         X-Model: m\r\nX-Token-Counts: 8000,476\r\nX-Prompt-Prefix: {number:x}:8000\r\n\
                         X-Deadline-Ms: 8000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhola"
                    );
                    let Ok(got) = call(address, request.as_bytes(), Duration::from_secs(8)) else {
                        record.write(format!("{id}: no answer"));
                        return;
                    };
                    let text = String::from_utf8_lossy(&got.body).into_owned();
                    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
                    let events: Vec<Vec<&str>> = events.map(|event| event.split(' ').collect()).collect();
                    let seen: BTreeSet<String> = events.iter().map(|event| event[2].to_owned()).collect();
                    let by: BTreeSet<&str> = events.iter().map(|event| event[3]).collect();
                    record.write(format!(
                        "{id}: status {}, {} events, complete {}, versions {seen:?}, engines {by:?}",
                        got.status, events.len(), got.is_complete
                    ));
                    versions.lock().unwrap().insert(id, seen);
                }));
                thread::sleep(Duration::from_secs(1) / STREAMS_PER_S);
            }
            for call in calls {
                let _ = call.join();
            }
        })
    };
    thread::sleep(CALM);
    let mut new = Vec::new();
    if has_trouble() {
        let groups = RELEASES
            .iter()
            .flat_map(|release| old[release.clone()].chunks(AT_ONCE));
        for group in groups {
            for old in group {
                let id = old.id.replace("old", "new");
                record.write(format!("{id} (7.2) starts"));
                new.push(engine(store, &id, "7.2", &record));
            }
            thread::sleep(AHEAD);
            for engine in group {
                record.write(format!("{} leaves: its entry is removed", engine.id));
                engine.remove_entry();
            }
            thread::sleep(DRAIN + LONGER);
            for engine in group {
                record.write(format!("{} ends", engine.id));
                engine.exit();
            }
            thread::sleep(GAP);
        }
    }
    let _ = clients.join();
    drop(gateways);
    drop(folder);
    let versions = versions.lock().unwrap();
    let mixed: Vec<&String> = versions
        .iter()
        .filter(|(_, seen)| seen.len() > 1)
        .map(|(id, _)| id)
        .collect();
    record.write(format!(
        "{} answers, {} with events of two versions: {mixed:?}",
        versions.len(),
        mixed.len()
    ));
    end(&record, mixed.len() > ALLOWED);
}
