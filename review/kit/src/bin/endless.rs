//! One answer of one engine has no end. Other clients of the same gateway get no answers.

use std::io::Write;
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
use review::HOST;
use review::Record;
use review::Store;
use review::answer;
use review::call;
use review::chunk;
use review::client_limits;
use review::end;
use review::engine_properties;
use review::give_up;
use review::has_trouble;
use review::stream_head;
use serde_json::json;

/// `timeoutMs` of the route of status lookups, and the half second after it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
const LATE: Duration = Duration::from_millis(500);
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1_500);
const STREAM_DEADLINE: Duration = Duration::from_secs(8);
const GATEWAYS: u8 = 2;
/// Time without the disruption, and the whole time in which lookups are sent.
const CALM: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(20);

/// A status lookup: the gateway, when it was sent, and after how long its answer came.
type Lookup = (usize, Instant, Option<Duration>);

fn main() {
    let record = Record::default();
    let folder = Folder::new("endless");
    let store = Store::start();
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32| {
        json!({ "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
                "timeoutMs": timeout_ms, "targetLatencyMs": 500, "gapAimMs": 300, "priority": 1,
                "service": service, "maxAttempts": attempts })
    };
    let configuration = json!({
        "version": 1,
        "routes": [route("consulta", "streaming", "modelos", 8_000, 1),
                   route("estado", "safe", "mesa", 800, 2)],
        "services": [{ "name": "mesa", "healthPath": "/health", "maxConnections": 110 },
                     { "name": "modelos", "healthPath": "/health", "maxConnections": 370,
                       "engine": engine_properties() }],
        "limits": client_limits(),
    });
    store.put("op", "config", &configuration);
    // The next stream that an engine begins has no end.
    let is_spoiled = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for number in 0..3 {
        let entry = json!({ "service": "mesa", "version": "1", "slots": 6 });
        let serve = move |request: &review::Request, stream: &mut std::net::TcpStream| {
            thread::sleep(Duration::from_millis(15));
            stream.write_all(answer(request, &"estado ".repeat(114)).as_bytes())
        };
        engines.push(Engine::start(
            store,
            &format!("mesa-{number}"),
            entry,
            Arc::new(serve),
        ));
    }
    for number in 0..3 {
        let entry = json!({ "service": "modelos", "version": "1", "slots": 64, "stage": "decode" });
        let (spoiled, record) = (is_spoiled.clone(), record.clone());
        let serve = move |request: &review::Request, stream: &mut std::net::TcpStream| {
            thread::sleep(Duration::from_millis(90));
            stream.write_all(stream_head(request).as_bytes())?;
            if spoiled.swap(false, Ordering::SeqCst) {
                record.write(format!(
                    "{}: bytes without end from modelos-{number}",
                    request.id()
                ));
                let bytes = chunk("data: xxxxxxxxxxxxxxxxxxxxxxxx\n\n").repeat(2_000);
                let mut sent = 0_u64;
                let result = loop {
                    match stream.write_all(bytes.as_bytes()) {
                        Ok(()) => sent += bytes.len() as u64,
                        Err(error) => break error,
                    }
                };
                record.write(format!(
                    "{}: the connection was closed after {sent} bytes",
                    request.id()
                ));
                return Err(result);
            }
            for event in 1..=25 {
                thread::sleep(Duration::from_millis(40));
                let event = format!("id: {event}\ndata: {} {event}\n\n", request.id());
                stream.write_all(chunk(&event).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        };
        engines.push(Engine::start(
            store,
            &format!("modelos-{number}"),
            entry,
            Arc::new(serve),
        ));
    }
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(&folder.0, number, store).expect("the gateway starts"))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        drop(gateways);
        drop(folder);
        give_up(&record, "a gateway is not ready");
    }
    // `contactMs` passes before anything counts.
    thread::sleep(Duration::from_secs(4));
    let lookups: Arc<Mutex<Vec<Lookup>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        let clients_address = gateway.clients;
        for client in 0..8 {
            let (lookups, record) = (lookups.clone(), record.clone());
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 * client));
                let mut number = 0;
                while started.elapsed() < LENGTH {
                    number += 1;
                    let id = format!("e{at}-{client}-{number}");
                    let request = format!(
                        "GET /estado/{client} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
                         X-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
                    );
                    let sent = Instant::now();
                    let got = call(clients_address, request.as_bytes(), LOOKUP_DEADLINE);
                    let took = got
                        .as_ref()
                        .ok()
                        .filter(|got| got.is_complete)
                        .map(|_| sent.elapsed());
                    let status = got.map_or(0, |got| got.status);
                    record.write(format!(
                        "{id}: gateway {at}, status {status}, answered after {took:?}"
                    ));
                    lookups.lock().unwrap().push((at, sent, took));
                    thread::sleep(Duration::from_millis(400).saturating_sub(sent.elapsed()));
                }
            }));
        }
        for client in 0..2 {
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while started.elapsed() < LENGTH - Duration::from_secs(2) {
                    number += 1;
                    let id = format!("c{at}-{client}-{number}");
                    let request = format!(
                        "POST /consulta/{client} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
                         X-Model: m\r\nX-Token-Counts: 1460,175\r\n\
                         X-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,{number:x}{client}{at}:1110\r\n\
                         X-Deadline-Ms: 8000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhola"
                    );
                    let got = call(clients_address, request.as_bytes(), STREAM_DEADLINE);
                    let text = got.map_or("no answer".to_owned(), |got| {
                        format!(
                            "status {}, {} bytes, complete {}",
                            got.status,
                            got.body.len(),
                            got.is_complete
                        )
                    });
                    record.write(format!("{id}: gateway {at}, {text}"));
                }
            }));
        }
    }
    thread::sleep(CALM);
    is_spoiled.store(has_trouble(), Ordering::SeqCst);
    let mut silent = 0;
    while started.elapsed() < LENGTH {
        thread::sleep(Duration::from_secs(1));
        for gateway in &gateways {
            if !gateway.is_ready() {
                silent += 1;
                record.write(format!(
                    "{}: no answer to GET /ready within 1 s",
                    gateway.name
                ));
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    drop(folder);
    let lookups = lookups.lock().unwrap();
    let after = |limit: Duration| {
        let unanswered = lookups
            .iter()
            .filter(|(_, _, took)| took.is_none_or(|took| took > limit));
        unanswered.count()
    };
    let (unanswered, late) = (after(LOOKUP_TIMEOUT), after(LOOKUP_TIMEOUT + LATE));
    record.write(format!(
        "{} lookups, {unanswered} unanswered at timeoutMs, {late} of them half a second later; \
         {silent} questions for readiness without an answer",
        lookups.len()
    ));
    end(&record, late * 2 > unanswered);
}
