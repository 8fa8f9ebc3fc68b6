//! Gateways as processes, with stand-ins for the users' platform around them in this process.
//!
//! Every gateway has a loopback address of its own and reaches the store through a forwarder of
//! its own, which a test can silence. Engines are reached directly.

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
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http::WholeResponse;
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

/// Table of the engines' entries.
const ENTRIES_TABLE: &str = "servers";
/// Row of the configuration, as logs name it.
pub const CONFIGURATION_ROW: &str = "op/config";
/// Field in which an engine signs its answers.
pub const SIGNATURE: &str = "x-response-signature";
/// Host that all routes are for.
pub const HOST: &str = "desk.example";
/// Service with prefill and decode engines.
pub const MODEL_SERVICE: &str = "drafts";
/// Plain service.
pub const PLAIN_SERVICE: &str = "desk";
/// Longest wait for something that has to come about.
const PATIENCE_MS: Duration = Duration::from_secs(10);
/// Time between two looks whether it has.
const LOOK_MS: Duration = Duration::from_millis(20);

/// A gateway.
pub struct Gateway {
    /// Process.
    pub process: Process,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the load balancer asks.
    pub ready: SocketAddr,
    /// Settings file.
    pub boot: PathBuf,
    /// Control of the forwarder to the store.
    pub store_link: SocketAddr,
}

/// Stand-ins and gateways.
pub struct GatewayBed {
    /// Store.
    pub store: Rc<FeedStore>,
    /// Engines, whether they are registered or not.
    pub engines: Vec<(Rc<StagedEngine>, SocketAddr)>,
    /// What the engines ran.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Gateways.
    pub gateways: Vec<Gateway>,
    executor: Rc<LocalExecutor<'static>>,
    folder: PathBuf,
}

/// Engines to begin with.
const ENGINES: [(&str, Stage); 7] = [
    ("plain-1", Stage::Plain),
    ("plain-2", Stage::Plain),
    ("read-1", Stage::Prefill),
    ("read-2", Stage::Prefill),
    ("write-1", Stage::Decode),
    ("write-2", Stage::Decode),
    ("write-3", Stage::Decode),
];

