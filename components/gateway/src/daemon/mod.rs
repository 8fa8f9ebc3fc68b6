//! The daemon: one loop on one thread that carries out what the decisions ask for.

mod callers;
mod meters;
mod peers;
mod ready;
mod relay;
mod stop;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use eyre::WrapErr;
use futures_lite::StreamExt;
use http::Client;
use http::ClientLimits;
use http::ServerLimits;
use rand::RngExt;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use types::Clock;
use types::SystemClock;

use crate::core::Core;
use crate::core::CoreSettings;
use crate::deployment::Deployment;
use crate::deployment::Notice;
use crate::deployment::PeerEntry;
use crate::log::Log;
use crate::note::Note;
use crate::protocol::Protocol;
use crate::protocol::Transfer;
use crate::settings::GatewaySettings;

use self::meters::Meters;

/// Time between two looks at what has run out.
const TICK_MS: Duration = Duration::from_millis(100);
/// Longest time to open a connection to a target; a round trip takes a few milliseconds.
const CONNECT_MS: Duration = Duration::from_millis(400);
/// Time that an idle connection to a target is kept; targets close theirs after some seconds.
const IDLE_MS: Duration = Duration::from_secs(4);
/// Idle connections kept to one target. A target accepts some hundred from all processes together,
/// and there are a few processes for each engine at most.
const IDLE_CONNECTIONS: usize = 8;
/// Interval of keepalive probes to targets; a peer that is gone is noticed after three of them.
const PROBE_MS: Duration = Duration::from_millis(700);
/// Longest wait for the answer to a call that frees memory.
const RELEASE_MS: Duration = Duration::from_secs(1);
/// Part of the memory that bodies of requests may take.
const BODIES_PART: u64 = 4;
/// Descriptors for connections to targets, peers and the store.
const OWN_SOCKETS: usize = 800;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// What connects a gateway to its platform.
pub struct Adapter {
    /// Heads of requests and answers.
    pub protocol: Rc<dyn Protocol>,
    /// News of the deployment.
    pub deployment: Rc<dyn Deployment>,
    /// Reads the settings again.
    pub reload: Box<dyn Fn() -> Result<(), String>>,
}

/// Everything that the tasks of a daemon share.
pub(crate) struct Daemon {
    pub(crate) core: RefCell<Core>,
    pub(crate) protocol: Rc<dyn Protocol>,
    deployment: Rc<dyn Deployment>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) settings: GatewaySettings,
    pub(crate) is_staying: Cell<bool>,
    executor: Rc<LocalExecutor<'static>>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    peers: RefCell<Vec<PeerEntry>>,
    log: Log,
    meters: Meters,
}

/// Serves until the process is asked to stop and everything in flight has finished.
///
/// # Errors
///
/// An address is taken, or signals cannot be received.
pub fn run(settings: GatewaySettings, adapter: Adapter) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(settings, adapter, executor.clone());
    smol::block_on(executor.run(serving))
}

async fn serve(
    settings: GatewaySettings,
    adapter: Adapter,
    executor: Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let callers = listen(settings.callers).await?;
    let ready = listen(settings.ready).await?;
    let metrics = listen(settings.metrics).await?;
    let stop = Signals::new([Signal::Term, Signal::Int]).wrap_err("cannot receive SIGTERM")?;
    let reload = Signals::new([Signal::Hup]).wrap_err("cannot receive SIGHUP")?;
    let daemon = Rc::new(Daemon::new(
        settings,
        adapter.protocol,
        adapter.deployment,
        executor,
    )?);
    let incarnation = daemon.core.borrow().incarnation();
    daemon.note(Note::Started { incarnation });
    daemon.spawn(daemon.log.clone().run());
    daemon.spawn(tick(daemon.clone()));
    daemon.spawn(reload_settings(daemon.clone(), reload, adapter.reload));
    peers::start(&daemon).await?;
    let sink: Rc<dyn Fn(Notice)> = {
        let daemon = daemon.clone();
        Rc::new(move |notice| daemon.notice(notice))
    };
    daemon.spawn(daemon.deployment.clone().follow(sink));
    ready::start(&daemon, ready, metrics);
    stop::serve_until_stopped(&daemon, callers, stop).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    // The standard library's backlog overflows when many callers connect at once.
    rustix::net::listen(&listener, BACKLOG)
        .wrap_err_with(|| format!("cannot set the backlog of {address}"))?;
    Ok(listener)
}

