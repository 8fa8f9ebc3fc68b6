//! Processes of a deployment, their settings and their addresses.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;

use control::Command;
use eyre::WrapErr;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use operators::OperatorsClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use standin::engine::EngineOptions;
use standin::forwarder::Link;
use standin::ports::free_address;
use types::OrderKind;

use crate::configuration::command_request;
use crate::daemon::DAEMON;
use crate::process::Process;
use crate::standins;

/// Service that the engines serve.
pub const MODEL_SERVICE: &str = "modelos-bitacora";
/// Plain service, whose requests are not idempotent.
pub const PLAIN_SERVICE: &str = "ordenes-mulas";
const OPERATOR_TOKEN: &str = "testbed-token-of-the-operator-000001";
/// Secret of the key with id 1, with which all daemons are started.
pub const INITIAL_KEY_SECRET: &str =
    "8f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b4962";
/// Largest response of a stand-in; counters list every run.
const RESPONSE_LIMIT_BYTES: usize = 256 << 20;

/// Options of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Number of engines; the last one ignores fencing numbers.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Whether engines respond without simulated delays.
    pub instant: bool,
    /// Whether a forwarder connects entries to agents, so that their traffic can be dropped.
    pub forwarder: bool,
    /// Response delay of the plain service.
    pub plain_delay_ms: u64,
    /// Whether entries log every request.
    pub log_requests: bool,
}

/// Addresses of one entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// HTTP API for callers.
    pub callers: SocketAddr,
    /// HTTP API for operators.
    pub operators: SocketAddr,
    peers: SocketAddr,
}

/// A running deployment. Stand-ins run until the program ends; daemons are killed on drop.
pub struct Deployment {
    pub(crate) options: DeploymentOptions,
    directory: PathBuf,
    /// Address of the stand-in platform.
    pub platform: SocketAddr,
    /// Control address of the forwarder, if the options ask for one.
    pub forwarder: SocketAddr,
    /// Addresses of the stand-in engines.
    pub engines: Vec<SocketAddr>,
    /// Address of the stand-in plain service.
    pub plain: SocketAddr,
    addresses: Vec<EntryAddresses>,
    /// Entry processes, by index.
    pub entries: RefCell<Vec<Process>>,
    /// Agent processes of the engines by index, then that of the plain service.
    pub agents: RefCell<Vec<Process>>,
}

impl Deployment {
    /// Starts everything and waits until every target is open at every entry.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or not all targets open in time.
    pub async fn start(options: DeploymentOptions) -> eyre::Result<Self> {
        let name = format!("chervilspool-testbed-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)
            .wrap_err("cannot create the directory for settings and logs")?;
        let mut addresses = Vec::new();
        for _ in 0..options.entries {
            addresses.push(EntryAddresses {
                callers: free_address(),
                operators: free_address(),
                peers: free_address(),
            });
        }
        let engines = (0..options.engines).map(|_| free_address()).collect();
        let deployment = Self {
            directory,
            platform: free_address(),
            forwarder: free_address(),
            engines,
            plain: free_address(),
            addresses,
            entries: RefCell::default(),
            agents: RefCell::default(),
            options,
        };
        deployment.start_targets()?;
        deployment.start_entries()?;
        deployment.configure().await?;
        Ok(deployment)
    }

    /// Address of each entry for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|entry| entry.callers).collect()
    }

    /// Name of a target: engines by index, then the plain service.
    #[must_use]
    pub fn target(&self, index: usize) -> String {
        if index < self.options.engines {
            format!("bitacora-{index}")
        } else {
            "ordenes-0".to_owned()
        }
    }

    /// Name of the host of a target.
    #[must_use]
    pub fn host(&self, index: usize) -> String {
        format!("host-{}", self.target(index))
    }

    /// Client of the operators' API of an entry.
    #[must_use]
    pub fn operators(&self, entry: usize) -> OperatorsClient {
        OperatorsClient::new(self.addresses[entry].operators, OPERATOR_TOKEN)
    }

    /// Orders a target to change through an entry; true if the entry accepted the command.
    pub async fn order(&self, entry: usize, target: &str, order: OrderKind) -> bool {
        let command = Command::OrderTarget {
            target: target.to_owned(),
            order,
        };
        let request = command_request(command);
        self.operators(entry).execute(&request).await.is_ok()
    }

    /// Replaces fields in the settings file of a daemon, without reloading the daemon.
    ///
    /// # Errors
    ///
    /// The file cannot be read or written.
    pub fn change_settings(&self, daemon: &Process, fields: &Value) -> eyre::Result<()> {
        let file = self.directory.join(format!("{}.jsonc", daemon.name()));
        let message = || format!("cannot change {}", file.display());
        let text = std::fs::read_to_string(&file).wrap_err_with(message)?;
        let mut settings: Value = serde_json::from_str(&text).wrap_err_with(message)?;
        for (field, value) in fields.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        std::fs::write(&file, settings.to_string()).wrap_err_with(message)
    }

