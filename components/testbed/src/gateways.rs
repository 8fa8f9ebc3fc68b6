//! Gateway processes, with stand-ins for the users' platform that run in this process.
//!
//! Each gateway has its own loopback address and connects to the store through its own forwarder,
//! which a test can make drop traffic. Gateways connect to engines directly.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use http::BufferedResponse;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http_types::Method;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use standin::feed_store::FeedStore;
use standin::feed_store::FeedStoreHandler;
use standin::forwarder;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::Link;
use standin::forwarder::Mode;
use standin::ports;
use standin::staged_engine::EngineMode;
use standin::staged_engine::Ledger;
use standin::staged_engine::Stage;
use standin::staged_engine::StagedEngine;
use standin::staged_engine::StagedEngineHandler;

use crate::Process;

/// Store table with one row per registered engine.
const ENTRIES_TABLE: &str = "servers";
/// Row of the configuration as `table/key`, as in logs.
pub const CONFIGURATION_ROW: &str = "op/config";
/// Response header that identifies the engine and the request.
pub const SIGNATURE: &str = "x-response-signature";
/// Value of the `Host` header that all routes match.
pub const HOST: &str = "desk.example";
/// Service of the prefill and decode engines.
pub const MODEL_SERVICE: &str = "drafts";
/// Service of the plain engines.
pub const PLAIN_SERVICE: &str = "desk";
/// Retries per request that services allow.
pub const RETRY_RATIO: f64 = 0.2;
/// Retries that services allow for any number of requests.
pub const RETRY_SLACK: u32 = 58;
/// Length of the sliding window in which services count retries.
pub const RETRY_WINDOW_MS: Duration = Duration::from_secs(10);
/// Build of engines at the start.
const FIRST_BUILD: &str = "v1";
/// Start time of engines that have not crashed, as a Unix time.
const FIRST_START_MS: usize = 1_700_000_000_000;
/// Longest wait for a gateway to become ready.
const READY_TIMEOUT_MS: Duration = Duration::from_secs(10);
/// Interval between readiness checks.
const POLL_INTERVAL_MS: Duration = Duration::from_millis(20);

/// A gateway process and its addresses.
pub struct Gateway {
    /// The daemon.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check of the load balancer.
    pub ready: SocketAddr,
    /// Settings file.
    pub settings_file: PathBuf,
    /// Control address of the forwarder to the store.
    pub store_link: SocketAddr,
}

/// Gateways with their stand-ins.
pub struct GatewayTestbed {
    /// Stand-in for the store of the platform.
    pub store: Rc<FeedStore>,
    /// Stand-in engines and their addresses, whether registered or not.
    pub engines: Vec<(Rc<StagedEngine>, SocketAddr)>,
    /// Runs of all engines.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Gateways, by number from 0.
    pub gateways: Vec<Gateway>,
    executor: Rc<LocalExecutor<'static>>,
    directory: PathBuf,
}

/// Initial engines.
const ENGINES: [(&str, Stage); 7] = [
    ("plain-1", Stage::Plain),
    ("plain-2", Stage::Plain),
    ("read-1", Stage::Prefill),
    ("read-2", Stage::Prefill),
    ("write-1", Stage::Decode),
    ("write-2", Stage::Decode),
    ("write-3", Stage::Decode),
];

impl GatewayTestbed {
    /// Starts the stand-ins and the given number of gateways, and waits until these are ready. A
    /// gateway is started as `program` with `arguments` and the path of its settings file. Settings
    /// and logs are written to `directory`.
    ///
    /// # Errors
    ///
    /// A stand-in or a gateway cannot be started, or a gateway does not become ready in time.
    pub async fn start(
        executor: Rc<LocalExecutor<'static>>,
        program: &Path,
        arguments: &[&str],
        gateways: usize,
        directory: &Path,
    ) -> eyre::Result<Self> {
        let store = Rc::new(FeedStore::default());
        let mut bed = Self {
            store: store.clone(),
            engines: Vec::new(),
            ledger: Rc::default(),
            gateways: Vec::new(),
            executor: executor.clone(),
            directory: directory.to_owned(),
        };
        let store_address = bed.serve(Rc::new(FeedStoreHandler(store))).await?;
        for (name, stage) in ENGINES {
            bed.add_engine(name, stage).await?;
        }
        bed.configure(1, &[]);
        for number in 0..gateways {
            bed.start_gateway(program, arguments, number, store_address)?;
        }
        for number in 0..gateways {
            bed.wait_until_ready(number).await?;
        }
        Ok(bed)
    }

