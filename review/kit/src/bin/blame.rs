//! A part of prompts crashes engines. Later, connections of one gateway to engines are reset, and
//! the first part of all prompts is quarantined for minutes, although it is sound.

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

const ENGINES: usize = 12;
/// Sound streams a second, by gateway: the platform's choice of gateways is uneven.
const STREAMS_PER_S: [u32; 3] = [16, 4, 4];
const EVENTS: u32 = 25;
/// Part of prompts that crashes the engines that begin to write an answer on it.
const DEADLY_PART: &str = "dead1";
const CONTACT: Duration = Duration::from_secs(3);
/// When requests with the deadly part begin to come, and how often.
const DEADLY_FROM: Duration = Duration::from_secs(12);
const DEADLY_GAP: Duration = Duration::from_millis(700);
const RESET_AT: Duration = Duration::from_secs(24);
const LENGTH: Duration = Duration::from_secs(42);
/// Time after a crash in which the engine is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// A sound request: gateway, when it was sent, and whether its stream began.
type Sent = (usize, Instant, bool);

/// An engine that sends the head of an answer at once, and reads prompts one after the other.
fn engine(store: Store, id: &str, record: &Record, has_crashed: Arc<AtomicBool>) -> Engine {
    let entry = json!({ "service": "modelos", "version": "7.1", "slots": 64, "stage": "decode" });
    let reading = Arc::new(Mutex::new(()));
    let (own, record) = (id.to_owned(), record.clone());
    let serve = move |request: &Request, stream: &mut TcpStream| {
        stream.write_all(stream_head(request).as_bytes())?;
        {
            let _turn = reading.lock().unwrap();
            thread::sleep(Duration::from_millis(400));
        }
        thread::sleep(Duration::from_millis(90));
        let parts: Vec<&str> = request.head.get("x-prompt-prefix").split(',').collect();
        let (_, shared) = parts.split_last().unwrap_or((&"", &[]));
        if shared
            .iter()
            .any(|part| part.split(':').next() == Some(DEADLY_PART))
        {
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

fn send(address: SocketAddr, id: &str, middle: &str) -> (u16, bool) {
    let request = format!(
        "POST /consulta/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 8000,175\r\nX-Prompt-Prefix: 5c1e:5000,{middle}{:x}:3000\r\n\
         X-Deadline-Ms: 8000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{id}",
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
    let engines: Arc<Mutex<Vec<(Engine, Arc<AtomicBool>)>>> = Arc::default();
    for number in 0..ENGINES {
        let has_crashed = Arc::new(AtomicBool::new(false));
        let started = engine(store, &format!("i-{number}"), &record, has_crashed.clone());
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
    let last_crash: Arc<Mutex<Option<Instant>>> = Arc::default();
    let started = Instant::now();
    // Crashed engines come back under a new id; the entry goes after three heartbeats.
    {
        let (all, last_crash, record) = (engines.clone(), last_crash.clone(), record.clone());
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
                *last_crash.lock().unwrap() = Some(Instant::now());
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
                    move || {
                        thread::sleep(DOWN);
                        let flag = Arc::new(AtomicBool::new(false));
                        let back = engine(store, &format!("i-{next}"), &record, flag.clone());
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
            let mut number = 0;
            while started.elapsed() < LENGTH {
                number += 1;
                let id = format!("d-{number}");
                let (status, _) = send(
                    addresses[number % addresses.len()],
                    &id,
                    &format!("{DEADLY_PART}:300,"),
                );
                record.write(format!("{id}: with the deadly part, status {status}"));
                thread::sleep(DEADLY_GAP);
            }
        }));
    }
    thread::sleep(RESET_AT.saturating_sub(started.elapsed()));
    if has_trouble() && std::env::var("RESETS").as_deref() != Ok("0") {
        let mut turn = 0;
        // 11 of any 20 connections of the first gateway in a row, spread evenly.
        let mut is_chosen = |id: &str| {
            if !id.starts_with("g0-") {
                return false;
            }
            turn += 1;
            turn * 11 / 20 > (turn - 1) * 11 / 20
        };
        for (engine, _) in engines.lock().unwrap().iter() {
            engine.reset(&mut is_chosen);
        }
        record.write(format!(
            "the network has reset 11 of 20 of the {turn} connections of front-0"
        ));
    }
    for sender in senders {
        let _ = sender.join();
    }
    drop(gateways);
    drop(folder);
    let (sent, last_crash) = (sent.lock().unwrap(), *last_crash.lock().unwrap());
    let from = last_crash
        .map_or(started, |at| at + CONTACT * 2)
        .max(started + RESET_AT + CONTACT);
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
    let after = share(sent.iter().filter(|(_, at, _)| *at >= from).collect());
    record.write(format!(
        "sound requests that began at the first attempt: {} of {} before the first crash, {} of {} \
         later than 2 x contactMs after the last crash and contactMs after the resets",
        before.0, before.1, after.0, after.1
    ));
    if before.1 < 20 || after.1 < 20 {
        give_up(&record, "too few requests");
    }
    end(&record, after.2 < before.2 / 2.0);
}
