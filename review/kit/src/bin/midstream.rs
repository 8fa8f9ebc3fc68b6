//! Connections of a gateway to its engines are reset while streams run, and the engine that reads a
//! prompt again for a resumed stream sends an answer without end. The client gets the head of
//! another answer in the middle of its stream.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
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
use review::reset;
use review::stream_head;
use serde_json::json;

const GATEWAYS: usize = 3;
const EVENTS: u32 = 60;
/// Streams of each gateway a second.
const STREAMS_PER_S: u32 = 4;
/// The first window of the retry budget, in which a gateway that has just started has no slack.
const CALM: Duration = Duration::from_secs(14);
const LENGTH: Duration = Duration::from_secs(26);
/// Of 20 connections of the first gateway, the ones that are reset.
const RESET_OF_20: usize = 11;
/// Answers that a prefill engine spoils.
const SPOILED: usize = 3;

/// What engines share: the reset, the answers to spoil, and whose handle is whose.
#[derive(Default)]
struct Shared {
    is_reset: AtomicBool,
    connections: AtomicUsize,
    spoiled: AtomicUsize,
    handles: Mutex<BTreeMap<String, String>>,
}

fn main() {
    let record = Record::default();
    let folder = Folder::new("midstream");
    let store = Store::start();
    let configuration = json!({
        "version": 1,
        "routes": [{ "name": "parte", "host": HOST, "pathPrefix": "/parte/", "kind": "streaming",
                     "timeoutMs": 5_000, "targetLatencyMs": 800, "gapAimMs": 300, "priority": 1,
                     "service": "modelos", "maxAttempts": 2, "resumable": true }],
        "services": [{ "name": "modelos", "healthPath": "/health", "maxConnections": 370,
                       "engine": engine_properties() }],
        "limits": client_limits(),
    });
    store.put("op", "config", &configuration);
    let shared: Arc<Shared> = Arc::default();
    let mut engines = Vec::new();
    for number in 0..2 {
        let entry =
            json!({ "service": "modelos", "version": "7.1", "slots": 64, "stage": "prefill" });
        let (shared, record) = (shared.clone(), record.clone());
        let serve = move |request: &Request, stream: &mut TcpStream| {
            prefill(&shared, &record, request, stream)
        };
        engines.push(Engine::start(
            store,
            &format!("lee-{number}"),
            entry,
            Arc::new(serve),
        ));
    }
    for number in 0..4 {
        let entry =
            json!({ "service": "modelos", "version": "7.1", "slots": 64, "stage": "decode" });
        let (shared, record) = (shared.clone(), record.clone());
        let serve = move |request: &Request, stream: &mut TcpStream| {
            decode(&shared, &record, request, stream)
        };
        engines.push(Engine::start(
            store,
            &format!("escribe-{number}"),
            entry,
            Arc::new(serve),
        ));
    }
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(&folder.0, number as u8, store).expect("the gateway starts"))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        drop(gateways);
        drop(folder);
        give_up(&record, "a gateway is not ready");
    }
    let faults: Arc<Mutex<Vec<String>>> = Arc::default();
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.clients).collect();
    let started = Instant::now();
    let clients = {
        let (faults, record) = (faults.clone(), record.clone());
        thread::spawn(move || {
            let mut calls = Vec::new();
            let mut number = 0;
            while started.elapsed() < LENGTH {
                number += 1;
                let at = number % GATEWAYS;
                let (address, faults, record) = (addresses[at], faults.clone(), record.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("g{at}-{number}");
                    let request = format!(
                        "POST /parte/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
                         X-Model: m\r\nX-Token-Counts: 9000,420\r\nX-Prompt-Prefix: 5c1e:6000,{number:x}:3000\r\n\
                         X-Deadline-Ms: 8000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhola"
                    );
                    match call(address, request.as_bytes(), Duration::from_secs(8)) {
                        Err(error) => record.write(format!("{id}: no answer: {error}")),
                        Ok(got) => {
                            let fault = got.fault.clone().unwrap_or_default();
                            record.write(format!(
                                "{id}: status {}, {} bytes of body, complete {}; {fault}",
                                got.status, got.body.len(), got.is_complete
                            ));
                            faults.lock().unwrap().extend(got.fault);
                        }
                    }
                }));
                thread::sleep(Duration::from_secs(1) / STREAMS_PER_S / GATEWAYS as u32);
            }
            for call in calls {
                let _ = call.join();
            }
        })
    };
    thread::sleep(CALM);
    if has_trouble() {
        record.write("the network resets 11 of 20 connections of the first gateway");
        shared.spoiled.store(SPOILED, Ordering::SeqCst);
        shared.is_reset.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(100));
        shared.is_reset.store(false, Ordering::SeqCst);
    }
    let _ = clients.join();
    drop(gateways);
    drop(folder);
    let faults = faults.lock().unwrap();
    record.write(format!(
        "{} clients got bytes that are no answer: {faults:?}",
        faults.len()
    ));
    end(&record, !faults.is_empty());
}

/// Reads a prompt, or spoils its answer: bytes without end.
fn prefill(
    shared: &Shared,
    record: &Record,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let id = request.id();
    if request.method() == "DELETE" {
        return stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig.{id}\r\n\
         Content-Type: application/json\r\n"
    );
    let is_resumed = !request.head.get("last-event-id").is_empty();
    let take = |left: usize| left.checked_sub(1);
    if is_resumed
        && shared
            .spoiled
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
    {
        record.write(format!(
            "{id}: a prefill engine answers with bytes without end"
        ));
        stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        loop {
            stream.write_all(chunk(" ").as_bytes())?;
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(Duration::from_millis(180));
    let handle = format!("h{id}-{}", request.head.get("last-event-id"));
    shared
        .handles
        .lock()
        .unwrap()
        .insert(handle.clone(), id.to_owned());
    let body = json!({ "handle": handle, "tokens": 9000, "version": 1 }).to_string();
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// Streams, until the network resets the connection.
fn decode(
    shared: &Shared,
    record: &Record,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let id = request.id();
    let source = request
        .head
        .get("x-kv-source")
        .rsplit('/')
        .next()
        .unwrap_or_default()
        .to_owned();
    if !source.is_empty() && shared.handles.lock().unwrap().remove(&source).as_deref() != Some(id) {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return stream.write_all(refusal.as_bytes());
    }
    if source.is_empty() {
        thread::sleep(Duration::from_millis(400));
    }
    thread::sleep(Duration::from_millis(90));
    let after: u32 = request.head.get("last-event-id").parse().unwrap_or(0);
    record.write(format!("{id}: runs after event {after}"));
    stream.write_all(stream_head(request).as_bytes())?;
    let mut is_spared = after > 0 || !id.starts_with("g0-");
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        stream.write_all(chunk(&event).as_bytes())?;
        thread::sleep(Duration::from_millis(45));
        if !is_spared && number < EVENTS && shared.is_reset.load(Ordering::SeqCst) {
            is_spared = true;
            // 11 of any 20 connections in a row, spread evenly.
            let turn = shared.connections.fetch_add(1, Ordering::SeqCst) % 20;
            if (turn + 1) * RESET_OF_20 / 20 == turn * RESET_OF_20 / 20 {
                continue;
            }
            record.write(format!(
                "{id}: its connection is reset after event {number}"
            ));
            reset(stream);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
    stream.write_all(b"0\r\n\r\n")
}
