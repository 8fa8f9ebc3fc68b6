//! The processes of a deployment, their settings and their addresses.

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

use crate::configuration::request;
use crate::daemon::DAEMON;
use crate::process::Process;
use crate::standins;

/// Service of the engines.
pub const MODEL_SERVICE: &str = "modelos-bitacora";
/// Plain service, whose calls may not be repeated.
pub const PLAIN_SERVICE: &str = "ordenes-mulas";
const TOKEN: &str = "testbed-token-of-the-operator-000001";
/// Secret of the key with the id 1, which all daemons start with.
pub const KEY: &str = "8f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b4962";
/// Largest answer of a stand-in's counters.
const COUNTERS_LIMIT_BYTES: usize = 256 << 20;

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Engines; the last one ignores fencing numbers.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Engines answer at once.
    pub instant: bool,
    /// A forwarder stands between entries and agents.
    pub forwarder: bool,
    /// Times of the plain service.
    pub plain_delay_ms: u64,
    /// Entries log every request.
    pub log_requests: bool,
}

/// Addresses of one entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    peers: SocketAddr,
}

/// Everything that runs.
pub struct Deployment {
    pub(crate) plan: Plan,
    folder: PathBuf,
    /// The platform stand-in.
    pub platform: SocketAddr,
    /// Control port of the forwarder.
    pub forwarder: SocketAddr,
    /// The engine stand-ins.
    pub engines: Vec<SocketAddr>,
    /// The plain service stand-in.
    pub plain: SocketAddr,
    addresses: Vec<EntryAddresses>,
    /// Entries, in order.
    pub entries: RefCell<Vec<Process>>,
    /// Agents of the engines in order, then that of the plain service.
    pub agents: RefCell<Vec<Process>>,
}

impl Deployment {
    /// Starts everything and waits until every target takes work at every entry.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or the targets do not come up.
    pub async fn start(plan: Plan) -> eyre::Result<Self> {
        let name = format!("chervilspool-testbed-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).wrap_err("cannot make a folder for settings")?;
        let mut addresses = Vec::new();
        for _ in 0..plan.entries {
            addresses.push(EntryAddresses {
                callers: free_address(),
                operators: free_address(),
                peers: free_address(),
            });
        }
        let engines = (0..plan.engines).map(|_| free_address()).collect();
        let deployment = Self {
            folder,
            platform: free_address(),
            forwarder: free_address(),
            engines,
            plain: free_address(),
            addresses,
            entries: RefCell::default(),
            agents: RefCell::default(),
            plan,
        };
        deployment.start_targets()?;
        deployment.start_entries()?;
        deployment.configure().await?;
        Ok(deployment)
    }

    /// Callers' addresses of the entries.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|a| a.callers).collect()
    }

    /// Name of a target: engines in order, then the plain service.
    #[must_use]
    pub fn target(&self, index: usize) -> String {
        if index < self.plan.engines {
            format!("bitacora-{index}")
        } else {
            "ordenes-0".to_owned()
        }
    }

    /// Name of a target's host.
    #[must_use]
    pub fn host(&self, index: usize) -> String {
        format!("host-{}", self.target(index))
    }

    /// Operators' port of an entry.
    #[must_use]
    pub fn operators(&self, entry: usize) -> OperatorsClient {
        OperatorsClient::new(self.addresses[entry].operators, TOKEN)
    }

    /// Gives an order to a target through an entry; true if it was accepted.
    pub async fn order(&self, entry: usize, target: &str, order: OrderKind) -> bool {
        let command = Command::OrderTarget {
            target: target.to_owned(),
            order,
        };
        let request = request(command);
        self.operators(entry).execute(&request).await.is_ok()
    }

