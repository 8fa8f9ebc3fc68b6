//! The eighth part of prompts crashes engines. Requests with it are sent on and on.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review::Engine;
use review::Folder;
use review::Gateway;
use review::HEARTBEAT;
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

const ENGINES: usize = 6;
/// Sound streams a second, by gateway: the platform's choice of gateways is uneven.
const STREAMS_PER_S: [u32; 3] = [4, 4, 4];
const EVENTS: u32 = 25;
/// Part of prompts that crashes the engines that begin to write an answer on it.
const DEADLY_PART: &str = "dead1";
const CONTACT: Duration = Duration::from_secs(3);
/// When requests with the deadly part begin to come, and how often.
const DEADLY_FROM: Duration = Duration::from_secs(12);
const DEADLY_GAP: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(42);
/// Time after a crash in which the engine is down.
const DOWN: Duration = Duration::from_millis(6_000);

/// A sound request: gateway, when it was sent, and whether its stream began.
type Sent = (usize, Instant, bool);

/// Parts of all prompts, before the deadly one and the request's own.
fn shared_parts(count: usize) -> String {
    (0..count)
        .map(|part| format!("5c1e{part:x}:600,"))
        .collect()
}

/// An engine that reads prompts one after the other.
fn engine(
    store: Store,
    id: &str,
    record: &Record,
    has_crashed: Arc<AtomicBool>,
    reached: &Arc<Mutex<Vec<Instant>>>,
) -> Engine {
    let reached = reached.clone();
    let entry = json!({ "service": "modelos", "version": "7.1", "slots": 64, "stage": "decode" });
    let reading = Arc::new(Mutex::new(()));
    let (own, record) = (id.to_owned(), record.clone());
    let serve = move |request: &Request, stream: &mut TcpStream| {
        let parts: Vec<&str> = request.head.get("x-prompt-prefix").split(',').collect();
        let (_, shared) = parts.split_last().unwrap_or((&"", &[]));
        let is_deadly = shared
            .iter()
            .any(|part| part.split(':').next() == Some(DEADLY_PART));
        if is_deadly {
            reached.lock().unwrap().push(Instant::now());
        }
        {
            let _turn = reading.lock().unwrap();
            thread::sleep(Duration::from_millis(400));
        }
        thread::sleep(Duration::from_millis(90));
        stream.write_all(stream_head(request).as_bytes())?;
        if is_deadly {
            record.write(format!("{}: {own} crashes", request.id()));
            has_crashed.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_secs(1));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {} {number}\n\n", request.id());
            stream.write_all(chunk(&event).as_bytes())?;
            thread::sleep(Duration::from_millis(40));
        }
        stream.write_all(b"0\r\n\r\n")
    };
    Engine::start(store, id, entry, Arc::new(serve))
}

/// Shared parts before the deadly one.
fn parts() -> usize {
    std::env::var("PARTS")
        .ok()
        .and_then(|parts| parts.parse().ok())
        .unwrap_or(7)
}

fn send(address: SocketAddr, id: &str, middle: &str) -> (u16, bool) {
    let request = format!(
        "POST /consulta/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 8000,175\r\nX-Prompt-Prefix: {}{middle}{:x}:3000\r\n\
         X-Deadline-Ms: 8000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{id}",
        shared_parts(parts()),
        id.bytes()
            .fold(7_u64, |sum, byte| sum * 31 + u64::from(byte))
            & 0xff_ffff_ffff,
        id.len()
    );
    let got = call(address, request.as_bytes(), Duration::from_secs(8));
    got.map_or((0, false), |got| {
        (got.status, got.status == 200 && !got.body.is_empty())
    })
}

