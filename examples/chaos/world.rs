//! The processes of a run, their settings and their addresses.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use control::Command;
use control::CommandRequest;
use eyre::WrapErr;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use operators::OperatorsClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use smol::Timer;
use types::OrderKind;
use types::Profile;
use types::Service;
use types::ServiceKind;

use crate::process::Process;

/// Service of the engines.
pub const MODEL_SERVICE: &str = "modelos-bitacora";
/// Plain service, whose calls may not be repeated.
pub const PLAIN_SERVICE: &str = "ordenes-mulas";
/// Engines; the last one ignores fencing numbers.
pub const ENGINES: usize = 3;
const ENTRIES: usize = 2;
const TOKEN: &str = "chaos-token-of-the-operator-00000001";
const KEY: &str = "8f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b4962";
/// Time for everything to come up.
const START_MS: Duration = Duration::from_secs(20);

/// Addresses of one entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    peers: SocketAddr,
}

/// Everything that runs.
pub struct World {
    folder: PathBuf,
    pub platform: SocketAddr,
    pub forwarder: SocketAddr,
    pub engines: Vec<SocketAddr>,
    pub plain: SocketAddr,
    entry_addresses: Vec<EntryAddresses>,
    pub entry_processes: RefCell<Vec<Process>>,
    /// Agents of the engines in order, then that of the plain service.
    pub agent_processes: RefCell<Vec<Process>>,
    standins: RefCell<Vec<Process>>,
}