    /// Starts an engine and registers it.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn add_engine(&mut self, name: &str, stage: Stage) -> eyre::Result<()> {
        let engine = Rc::new(StagedEngine {
            name: name.to_owned(),
            stage,
            mode: Cell::default(),
            requests_per_s: Cell::default(),
            is_leaving: Cell::default(),
            replacements: Cell::default(),
            pause: Cell::default(),
            crashed_at: Cell::default(),
            build: RefCell::new(FIRST_BUILD.to_owned()),
            ledger: self.ledger.clone(),
        });
        let address = self
            .serve(Rc::new(StagedEngineHandler(engine.clone())))
            .await?;
        self.engines.push((engine, address));
        self.register(name, "ready");
        Ok(())
    }

    /// Starts the engines again that a part of a prompt crashed at least `after` ago, as new
    /// processes, but for those named in `except`.
    pub fn restart_crashed_engines(&self, after: Duration, except: &[&String]) {
        for (engine, _) in &self.engines {
            let crashed_at = engine.crashed_at.get();
            let is_due = crashed_at.is_some_and(|at| at.elapsed() >= after);
            let is_excepted = except.contains(&&engine.name);
            if engine.mode.get() == EngineMode::Crashed && is_due && !is_excepted {
                engine.mode.set(EngineMode::Healthy);
                self.register(&engine.name, "ready");
            }
        }
    }

    /// Gives an engine another address, which it has in its store row when it is written next.
    pub fn set_address(&mut self, name: &str, address: SocketAddr) {
        let mut engines = self.engines.iter_mut();
        if let Some((_, known)) = engines.find(|(engine, _)| engine.name == name) {
            *known = address;
        }
    }

    /// Runs a task of a test until it ends or the test does.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Writes the store row of an engine, with a state such as `ready` or `draining`.
    pub fn register(&self, name: &str, state: &str) {
        let Some((engine, address)) = self.engines.iter().find(|(e, _)| e.name == name) else {
            return;
        };
        let (service, role) = match engine.stage {
            Stage::Plain => (PLAIN_SERVICE, None),
            Stage::Prefill => (MODEL_SERVICE, Some("prefill")),
            Stage::Decode => (MODEL_SERVICE, Some("decode")),
        };
        let born = FIRST_START_MS + engine.process();
        let mut entry = json!({
            "service": service, "address": address, "zone": "here", "version": *engine.build.borrow(), "slots": 64,
            "state": state, "coldRemainingMs": 0, "sequence": 1, "born": born,
        });
        if let Some(role) = role {
            entry["stage"] = role.into();
        }
        self.write_entry(name, entry.to_string().as_bytes());
    }

    /// Makes an engine say in its answers that it leaves, or not.
    pub fn say_leaving(&self, name: &str, is_leaving: bool) {
        for (engine, _) in self.engines.iter().filter(|(e, _)| e.name == name) {
            engine.is_leaving.set(is_leaving);
        }
    }

    /// Replaces an engine that has said that it leaves by a new process, if it has.
    pub fn replace_if_leaving(&self, name: &str) {
        for (engine, _) in self.engines.iter().filter(|(e, _)| e.name == name) {
            if engine.is_leaving.replace(false) {
                engine.replacements.set(engine.replacements.get() + 1);
            }
        }
    }

    /// Makes an engine ask for a pause when it rejects requests with 503, or not.
    pub fn ask_for_pause(&self, name: &str, pause: Option<Duration>) {
        for (engine, _) in self.engines.iter().filter(|(e, _)| e.name == name) {
            engine.pause.set(pause);
        }
    }

    /// Gives an engine another build, as after its replacement.
    pub fn set_build(&self, name: &str, build: &str) {
        for (engine, _) in self.engines.iter().filter(|(e, _)| e.name == name) {
            engine.build.replace(build.to_owned());
        }
        self.register(name, "ready");
    }

    /// Writes the store row of an engine, valid or not.
    pub fn write_entry(&self, name: &str, bytes: &[u8]) {
        self.store.put(ENTRIES_TABLE, name, bytes);
    }

    /// Writes the configuration row, valid or not.
    pub fn write_configuration(&self, bytes: &[u8]) {
        let (table, key) = CONFIGURATION_ROW.split_once('/').unwrap_or_default();
        self.store.put(table, key, bytes);
    }

    /// Removes the store row of an engine.
    pub fn unregister(&self, name: &str) {
        self.store.remove(ENTRIES_TABLE, name);
    }

    /// Sets the mode of all engines of a stage, or of all engines if `stage` is `None`. Crashed ones
    /// stay so.
    pub fn set_mode(&self, stage: Option<Stage>, mode: EngineMode) {
        for (engine, _) in &self.engines {
            if engine.mode.get() == EngineMode::Crashed {
                continue;
            }
            if stage.is_none_or(|stage| stage == engine.stage) {
                engine.mode.set(mode);
            }
        }
    }

    /// Makes an engine name a limit in its answers, or none.
    pub fn name_limit(&self, name: &str, requests_per_s: Option<f64>) {
        for (engine, _) in self.engines.iter().filter(|(e, _)| e.name == name) {
            engine.requests_per_s.set(requests_per_s);
        }
    }

    /// Writes a configuration with the standard routes, and a safe route of the plain service for
    /// each of `prefixes`.
    pub fn configure(&self, version: u64, prefixes: &[&str]) {
        let route = |name: &str, prefix: &str, kind: &str, service: &str, resumable: bool| {
            json!({
                "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
                "timeoutMs": 4000, "targetLatencyMs": 800, "priority": 1, "service": service,
                "maxAttempts": if kind == "unsafe" { 1 } else { 2 }, "resumable": resumable,
            })
        };
        let mut routes = vec![
            route("read", "/read/", "safe", PLAIN_SERVICE, false),
            route("order", "/order/", "unsafe", PLAIN_SERVICE, false),
            route("draft", "/draft/", "streaming", MODEL_SERVICE, false),
            route("tag", "/tag/", "streaming", MODEL_SERVICE, true),
        ];
        routes.extend(
            prefixes
                .iter()
                .map(|prefix| route(prefix, prefix, "safe", PLAIN_SERVICE, false)),
        );
        let engine = json!({
            "slots": 64, "kvCapacityTokens": 460_000, "kvTokenBytes": 35_136,
            "linkMbps": 740_000.0, "handleTtlS": 5.0,
        });
        let configuration = json!({
            "version": version, "routes": routes,
            "services": [
                { "name": PLAIN_SERVICE, "healthPath": "/health", "maxConnections": 110 },
                { "name": MODEL_SERVICE, "healthPath": "/health", "maxConnections": 370,
                  "engine": engine },
            ],
            "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
                        "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000 },
        });
        self.write_configuration(configuration.to_string().as_bytes());
    }

    /// Whether a gateway reports that it accepts callers.
    pub async fn is_ready(&self, number: usize) -> bool {
        let client = Client::new(self.gateways[number].ready, short_timeouts());
        let Ok(request) = client.request(Method::Get, "/ready") else {
            return false;
        };
        matches!(client.send_buffered(request).await, Ok(response) if response.status.is_success())
    }

    /// Waits until a gateway accepts callers.
    ///
    /// # Errors
    ///
    /// It is not ready within 10 s, or its log cannot be read.
    pub async fn wait_until_ready(&self, number: usize) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT_MS;
        while Instant::now() < deadline {
            if self.is_ready(number).await {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL_MS).await;
        }
        let log = self.gateways[number].process.read_log()?;
        eyre::bail!("gateway {number} is not ready: {log}")
    }

    /// Sets which traffic the forwarder between a gateway and the store drops.
    ///
    /// # Errors
    ///
    /// The forwarder does not respond.
    pub async fn set_store_link(&self, number: usize, mode: Mode) -> eyre::Result<()> {
        let client = Client::new(self.gateways[number].store_link, short_timeouts());
        let mut request = client.request(Method::Post, "/mode")?;
        request.set_body(serde_json::to_vec(&mode)?);
        client.send_buffered(request).await?;
        Ok(())
    }

    async fn serve(&self, handler: Rc<dyn http::Handler>) -> eyre::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (stop_sender, stop) = smol::channel::bounded(1);
        let limits = http::ServerLimits::default();
        let server = http::serve(listener, limits, handler, self.executor.clone(), stop);
        self.executor
            .spawn(async move {
                // Serves until the test ends.
                let _ = server.await;
                drop(stop_sender);
            })
            .detach();
        Ok(address)
    }

    fn start_gateway(
        &mut self,
        program: &Path,
        arguments: &[&str],
        number: usize,
        store: SocketAddr,
    ) -> eyre::Result<()> {
        // The metrics port is fixed, so each gateway needs its own address.
        let ip = unique_loopback_address();
        let link = Link {
            listen: ports::free_address(),
            target: store,
        };
        let options = ForwarderOptions {
            control: ports::free_address(),
            link: vec![link],
        };
        let store_link = options.control;
        let executor = self.executor.clone();
        self.executor
            .spawn(async move {
                // Runs until the test ends. If a port is already in use, the gateway cannot reach
                // the store.
                if let Err(error) = forwarder::serve(&options, executor).await {
                    eprintln!("forwarder: {error}");
                }
            })
            .detach();
        let name = format!("gateway-{number}");
        let settings_file = self.directory.join(format!("{name}.toml"));
        fs::write(&settings_file, settings(&name, &ip, link.listen))
            .wrap_err_with(|| format!("cannot write {}", settings_file.display()))?;
        let mut command_line: Vec<String> = arguments
            .iter()
            .map(|&argument| argument.to_owned())
            .collect();
        command_line.push(settings_file.display().to_string());
        let gateway = Gateway {
            process: Process::start(&name, program, &command_line, &self.directory)?,
            callers: format!("{ip}:8149").parse()?,
            ready: format!("{ip}:8141").parse()?,
            settings_file,
            store_link,
        };
        self.gateways.push(gateway);
        Ok(())
    }
}