fn main() {
    let record = Record::default();
    let folder = Folder::new("blame");
    let store = Store::start();
    let configuration = json!({
        "version": 1,
        "routes": [{ "name": "consulta", "host": HOST, "pathPrefix": "/consulta/",
                     "kind": "streaming", "timeoutMs": 8_000, "targetLatencyMs": 800,
                     "gapAimMs": 300, "priority": 0, "service": "modelos", "maxAttempts": 1 }],
        "services": [{ "name": "modelos", "healthPath": "/health", "maxConnections": 370,
                       "engine": engine_properties() }],
        "limits": client_limits(),
    });
    store.put("op", "config", &configuration);
    let reached: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let engines: Arc<Mutex<Vec<(Engine, Arc<AtomicBool>)>>> = Arc::default();
    for number in 0..ENGINES {
        let has_crashed = Arc::new(AtomicBool::new(false));
        let started = engine(
            store,
            &format!("i-{number}"),
            &record,
            has_crashed.clone(),
            &reached,
        );
        engines.lock().unwrap().push((started, has_crashed));
    }
    let gateways: Vec<Gateway> = (0..STREAMS_PER_S.len())
        .map(|number| Gateway::start(&folder.0, number as u8, store).expect("the gateway starts"))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        drop(gateways);
        drop(folder);
        give_up(&record, "a gateway is not ready");
    }
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.clients).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let started = Instant::now();
    // Crashed engines come back under a new id; the entry goes after three heartbeats.
    {
        let (all, crashes, record) = (engines.clone(), crashes.clone(), record.clone());
        let reached = reached.clone();
        thread::spawn(move || {
            let mut next = ENGINES;
            loop {
                thread::sleep(Duration::from_millis(2));
                let mut engines = all.lock().unwrap();
                let crashed = engines
                    .iter()
                    .position(|(_, flag)| flag.load(Ordering::SeqCst));
                let Some(at) = crashed else { continue };
                let (crashed, _) = engines.remove(at);
                crashed.exit();
                crashes.lock().unwrap().push(Instant::now());
                let record = record.clone();
                record.write(format!("{} engines are left", engines.len()));
                drop(engines);
                next += 1;
                thread::spawn(move || {
                    thread::sleep(HEARTBEAT * 3);
                    crashed.remove_entry();
                });
                thread::spawn({
                    let (all, record) = (all.clone(), record);
                    let reached = reached.clone();
                    move || {
                        thread::sleep(DOWN);
                        let flag = Arc::new(AtomicBool::new(false));
                        let back =
                            engine(store, &format!("i-{next}"), &record, flag.clone(), &reached);
                        all.lock().unwrap().push((back, flag));
                    }
                });
            }
        });
    }
    let mut senders = Vec::new();
    for (at, rate) in STREAMS_PER_S.into_iter().enumerate() {
        let (address, sent, record) = (addresses[at], sent.clone(), record.clone());
        senders.push(thread::spawn(move || {
            let mut calls = Vec::new();
            let mut number = 0;
            while started.elapsed() < LENGTH {
                number += 1;
                let (sent, record) = (sent.clone(), record.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("g{at}-{number}");
                    let sent_at = Instant::now();
                    let (status, has_begun) = send(address, &id, "");
                    record.write(format!("{id}: status {status}, begun {has_begun}"));
                    sent.lock().unwrap().push((at, sent_at, has_begun));
                }));
                thread::sleep(Duration::from_secs(1) / rate);
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    if has_trouble() {
        let (addresses, record) = (addresses.clone(), record.clone());
        senders.push(thread::spawn(move || {
            thread::sleep(DEADLY_FROM);
            let mut calls = Vec::new();
            let mut number = 0;
            while started.elapsed() < LENGTH {
                number += 1;
                let (address, record) = (addresses[number % addresses.len()], record.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("d-{number}");
                    let (status, _) = send(address, &id, &format!("{DEADLY_PART}:300,"));
                    record.write(format!("{id}: with the deadly part, status {status}"));
                }));
                thread::sleep(DEADLY_GAP);
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    for sender in senders {
        let _ = sender.join();
    }
    drop(gateways);
    drop(folder);
    let (sent, crashes) = (sent.lock().unwrap(), crashes.lock().unwrap());
    let fifth = crashes.get(4).copied().unwrap_or(started + DEADLY_FROM);
    let share = |requests: Vec<&Sent>| {
        let begun = requests.iter().filter(|(_, _, begun)| *begun).count();
        (
            begun,
            requests.len(),
            begun as f64 / requests.len().max(1) as f64,
        )
    };
    let before = share(
        sent.iter()
            .filter(|(_, at, _)| *at < started + DEADLY_FROM)
            .collect(),
    );
    let after = share(
        sent.iter()
            .filter(|(_, at, _)| *at >= fifth + CONTACT * 2)
            .collect(),
    );
    let reached = reached.lock().unwrap();
    let reached = reached.iter().filter(|at| **at >= fifth + CONTACT).count();
    record.write(format!(
        "{} crashes; {reached} requests with the deadly part reached engines later than contactMs \
         after the fifth (3 are allowed); sound requests that began at the first attempt: {} of {} \
         before the first crash, {} of {} later than 2 x contactMs after the fifth",
        crashes.len(),
        before.0,
        before.1,
        after.0,
        after.1
    ));
    if before.1 < 20 || after.1 < 20 {
        give_up(&record, "too few requests");
    }
    end(&record, after.2 < before.2 / 2.0);
}