    /// Replaces fields of a daemon's settings in its file; the daemon is not told.
    ///
    /// # Errors
    ///
    /// The file cannot be read or written.
    pub fn change_settings(&self, daemon: &Process, fields: &Value) -> eyre::Result<()> {
        let file = self.folder.join(format!("{}.jsonc", daemon.name()));
        let shown = || format!("cannot change {}", file.display());
        let text = std::fs::read_to_string(&file).wrap_err_with(shown)?;
        let mut settings: Value = serde_json::from_str(&text).wrap_err_with(shown)?;
        for (field, value) in fields.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        std::fs::write(&file, settings.to_string()).wrap_err_with(shown)
    }

    /// Stops entries and agents gracefully; returns those that did not end with status 0.
    pub async fn stop(&self) -> Vec<String> {
        let mut unclean = Vec::new();
        for processes in [&self.entries, &self.agents] {
            let taken: Vec<Process> = processes.borrow_mut().drain(..).collect();
            for mut process in taken {
                if !process.stop().await {
                    unclean.push(process.name().to_owned());
                }
            }
        }
        unclean
    }

    /// Removes settings and logs, unless they are to be kept.
    pub fn clean_up(&self, keep: bool) {
        if keep {
            eprintln!("logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    fn start_targets(&self) -> eyre::Result<()> {
        standins::platform(self.platform);
        let mut links = Vec::new();
        for index in 0..=self.plan.engines {
            let listen = free_address();
            let advertise = if self.plan.forwarder {
                free_address()
            } else {
                listen
            };
            if self.plan.forwarder {
                links.push(Link {
                    listen: advertise,
                    target: listen,
                });
            }
            self.start_standin(index);
            self.start_agent(index, listen, advertise)?;
        }
        if self.plan.forwarder {
            standins::forwarder(self.forwarder, links);
        }
        Ok(())
    }

    fn start_standin(&self, index: usize) {
        let Some(listen) = self.engines.get(index) else {
            standins::plain(self.plain, self.plan.plain_delay_ms);
            return;
        };
        standins::engine(EngineOptions {
            instant: self.plan.instant,
            ignore_fencing: index + 1 == self.plan.engines,
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
        let honours_fencing = engine.is_some() && index + 1 < self.plan.engines;
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
            "keys": [{"id": 1, "secret": KEY}],
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
                "keys": [{"id": 1, "secret": KEY}],
                "operators": [{"name": "testbed", "token": TOKEN}],
                "caller_identity": {"header": "X-Caller"},
                "intervals": {"balancer_notice_ms": 200, "lease_ms": 2000},
                "log": {"level": if self.plan.log_requests { "debug" } else { "info" }},
            });
            let process = self.start_daemon("entry", &name, &settings)?;
            self.entries.borrow_mut().push(process);
        }
        Ok(())
    }

    fn start_daemon(&self, kind: &str, name: &str, settings: &Value) -> eyre::Result<Process> {
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string())
            .wrap_err_with(|| format!("cannot write {}", file.display()))?;
        let program = std::env::current_exe().wrap_err("cannot find this program")?;
        let file = file.display().to_string();
        let arguments = [DAEMON.to_owned(), kind.to_owned(), file];
        Process::start(name, &program, &arguments, &self.folder)
    }

    fn platform_settings(&self) -> Value {
        let address = self.platform;
        json!({"table": address, "objects": address, "weights": address, "hosts": address})
    }
}

/// Calls a stand-in; `None` if it does not answer.
pub async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&impl Serialize>,
) -> Option<T> {
    let limits = ClientLimits {
        body_limit_bytes: COUNTERS_LIMIT_BYTES,
        ..ClientLimits::default()
    };
    let client = Client::new(address, limits);
    let mut request = client.request(method, path).ok()?;
    if let Some(body) = body {
        request.insert_header("content-type", "application/json");
        request.set_body(serde_json::to_vec(body).ok()?);
    }
    let response = client.send_whole(request).await.ok()?;
    if response.body.is_empty() {
        return serde_json::from_str("null").ok();
    }
    serde_json::from_slice(&response.body).ok()
}
