//! Simulated deployment: three entries, six model engines and three plain targets.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agent::EngineState;
use control::Command;
use control::CommandRequest;
use control::Executor;
use entry::core::CoreOptions;
use entry::core::links::LinkTimings;
use fakes::FakeTarget;
use fakes::TablePort;
use fakes::VirtualTimer;
use store::HostState;
use store::RateLimiter;
use store::RateLimits;
use store::RetryContext;
use store::RetryOptions;
use store::RetryingTable;
use types::KeylessPolicy;
use types::LoadedModel;
use types::Profile;
use types::Role;
use types::Service;
use types::ServiceKind;

use crate::agents::AgentHost;
use crate::entries::EntryHost;
use crate::simulation::Node;
use crate::simulation::Simulation;

pub const ENTRIES: usize = 3;
pub const ENGINES: usize = 6;
pub const PLAIN: usize = 3;
pub const TARGETS: usize = ENGINES + PLAIN;
pub const MODEL_SERVICE: &str = "modelos-bitacora";
pub const PLAIN_SERVICE: &str = "mesa-refugios";
pub const MODEL_PROFILE: &str = "bitacora";
pub const PLAIN_PROFILE: &str = "mesa";
/// Limit of (prefix, target) pairs in an entry's prefix-cache index; low, so that runs reach it.
pub const INDEX_LIMIT: usize = 300;
/// Cost weight of a role change in the planner; low, so that roles change often.
const ROLE_CHANGE_WEIGHT: f64 = 0.2;
/// Deadline of both profiles.
pub const DEADLINE_MS: Duration = Duration::from_secs(10);

pub fn entry_address(at: usize) -> SocketAddr {
    address(0, at)
}

pub fn agent_address(at: usize) -> SocketAddr {
    address(1, at)
}

fn address(net: u8, at: usize) -> SocketAddr {
    let last = u8::try_from(at).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(10, 0, net, last), 7_000))
}

pub fn node_at(address: SocketAddr) -> Option<Node> {
    let entry = (0..ENTRIES).find(|at| entry_address(*at) == address);
    let agent = (0..TARGETS).find(|at| agent_address(*at) == address);
    entry.map(Node::Entry).or(agent.map(Node::Agent))
}

/// Initial names of the targets.
pub fn initial_names() -> Vec<String> {
    let name = |at| {
        let kind = if at < ENGINES { "engine" } else { "plain" };
        format!("{kind}-{at}")
    };
    (0..TARGETS).map(name).collect()
}

pub fn core_options(at: usize) -> CoreOptions {
    let mut routing = routing::Settings::new("bolson-centro");
    routing.index_limit = INDEX_LIMIT;
    CoreOptions {
        name: format!("entry-{at}"),
        routing,
        follower: control::FollowerOptions::default(),
        links: LinkTimings::default(),
        share_targets: 64,
        probe_ms: Duration::from_millis(500),
        hosts_poll_ms: Duration::from_secs(1),
        lease_ms: Duration::from_secs(6),
        address: entry_address(at),
        peers: (0..ENTRIES)
            .filter(|peer| *peer != at)
            .map(entry_address)
            .collect(),
    }
}

pub fn model_profile() -> Profile {
    Profile {
        name: MODEL_PROFILE.to_owned(),
        model: "m1".to_owned(),
        version: "1".to_owned(),
        deadline_ms: DEADLINE_MS,
        role_change_weight: ROLE_CHANGE_WEIGHT,
        ..Profile::default()
    }
}

pub fn plain_profile() -> Profile {
    Profile {
        name: PLAIN_PROFILE.to_owned(),
        deadline_ms: DEADLINE_MS,
        idempotent: false,
        keyless: KeylessPolicy::RunOnce,
        // Short enough that expired claims are deleted within a run.
        retention_s: Duration::from_mins(1),
        ..Profile::default()
    }
}

impl Simulation {
    pub fn set_up(&mut self) {
        self.entries = (0..ENTRIES).map(|_| EntryHost::new()).collect();
        for at in 0..TARGETS {
            let agent = self.new_agent_host(at, 0);
            let now = self.now();
            self.hosts.set(now, &agent.host, Some(HostState::Live));
            self.agents.push(agent);
        }
        self.configure();
        for at in 0..TARGETS {
            self.start_agent(at);
        }
        for at in 0..ENTRIES {
            self.start_entry(at);
        }
    }

    pub fn new_agent_host(&mut self, at: usize, generation: u64) -> AgentHost {
        let is_model = at < ENGINES;
        let (kind, base) = if is_model {
            let loaded = LoadedModel {
                model: "m1".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
            };
            let state = EngineState {
                loaded,
                role: Role::Mixed,
                away: false,
                number: 0,
            };
            (ServiceKind::Model, state)
        } else {
            let state = EngineState::default();
            (ServiceKind::Plain, state)
        };
        let honours_fencing = at.is_multiple_of(2);
        let seed = self.random_id();
        let target = FakeTarget::new(
            kind,
            honours_fencing,
            base,
            self.execution_log.clone(),
            seed,
        );
        let name = self.names[at].clone();
        AgentHost::new(name, format!("host-{at}-{generation}"), generation, target)
    }

    /// Creates the table client of one process, with its own retry budget.
    pub fn retrying_table(
        &mut self,
        is_disconnected: Rc<std::cell::Cell<bool>>,
    ) -> Rc<RetryingTable> {
        let seed = self.random_id();
        let now = self.now();
        let context = RetryContext {
            clock: self.clock.clone(),
            timer: Rc::new(VirtualTimer(self.tasks.clone())),
            rate_limit: Rc::new(RateLimiter::new(&RateLimits::default(), now)),
        };
        let options = RetryOptions {
            timeout_ms: Duration::from_secs(3),
            ..RetryOptions::default()
        };
        let port = TablePort::new(self.table.clone(), is_disconnected);
        Rc::new(RetryingTable::new(Rc::new(port), options, context, seed))
    }

    pub fn executor(&mut self, table: Rc<RetryingTable>) -> Rc<Executor> {
        let seed = self.random_id();
        let timer = Rc::new(VirtualTimer(self.tasks.clone()));
        Rc::new(Executor::new(table, self.clock.clone(), timer, seed))
    }

    fn configure(&mut self) {
        let table = self.retrying_table(Rc::default());
        let executor = self.executor(table);
        let service = |name: &str, kind, profile: &str| Command::SetService {
            service: Service {
                name: name.to_owned(),
                kind,
                profile: profile.to_owned(),
            },
        };
        let mut commands: VecDeque<Command> = VecDeque::from([
            Command::CreateProfile {
                profile: model_profile(),
            },
            Command::CreateProfile {
                profile: plain_profile(),
            },
            service(MODEL_SERVICE, ServiceKind::Model, MODEL_PROFILE),
            service(PLAIN_SERVICE, ServiceKind::Plain, PLAIN_PROFILE),
        ]);
        self.tasks.spawn(0, async move {
            while let Some(command) = commands.pop_front() {
                let request = CommandRequest {
                    command,
                    reason: "initial configuration".to_owned(),
                    if_revision: None,
                    dry_run: false,
                };
                let done = executor.execute("operator", &request).await;
                assert!(done.is_ok(), "initial configuration failed: {done:?}");
            }
        });
        self.run_for(Duration::from_secs(1));
    }
}