/// Store row of an engine as `table/key`, as in logs.
#[must_use]
pub fn entry_row(name: &str) -> String {
    format!("{ENTRIES_TABLE}/{name}")
}

/// A loopback address that differs for each gateway of this process and of concurrent processes.
fn unique_loopback_address() -> String {
    static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{low}.{last}", 64 + high % 128)
}

fn short_timeouts() -> ClientLimits {
    let timeout_ms = Duration::from_secs(1);
    ClientLimits {
        connect_ms: timeout_ms,
        head_ms: timeout_ms,
        stall_ms: timeout_ms,
        ..ClientLimits::default()
    }
}

fn settings(name: &str, ip: &str, store: SocketAddr) -> String {
    format!(
        r#"node = "{name}"
ip = "{ip}"
zone = "here"
internalPorts = [7380, 7395]
seeds = ["127.0.0.1:1", "127.0.0.1:2"]
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
[limits]
memoryMb = 260
fileDescriptors = 4100
[bounds]
graceS = 8
retryBudgetRatio = {RETRY_RATIO}
budgetSlack = {RETRY_SLACK}
budgetWindowS = {window_s}
[platform]
address = "{store}"
"#,
        window_s = RETRY_WINDOW_MS.as_secs()
    )
}

/// A request of a caller. It is for a model if `tokens` is set.
#[derive(Debug, Clone)]
pub struct TestRequest<'a> {
    /// Request id, sent as `X-Attempt-Id`.
    pub id: &'a str,
    /// Path; `/read/` is requested with GET, all others with POST.
    pub path: &'a str,
    /// Time for which the caller waits, sent as `X-Deadline-Ms`.
    pub timeout_ms: Duration,
    /// Tokens of the prompt, nine tenths of which are a prefix shared by all requests.
    pub tokens: Option<u32>,
    /// Part of the prompt between the shared prefix and the request's own part.
    pub part: Option<&'a str>,
    /// Request that began the stream, and id of its last event, to resume a stream.
    pub resumes: Option<(&'a str, u32)>,
}

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// There is no complete response.
pub async fn send(
    client: &Client,
    test_request: &TestRequest<'_>,
) -> Result<BufferedResponse, ClientError> {
    let method = if test_request.path.starts_with("/read/") {
        Method::Get
    } else {
        Method::Post
    };
    let mut request = client.request(method, test_request.path)?;
    request.insert_header("host", HOST);
    request.insert_header("x-attempt-id", test_request.id);
    request.insert_header(
        "x-deadline-ms",
        test_request.timeout_ms.as_millis().to_string(),
    );
    if let Some((began, last_event)) = test_request.resumes {
        request.insert_header("resumes", began);
        request.insert_header("last-event-id", last_event.to_string());
    }
    if let Some(tokens) = test_request.tokens {
        request.insert_header("x-token-counts", format!("{tokens},35"));
        request.insert_header("x-prompt-prefix", prompt_parts(tokens, test_request.part));
    }
    client.send_buffered(request).await
}

/// Head of a prompt on a connection that closes after its answer, for callers that read the bytes of
/// the answer themselves.
#[must_use]
pub fn prompt_head(id: &str, path: &str, timeout_ms: Duration, tokens: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         X-Token-Counts: {tokens},35\r\nX-Prompt-Prefix: {}\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n",
        timeout_ms.as_millis(),
        prompt_parts(tokens, None)
    )
}

/// Parts of a prompt: a shared one of nine tenths, `part` if there is one, and the request's own.
fn prompt_parts(tokens: u32, part: Option<&str>) -> String {
    let own = tokens / 10;
    let shared = tokens - own;
    let part = part.map_or_else(String::new, |part| format!("{part}:16,"));
    format!("5c1e:{shared},{part}{:x}:{own}", tokens + 7)
}