async fn tick(daemon: Rc<Daemon>) {
    loop {
        Timer::after(TICK_MS).await;
        let now = daemon.clock.now();
        let keeps_watch = {
            let mut core = daemon.core.borrow_mut();
            core.tick(now);
            core.fleet.keeps_watch(&daemon.settings.host)
        };
        daemon.deployment.watch(keeps_watch);
        daemon.after_decision();
        daemon.meters.sort_samples();
    }
}

async fn reload_settings(
    daemon: Rc<Daemon>,
    mut signals: Signals,
    reload: Box<dyn Fn() -> Result<(), String>>,
) {
    while signals.next().await.is_some() {
        let error = reload().err();
        daemon.note(Note::SettingsReloaded { error });
    }
}

impl Daemon {
    fn new(
        settings: GatewaySettings,
        protocol: Rc<dyn Protocol>,
        deployment: Rc<dyn Deployment>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> eyre::Result<Self> {
        let core_settings = CoreSettings {
            data_centre: settings.data_centre.clone(),
            repeats: settings.repeats,
            least_processes: settings.least_processes,
        };
        let incarnation = rand::rng().random::<u64>().max(1);
        Ok(Self {
            core: RefCell::new(Core::new(core_settings, incarnation)),
            protocol,
            deployment,
            clock: Rc::new(SystemClock),
            is_staying: Cell::new(true),
            executor,
            clients: RefCell::default(),
            peers: RefCell::default(),
            log: Log::new(&settings.host),
            meters: Meters::install().wrap_err("cannot install the metrics recorder")?,
            settings,
        })
    }

    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    pub(crate) fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// Logs what the daemon saw itself.
    pub(crate) fn note(self: &Rc<Self>, note: Note) {
        self.core.borrow_mut().note(note);
        self.after_decision();
    }

    fn notice(self: &Rc<Self>, notice: Notice) {
        if let Notice::Peers(peers) = &notice {
            self.peers.replace(peers.clone());
        }
        let now = self.clock.now();
        self.core.borrow_mut().notice(now, notice);
        self.after_decision();
    }

    /// Carries out what decisions left to do.
    pub(crate) fn after_decision(self: &Rc<Self>) {
        let (notes, releases) = {
            let mut core = self.core.borrow_mut();
            (core.take_notes(), core.take_releases())
        };
        for note in &notes {
            Meters::note(note);
            self.log.write(note);
        }
        for transfer in releases {
            self.spawn(release(self.clone(), transfer));
        }
    }

    /// Client of a target's address.
    pub(crate) fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(address).or_insert_with(|| {
            let limits = ClientLimits {
                idle_connections: IDLE_CONNECTIONS,
                idle_ms: IDLE_MS,
                connect_ms: CONNECT_MS,
                probe_ms: Some(PROBE_MS),
                body_until_close: true,
                ..ClientLimits::default()
            };
            Client::new(address, limits)
        });
        client.clone()
    }

    /// Limits of callers' connections under the configuration in force.
    pub(crate) fn caller_limits(&self) -> ServerLimits {
        let core = self.core.borrow();
        let limits = core.configuration().map(|c| c.limits).unwrap_or_default();
        let sockets = self.settings.socket_limit.saturating_sub(OWN_SOCKETS);
        let bodies = self.settings.memory_bytes / BODIES_PART;
        ServerLimits {
            connections: sockets,
            head_limit_bytes: limits.head_bytes,
            head_ms: limits.head_ms,
            idle_ms: limits.idle_ms,
            held_bodies_bytes: usize::try_from(bodies).unwrap_or(usize::MAX),
            ..ServerLimits::default()
        }
    }
}

async fn release(daemon: Rc<Daemon>, transfer: Transfer) {
    let head = daemon.protocol.release_head(&transfer);
    let client = daemon.client(transfer.address);
    let call = async {
        if let Ok(response) = client.forward(&head, &[], false, |_| true).await {
            // Memory that is not freed now is freed by its engine a little later.
            let _ = response.into_whole().await;
        }
    };
    // The same for memory whose engine does not answer.
    let _ = within(RELEASE_MS, Box::pin(call)).await;
}

/// What a future gives, unless that takes longer than `limit_ms`.
pub(super) async fn within<T>(limit_ms: Duration, awaited: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(limit_ms).await;
        None
    };
    smol::future::or(async { Some(awaited.await) }, late).await
}
