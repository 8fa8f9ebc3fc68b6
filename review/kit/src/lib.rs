//! Stand-ins for the cases of the review: the platform's store (the project's own), engines and
//! clients on blocking sockets, and the gateway started as the deploy file says.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

/// Value of `Host` that all routes have.
pub const HOST: &str = "radio.example";
/// `heartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Record of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    pub fn write(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        lines.push(format!("{at:8.3} {}", line.as_ref()));
    }

    pub fn save(&self, file: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(file, text).expect("the record can be written");
    }
}

/// Whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the program: 1 if the rule was broken, 0 if it held.
pub fn end(record: &Record, is_broken: bool) -> ! {
    record.write(if is_broken {
        "rule broken"
    } else {
        "rule held"
    });
    record.save(Path::new("record.txt"));
    println!(
        "{}",
        if is_broken {
            "rule broken"
        } else {
            "rule held"
        }
    );
    std::process::exit(i32::from(is_broken));
}

/// Ends the program with 2: the case could not run.
pub fn give_up(record: &Record, cause: &str) -> ! {
    record.write(format!("the case could not run: {cause}"));
    record.save(Path::new("record.txt"));
    println!("the case could not run: {cause}");
    std::process::exit(2);
}

/// The platform's store, the project's stand-in for it, on a thread of its own.
#[derive(Clone, Copy)]
pub struct Store(pub SocketAddr);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            let executor = Rc::new(smol::LocalExecutor::new());
            let handler = standin::feed_store::FeedStoreHandler(Rc::default());
            let serving = async {
                let listener = smol::Async::new(listener).unwrap();
                let limits = http::ServerLimits::default();
                let (_stop_sender, stop) = smol::channel::bounded(1);
                http::serve(
                    listener.into(),
                    limits,
                    Rc::new(handler),
                    executor.clone(),
                    stop,
                )
                .await
            };
            let _ = smol::block_on(executor.run(serving));
        });
        Self(address)
    }

    fn transact(self, transaction: Value) {
        let body = transaction.to_string();
        let head = format!(
            "POST /rows-tx HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let Ok(mut stream) = TcpStream::connect(self.0) else {
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.read_to_end(&mut Vec::new());
    }

    pub fn put(self, table: &str, key: &str, value: &Value) {
        let value = base64(value.to_string().as_bytes());
        self.transact(json!({ "expectedRevision": [], "remove": [],
            "setKeys": [{ "table": table, "part": "", "key": key, "value": value }] }));
    }

    pub fn remove(self, table: &str, key: &str) {
        self.transact(json!({ "expectedRevision": [], "setKeys": [],
            "remove": [{ "table": table, "part": "", "key": key }] }));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Properties of the engines of the model service, as in the sheet.
pub fn engine_properties() -> Value {
    json!({ "slots": 64, "kvCapacityTokens": 461_076, "kvTokenBytes": 35_136,
            "linkMbps": 740_000.0, "handleTtlS": 5.0 })
}

/// Limits of clients.
pub fn client_limits() -> Value {
    json!({ "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000 })
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// The folder of the repository.
fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

impl Gateway {
    /// Starts a gateway by the command of the deploy file. Each one has a loopback address of its
    /// own.
    pub fn start(folder: &Path, number: u8, store: Store) -> io::Result<Self> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{low}.{}", 64 + high % 128, number + 1);
        let name = format!("front-{number}");
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, settings(&name, &ip, store.0))?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/chervilspool")
            .arg("gateway")
            .current_dir(repository())
            .env_clear()
            .env("CHERVILSPOOL_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name,
            clients: format!("{ip}:8149").parse().unwrap(),
            ready: format!("{ip}:8141").parse().unwrap(),
            child,
        })
    }

    /// Whether the gateway says that it is ready; waits for the answer for at most a second.
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = call(self.ready, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        (0..200).any(|_| {
            thread::sleep(Duration::from_millis(50));
            self.is_ready()
        })
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(name: &str, ip: &str, store: SocketAddr) -> String {
    format!(
        r#"node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "bolson-centro"
region = "patagonia-norte"
internalPorts = [7380, 7395]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
bolson-centro = "patagonia-norte"
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
[limits]
cpuShare = 0.19
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
"#
    )
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Fields with names in lower case.
    pub fields: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Self {
            line,
            fields: fields.collect(),
        }
    }
}

/// Reads a head, and keeps what follows it in `rest`.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Head> {
    loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..at]).into_owned();
            rest.drain(..at + 4);
            return Ok(Head::parse(&head));
        }
        more(stream, rest)?;
    }
}

fn more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<()> {
    let mut bytes = [0; 65_536];
    match stream.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            rest.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

/// An answer as a client got it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// The body ended as its head says.
    pub is_complete: bool,
    /// What is wrong with the bytes, if they are no answer.
    pub fault: Option<String>,
}

/// Sends a request on a new connection and reads the answer, for at most `longest`. An error means
/// that there was no head in time.
pub fn call(address: SocketAddr, request: &[u8], longest: Duration) -> io::Result<Answer> {
    let until = Instant::now() + longest;
    let mut stream = TcpStream::connect_timeout(&address, longest)?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut rest = Vec::new();
    set_timeout(&stream, until)?;
    let head = read_head(&mut stream, &mut rest)?;
    let status = head
        .line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        head,
        ..Answer::default()
    };
    read_body(&mut stream, rest, until, &mut answer);
    Ok(answer)
}

fn set_timeout(stream: &TcpStream, until: Instant) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))
}