    /// Stops entries and agents gracefully; returns the names of those that did not exit in time
    /// with status 0.
    pub async fn stop(&self) -> Vec<String> {
        let mut failed = Vec::new();
        for processes in [&self.entries, &self.agents] {
            let stopping: Vec<Process> = processes.borrow_mut().drain(..).collect();
            for mut process in stopping {
                if !process.stop().await {
                    failed.push(process.name().to_owned());
                }
            }
        }
        failed
    }

    /// Removes settings and logs, or prints where they are if `keep` is set.
    pub fn remove_files(&self, keep: bool) {
        if keep {
            eprintln!("logs are kept in {}", self.directory.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }

    fn start_targets(&self) -> eyre::Result<()> {
        standins::platform(self.platform);
        let mut links = Vec::new();
        for index in 0..=self.options.engines {
            let listen = free_address();
            let advertise = if self.options.forwarder {
                free_address()
            } else {
                listen
            };
            if self.options.forwarder {
                links.push(Link {
                    listen: advertise,
                    target: listen,
                });
            }
            self.start_standin(index);
            self.start_agent(index, listen, advertise)?;
        }
        if self.options.forwarder {
            standins::forwarder(self.forwarder, links);
        }
        Ok(())
    }

    fn start_standin(&self, index: usize) {
        let Some(listen) = self.engines.get(index) else {
            standins::plain(self.plain, self.options.plain_delay_ms);
            return;
        };
        standins::engine(EngineOptions {
            instant: self.options.instant,
            ignore_fencing: index + 1 == self.options.engines,
            away_ms: 1000,
            decode_rate: 200.0,
            ..EngineOptions::new(*listen)
        });
    }

    fn start_agent(
        &self,
        index: usize,
        listen: SocketAddr,
        advertise: SocketAddr,
    ) -> eyre::Result<()> {
        let engine = self.engines.get(index);
        let honours_fencing = engine.is_some() && index + 1 < self.options.engines;
        let name = self.target(index);
        let settings = json!({
            "daemon": "agent",
            "target": {
                "name": name,
                "service": if engine.is_some() { MODEL_SERVICE } else { PLAIN_SERVICE },
                "kind": if engine.is_some() { "model" } else { "plain" },
                "address": engine.unwrap_or(&self.plain),
                "honours_fencing": honours_fencing,
            },
            "host": self.host(index), "region": "testbed", "place": "bolson-centro",
            "listen": listen, "advertise": advertise,
            "platform": self.platform_settings(),
            "keys": [{"id": 1, "secret": INITIAL_KEY_SECRET}],
            "order_poll_ms": 500, "order_settle_ms": 500, "drain": {"notice_ms": 300},
        });
        let process = self.start_daemon("agent", &format!("agent-{name}"), &settings)?;
        self.agents.borrow_mut().push(process);
        Ok(())
    }

    fn start_entries(&self) -> eyre::Result<()> {
        let peers = self.addresses.iter().enumerate();
        let peers: Vec<Value> = peers
            .map(|(index, a)| json!({"name": format!("entry-{index}"), "address": a.peers}))
            .collect();
        for (index, addresses) in self.addresses.iter().enumerate() {
            let name = format!("entry-{index}");
            let settings = json!({
                "daemon": "entry", "name": name, "host": format!("host-{name}"),
                "region": "testbed", "place": "bolson-centro",
                "addresses": {
                    "callers": addresses.callers,
                    "operators": addresses.operators,
                    "peers": addresses.peers,
                },
                "peers": peers,
                "platform": self.platform_settings(),
                "keys": [{"id": 1, "secret": INITIAL_KEY_SECRET}],
                "operators": [{"name": "testbed", "token": OPERATOR_TOKEN}],
                "caller_identity": {"header": "X-Caller"},
                "intervals": {"balancer_notice_ms": 200, "lease_ms": 2000},
                "log": {"level": if self.options.log_requests { "debug" } else { "info" }},
            });
            let process = self.start_daemon("entry", &name, &settings)?;
            self.entries.borrow_mut().push(process);
        }
        Ok(())
    }

    fn start_daemon(&self, kind: &str, name: &str, settings: &Value) -> eyre::Result<Process> {
        let file = self.directory.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string())
            .wrap_err_with(|| format!("cannot write {}", file.display()))?;
        let program =
            std::env::current_exe().wrap_err("cannot determine the path of this executable")?;
        let file = file.display().to_string();
        let arguments = [DAEMON.to_owned(), kind.to_owned(), file];
        Process::start(name, &program, &arguments, &self.directory)
    }

    fn platform_settings(&self) -> Value {
        let address = self.platform;
        json!({"table": address, "objects": address, "weights": address, "hosts": address})
    }
}

/// Sends a request to a stand-in; `None` without a response that can be decoded.
pub async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&impl Serialize>,
) -> Option<T> {
    let limits = ClientLimits {
        body_limit_bytes: RESPONSE_LIMIT_BYTES,
        ..ClientLimits::default()
    };
    let client = Client::new(address, limits);
    let mut request = client.request(method, path).ok()?;
    if let Some(body) = body {
        request.insert_header("content-type", "application/json");
        request.set_body(serde_json::to_vec(body).ok()?);
    }
    let response = client.send_buffered(request).await.ok()?;
    if response.body.is_empty() {
        return serde_json::from_str("null").ok();
    }
    serde_json::from_slice(&response.body).ok()
}