impl World {
    /// Starts all processes and waits until every target takes work at every entry.
    pub async fn start() -> eyre::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("chervilspool-chaos-{}", std::process::id()));
        std::fs::create_dir_all(&folder).wrap_err("cannot make a folder for settings")?;
        let mut ports = Ports::default();
        let world = Self {
            platform: ports.next()?,
            forwarder: ports.next()?,
            engines: (0..ENGINES)
                .map(|_| ports.next())
                .collect::<Result<_, _>>()?,
            plain: ports.next()?,
            entry_addresses: (0..ENTRIES)
                .map(|_| {
                    Ok(EntryAddresses {
                        callers: ports.next()?,
                        operators: ports.next()?,
                        peers: ports.next()?,
                    })
                })
                .collect::<eyre::Result<_>>()?,
            folder,
            entry_processes: RefCell::default(),
            agent_processes: RefCell::default(),
            standins: RefCell::default(),
        };
        world.start_standins(&mut ports)?;
        world.start_entries()?;
        world.configure().await?;
        Ok(world)
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entry_addresses.iter().map(|a| a.callers).collect()
    }

    /// Name of the target behind an agent.
    pub fn target(index: usize) -> String {
        if index < ENGINES {
            format!("bitacora-{index}")
        } else {
            "ordenes-0".to_owned()
        }
    }

    pub fn operators(&self, entry: usize) -> OperatorsClient {
        OperatorsClient::new(self.entry_addresses[entry].operators, TOKEN)
    }

    /// Gives an order to a target through an entry.
    pub async fn order(&self, entry: usize, target: &str, order: OrderKind) -> bool {
        let request = CommandRequest {
            command: Command::OrderTarget {
                target: target.to_owned(),
                order,
            },
            reason: "chaos".to_owned(),
            if_revision: None,
            dry_run: false,
        };
        self.operators(entry).execute(&request).await.is_ok()
    }

    /// Stops agents and entries gracefully; returns those that did not end with status 0.
    pub async fn stop_daemons(&self) -> eyre::Result<Vec<String>> {
        let mut unclean = Vec::new();
        for processes in [&self.entry_processes, &self.agent_processes] {
            let taken: Vec<Process> = processes.borrow_mut().drain(..).collect();
            for mut process in taken {
                if !process.stop().await {
                    unclean.push(process.name().to_owned());
                }
            }
        }
        Ok(unclean)
    }

    /// Ends the stand-ins and removes the folder, unless the logs are to be kept.
    pub fn finish(&self, keep: bool) {
        self.standins.borrow_mut().clear();
        if keep {
            eprintln!("chaos: logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    fn start_standins(&self, ports: &mut Ports) -> eyre::Result<()> {
        let mut links = Vec::new();
        let listen = |address: SocketAddr| vec!["--listen".to_owned(), address.to_string()];
        self.start_standin("platform", listen(self.platform))?;
        for index in 0..=ENGINES {
            let is_engine = index < ENGINES;
            let address = if is_engine {
                self.engines[index]
            } else {
                self.plain
            };
            let mut arguments = listen(address);
            if is_engine {
                arguments.extend(["--away-ms", "1000", "--decode-rate", "200"].map(String::from));
            } else {
                arguments.extend(["--delay-ms", "30"].map(String::from));
            }
            if index + 1 == ENGINES {
                arguments.push("--ignore-fencing".to_owned());
            }
            let kind = if is_engine { "engine" } else { "plain" };
            self.start_standin_as(kind, &Self::target(index), arguments)?;
            let (agent, advertised) = (ports.next()?, ports.next()?);
            links.push(format!("{advertised}={agent}"));
            self.start_agent(index, address, agent, advertised)?;
        }
        let mut arguments = vec!["--control".to_owned(), self.forwarder.to_string()];
        for link in links {
            arguments.extend(["--link".to_owned(), link]);
        }
        self.start_standin("forwarder", arguments)
    }

    fn start_standin(&self, kind: &str, arguments: Vec<String>) -> eyre::Result<()> {
        self.start_standin_as(kind, kind, arguments)
    }

    fn start_standin_as(
        &self,
        kind: &str,
        name: &str,
        mut arguments: Vec<String>,
    ) -> eyre::Result<()> {
        arguments.insert(0, kind.to_owned());
        let process = Process::start(name, &program("standin")?, &arguments, &self.folder)?;
        self.standins.borrow_mut().push(process);
        Ok(())
    }

    fn start_agent(
        &self,
        index: usize,
        address: SocketAddr,
        listen: SocketAddr,
        advertise: SocketAddr,
    ) -> eyre::Result<()> {
        let is_engine = index < ENGINES;
        let name = Self::target(index);
        let settings = json!({
            "daemon": "agent",
            "target": {
                "name": name,
                "service": if is_engine { MODEL_SERVICE } else { PLAIN_SERVICE },
                "kind": if is_engine { "model" } else { "plain" },
                "address": address,
                "honours_fencing": is_engine && index + 1 < ENGINES,
            },
            "host": format!("host-{name}"), "region": "chaos", "place": "bolson-centro",
            "listen": listen, "advertise": advertise,
            "platform": self.platform_settings(),
            "keys": [{"id": 1, "secret": KEY}],
            "order_poll_ms": 500, "order_settle_ms": 500, "drain": {"notice_ms": 300},
        });
        let process = self.start_daemon("agent", &format!("agent-{name}"), &settings)?;
        self.agent_processes.borrow_mut().push(process);
        Ok(())
    }

    fn start_entries(&self) -> eyre::Result<()> {
        let peers: Vec<SocketAddr> = self.entry_addresses.iter().map(|a| a.peers).collect();
        for (index, addresses) in self.entry_addresses.iter().enumerate() {
            let name = format!("entry-{index}");
            let settings = json!({
                "daemon": "entry", "name": name, "host": format!("host-{name}"),
                "region": "chaos", "place": "bolson-centro",
                "addresses": {
                    "callers": addresses.callers,
                    "operators": addresses.operators,
                    "peers": addresses.peers,
                },
                "peers": peers,
                "platform": self.platform_settings(),
                "keys": [{"id": 1, "secret": KEY}],
                "operators": [{"name": "chaos", "token": TOKEN}],
                "caller_identity": {"header": "X-Caller"},
                "intervals": {"balancer_notice_ms": 200, "lease_ms": 2000},
            });
            let process = self.start_daemon("entry", &name, &settings)?;
            self.entry_processes.borrow_mut().push(process);
        }
        Ok(())
    }

    fn start_daemon(
        &self,
        kind: &str,
        name: &str,
        settings: &serde_json::Value,
    ) -> eyre::Result<Process> {
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string())
            .wrap_err_with(|| format!("cannot write {}", file.display()))?;
        let file = file.display().to_string();
        let arguments = [kind.to_owned(), "--settings".to_owned(), file];
        Process::start(name, &program("chervilspool")?, &arguments, &self.folder)
    }

    fn platform_settings(&self) -> serde_json::Value {
        let address = self.platform;
        json!({"table": address, "objects": address, "weights": address, "hosts": address})
    }

    async fn configure(&self) -> eyre::Result<()> {
        let logbook = Profile {
            model: "demo".to_owned(),
            version: "1".to_owned(),
            ..profile("logbook")
        };
        let work_order = Profile {
            idempotent: false,
            ..profile("work-order")
        };
        let commands = [
            Command::CreateProfile { profile: logbook },
            Command::CreateProfile {
                profile: work_order,
            },
            service(MODEL_SERVICE, ServiceKind::Model, "logbook"),
            service(PLAIN_SERVICE, ServiceKind::Plain, "work-order"),
        ];
        for command in commands {
            self.execute_until_done(command).await?;
        }
        for entry in 0..ENTRIES {
            self.wait_for_targets(entry).await?;
        }
        Ok(())
    }

    async fn execute_until_done(&self, command: Command) -> eyre::Result<()> {
        let request = CommandRequest {
            command,
            reason: "chaos".to_owned(),
            if_revision: None,
            dry_run: false,
        };
        let until = Instant::now() + START_MS;
        loop {
            match self.operators(0).execute(&request).await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > until => {
                    return Err(eyre::eyre!("cannot configure: {error}"));
                }
                Err(_) => Timer::after(Duration::from_millis(100)).await,
            };
        }
    }

    async fn wait_for_targets(&self, entry: usize) -> eyre::Result<()> {
        let until = Instant::now() + START_MS;
        while Instant::now() < until {
            if self.open_targets(entry).await == ENGINES + 1 {
                return Ok(());
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        Err(eyre::eyre!("targets do not come up at entry {entry}"))
    }

    async fn open_targets(&self, entry: usize) -> usize {
        let Ok(status) = self.operators(entry).status().await else {
            return 0;
        };
        status.to_string().matches("\"Open\"").count()
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
        body_limit_bytes: 256 << 20,
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

fn profile(name: &str) -> Profile {
    Profile {
        name: name.to_owned(),
        deadline_ms: Duration::from_secs(10),
        ..Profile::default()
    }
}

fn service(name: &str, kind: ServiceKind, profile: &str) -> Command {
    Command::SetService {
        service: Service {
            name: name.to_owned(),
            kind,
            profile: profile.to_owned(),
        },
    }
}

/// A program of this workspace, next to the folder of this example.
fn program(name: &str) -> eyre::Result<PathBuf> {
    let example = std::env::current_exe().wrap_err("cannot find this program")?;
    let folder = example.parent().and_then(Path::parent);
    let folder = folder.ok_or_else(|| eyre::eyre!("cannot find the build folder"))?;
    Ok(folder.join(name))
}

/// Free loopback ports. Each stays bound until all are chosen, so that none is chosen twice.
#[derive(Default)]
struct Ports {
    used: Vec<u16>,
}

impl Ports {
    fn next(&mut self) -> eyre::Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0").wrap_err("no free port")?;
            let address = listener.local_addr().wrap_err("no free port")?;
            if !self.used.contains(&address.port()) {
                self.used.push(address.port());
                return Ok(address);
            }
        }
    }
}