fn read_body(stream: &mut TcpStream, mut rest: Vec<u8>, until: Instant, answer: &mut Answer) {
    let mut next =
        |rest: &mut Vec<u8>| set_timeout(stream, until).and_then(|()| more(stream, rest));
    if answer.head.get("transfer-encoding") != "chunked" {
        let length = answer.head.get("content-length").parse().unwrap_or(0);
        while rest.len() < length && next(&mut rest).is_ok() {}
        answer.is_complete = rest.len() >= length;
        rest.truncate(length);
        answer.body = rest;
        return;
    }
    loop {
        while let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
            let line = String::from_utf8_lossy(&rest[..at]).into_owned();
            let Ok(size) = usize::from_str_radix(&line, 16) else {
                answer.fault = Some(format!("{line:?} where the size of a chunk is due"));
                return;
            };
            if rest.len() < at + 2 + size + 2 {
                break;
            }
            answer.body.extend_from_slice(&rest[at + 2..at + 2 + size]);
            rest.drain(..at + 2 + size + 2);
            if size == 0 {
                answer.is_complete = true;
                return;
            }
        }
        if next(&mut rest).is_err() {
            return;
        }
    }
}

/// A request that an engine got.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> &str {
        self.head.get("x-attempt-id")
    }

    pub fn method(&self) -> &str {
        self.head.line.split(' ').next().unwrap_or_default()
    }
}

type Serve = dyn Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// An engine: it answers each request by a function, and writes its entry every `HEARTBEAT`.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    store: Store,
    entry: Arc<Mutex<Option<Value>>>,
    is_over: Arc<AtomicBool>,
    connections: Connections,
}

/// Open connections by the address of their peer, with the id of the request in progress.
type Connections = Arc<Mutex<BTreeMap<SocketAddr, (TcpStream, String)>>>;

impl Engine {
    /// Starts an engine. `serve` gets the requests that are meant for it; an error closes the
    /// connection.
    pub fn start(store: Store, id: &str, mut entry: Value, serve: Arc<Serve>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        entry["address"] = address.to_string().into();
        entry["zone"] = "bolson-centro".into();
        entry["state"] = "ready".into();
        entry["coldRemainingMs"] = 0.into();
        entry["sequence"] = 0.into();
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        entry["born"] = (born.unwrap().as_millis() as u64).into();
        let engine = Self {
            id: id.to_owned(),
            address,
            store,
            entry: Arc::new(Mutex::new(Some(entry))),
            is_over: Arc::default(),
            connections: Arc::default(),
        };
        let (own_id, is_over) = (engine.id.clone(), engine.is_over.clone());
        let connections = engine.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { return };
                let (Ok(copy), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
                    continue;
                };
                connections
                    .lock()
                    .unwrap()
                    .insert(peer, (copy, String::new()));
                let (own_id, serve) = (own_id.clone(), serve.clone());
                let connections = connections.clone();
                thread::spawn(move || {
                    let mut stream = stream;
                    let set_current = |id: &str| {
                        if let Some((_, current)) = connections.lock().unwrap().get_mut(&peer) {
                            id.clone_into(current);
                        }
                    };
                    let _ = serve_connection(&own_id, &mut stream, &*serve, set_current);
                    connections.lock().unwrap().remove(&peer);
                });
            }
        });
        let (entry, is_over, key) = (engine.entry.clone(), engine.is_over.clone(), id.to_owned());
        engine.write_entry();
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                let current = entry.lock().unwrap();
                if let Some(current) = current.as_ref() {
                    store.put("servers", &key, current);
                }
            }
        });
        engine
    }

    fn write_entry(&self) {
        let entry = self.entry.lock().unwrap();
        if let Some(entry) = entry.as_ref() {
            self.store.put("servers", &self.id, entry);
        }
    }

    /// Removes the entry, as an engine that leaves without saying so before.
    pub fn remove_entry(&self) {
        let mut entry = self.entry.lock().unwrap();
        *entry = None;
        self.store.remove("servers", &self.id);
    }

    /// Ends the process: its listener and all of its connections are closed.
    pub fn exit(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect(self.address);
        for (stream, _) in std::mem::take(&mut *self.connections.lock().unwrap()).values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Resets connections as the network does: those with a request in progress that is chosen.
    pub fn reset(&self, is_chosen: &mut dyn FnMut(&str) -> bool) {
        for (stream, id) in self.connections.lock().unwrap().values() {
            if !id.is_empty() && is_chosen(id) {
                reset(stream);
            }
        }
    }
}

fn serve_connection(
    id: &str,
    stream: &mut TcpStream,
    serve: &Serve,
    set_current: impl Fn(&str),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    loop {
        let head = read_head(stream, &mut rest)?;
        let length: usize = head.get("content-length").parse().unwrap_or(0);
        while rest.len() < length {
            more(stream, &mut rest)?;
        }
        let body = rest.drain(..length).collect();
        let request = Request { head, body };
        let expected = request.head.get("x-expected-instance");
        if request.method() != "DELETE" && expected != id {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Instance-Id: {id}\r\n\
                 X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                request.id()
            );
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        set_current(request.id());
        serve(&request, stream)?;
        set_current("");
    }
}

/// Resets a connection, as the network does.
pub fn reset(stream: &TcpStream) {
    let _ = rustix::net::connect_unspec(stream);
}

/// Whole answer of an engine.
pub fn answer(request: &Request, body: &str) -> String {
    let id = request.id();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig.{id}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Head of a stream in chunks.
pub fn stream_head(request: &Request) -> String {
    let id = request.id();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig.{id}\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// A chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