impl GatewayBed {
    /// Starts the stand-ins and as many gateways, by `program` with `arguments` before the path of
    /// the settings. Files go to `folder`.
    ///
    /// # Errors
    ///
    /// Something cannot be started.
    pub async fn start(
        executor: Rc<LocalExecutor<'static>>,
        program: &Path,
        arguments: &[&str],
        gateways: usize,
        folder: &Path,
    ) -> eyre::Result<Self> {
        let store = Rc::new(FeedStore::default());
        let mut bed = Self {
            store: store.clone(),
            engines: Vec::new(),
            ledger: Rc::default(),
            gateways: Vec::new(),
            executor: executor.clone(),
            folder: folder.to_owned(),
        };
        let store_address = bed.serve(Rc::new(FeedStoreHandler(store))).await?;
        for (name, stage) in ENGINES {
            bed.add_engine(name, stage).await?;
        }
        bed.configure(1, &[]);
        for number in 0..gateways {
            bed.add_gateway(program, arguments, number, store_address)?;
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
    /// No address is free.
    pub async fn add_engine(&mut self, name: &str, stage: Stage) -> eyre::Result<()> {
        let engine = Rc::new(StagedEngine {
            name: name.to_owned(),
            stage,
            mode: Cell::default(),
            ledger: self.ledger.clone(),
        });
        let address = self
            .serve(Rc::new(StagedEngineHandler(engine.clone())))
            .await?;
        self.engines.push((engine, address));
        self.register(name, "ready");
        Ok(())
    }

    /// Writes the entry of an engine.
    pub fn register(&self, name: &str, state: &str) {
        let Some((engine, address)) = self.engines.iter().find(|(e, _)| e.name == name) else {
            return;
        };
        let (service, role) = match engine.stage {
            Stage::Plain => (PLAIN_SERVICE, None),
            Stage::Prefill => (MODEL_SERVICE, Some("prefill")),
            Stage::Decode => (MODEL_SERVICE, Some("decode")),
        };
        let mut entry = json!({
            "service": service, "address": address, "zone": "here", "version": "v1", "slots": 64,
            "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1_700_000_000_000_u64,
        });
        if let Some(role) = role {
            entry["stage"] = role.into();
        }
        self.write_entry(name, entry.to_string().as_bytes());
    }

    /// Writes any bytes as the entry of an engine.
    pub fn write_entry(&self, name: &str, bytes: &[u8]) {
        self.store.put(ENTRIES_TABLE, name, bytes);
    }

    /// Writes any bytes as the configuration.
    pub fn write_configuration(&self, bytes: &[u8]) {
        let (table, key) = CONFIGURATION_ROW.split_once('/').unwrap_or_default();
        self.store.put(table, key, bytes);
    }

    /// Removes the entry of an engine.
    pub fn unregister(&self, name: &str) {
        self.store.remove(ENTRIES_TABLE, name);
    }

    /// Changes how all engines of a stage behave, or all of them.
    pub fn set_mode(&self, stage: Option<Stage>, mode: EngineMode) {
        for (engine, _) in &self.engines {
            if stage.is_none_or(|stage| stage == engine.stage) {
                engine.mode.set(mode);
            }
        }
    }

    /// Writes a configuration; `more` lists prefixes of further idempotent routes.
    pub fn configure(&self, version: u64, more: &[&str]) {
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
            more.iter()
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

    /// Asks whether a gateway takes callers.
    pub async fn is_ready(&self, number: usize) -> bool {
        let client = Client::new(self.gateways[number].ready, quick());
        let Ok(request) = client.request(Method::Get, "/ready") else {
            return false;
        };
        matches!(client.send_whole(request).await, Ok(answer) if answer.status.is_success())
    }

    /// Waits until a gateway takes callers.
    ///
    /// # Errors
    ///
    /// It does not within some seconds.
    pub async fn wait_until_ready(&self, number: usize) -> eyre::Result<()> {
        let until = Instant::now() + PATIENCE_MS;
        while Instant::now() < until {
            if self.is_ready(number).await {
                return Ok(());
            }
            Timer::after(LOOK_MS).await;
        }
        let log = self.gateways[number].process.logged()?;
        eyre::bail!("gateway {number} is not ready: {log}")
    }

    /// Changes what a gateway's link to the store lets through.
    ///
    /// # Errors
    ///
    /// The forwarder does not answer.
    pub async fn set_store_link(&self, number: usize, mode: Mode) -> eyre::Result<()> {
        let client = Client::new(self.gateways[number].store_link, quick());
        let mut request = client.request(Method::Post, "/mode")?;
        request.set_body(serde_json::to_vec(&mode)?);
        client.send_whole(request).await?;
        Ok(())
    }

    async fn serve(&self, handler: Rc<dyn http::Handler>) -> eyre::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (running, stop) = smol::channel::bounded(1);
        let limits = http::ServerLimits::default();
        let serving = http::serve(listener, limits, handler, self.executor.clone(), stop);
        self.executor
            .spawn(async move {
                // Serves until the test ends.
                let _ = serving.await;
                drop(running);
            })
            .detach();
        Ok(address)
    }

    fn add_gateway(
        &mut self,
        program: &Path,
        arguments: &[&str],
        number: usize,
        store: SocketAddr,
    ) -> eyre::Result<()> {
        // The port of the metrics is fixed, so each gateway needs an address of its own.
        let ip = own_address();
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
                // Forwards until the test ends; a port that was taken shows as a lost store.
                if let Err(error) = forwarder::serve(&options, executor).await {
                    eprintln!("forwarder: {error}");
                }
            })
            .detach();
        let name = format!("gateway-{number}");
        let boot = self.folder.join(format!("{name}.toml"));
        fs::write(&boot, settings(&name, &ip, link.listen))
            .wrap_err_with(|| format!("cannot write {}", boot.display()))?;
        let mut words: Vec<String> = arguments.iter().map(|&word| word.to_owned()).collect();
        words.push(boot.display().to_string());
        let gateway = Gateway {
            process: Process::start(&name, program, &words, &self.folder)?,
            callers: format!("{ip}:8149").parse()?,
            ready: format!("{ip}:8141").parse()?,
            boot,
            store_link,
        };
        self.gateways.push(gateway);
        Ok(())
    }
}

/// Row of an engine's entry, as logs name it.
#[must_use]
pub fn entry_row(name: &str) -> String {
    format!("{ENTRIES_TABLE}/{name}")
}

/// A loopback address that no other gateway of this process or of a neighbouring one has.
fn own_address() -> String {
    static TAKEN: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = TAKEN.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{low}.{last}", 64 + high % 128)
}

fn quick() -> ClientLimits {
    let patience_ms = Duration::from_secs(1);
    ClientLimits {
        connect_ms: patience_ms,
        head_ms: patience_ms,
        stall_ms: patience_ms,
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
retryBudgetRatio = 0.2
budgetSlack = 58
budgetWindowS = 10
[platform]
address = "{store}"
"#
    )
}

/// A request as callers send it. `tokens` makes it one for a model.
#[derive(Debug, Clone)]
pub struct Sent<'a> {
    /// Id.
    pub id: &'a str,
    /// Path.
    pub path: &'a str,
    /// Time that the caller waits.
    pub patience_ms: Duration,
    /// Size of the prompt, of which nearly all is shared.
    pub tokens: Option<u32>,
}

/// Sends a request and collects the whole answer.
///
/// # Errors
///
/// There is no whole answer.
pub async fn send(client: &Client, sent: &Sent<'_>) -> Result<WholeResponse, ClientError> {
    let method = if sent.path.starts_with("/read/") {
        Method::Get
    } else {
        Method::Post
    };
    let mut request = client.request(method, sent.path)?;
    request.insert_header("host", HOST);
    request.insert_header("x-attempt-id", sent.id);
    request.insert_header("x-deadline-ms", sent.patience_ms.as_millis().to_string());
    if let Some(tokens) = sent.tokens {
        request.insert_header("x-token-counts", format!("{tokens},35"));
        let shared = tokens - tokens / 10;
        let own = tokens / 10;
        let parts = format!("5c1e:{shared},{:x}:{own}", tokens + 7);
        request.insert_header("x-prompt-prefix", parts);
    }
    client.send_whole(request).await
}
