//! The daemon: carries out the core's decisions on a single-threaded executor.

mod callers;
mod configuration;
mod monitoring;
mod origins;
mod peers;
mod recorder;
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
use http::ByteBudget;
use http::Client;
use http::ClientLimits;
use http::ServerLimits;
use rand::RngExt;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::net::TcpListener;
use types::Clock;
use types::HostName;
use types::Incarnation;
use types::SystemClock;

use crate::core::Core;
use crate::core::CoreSettings;
use crate::core::RequestNumber;
use crate::deployment::Deployment;
use crate::deployment::DeploymentUpdate;
use crate::deployment::PeerEntry;
use crate::log::Log;
use crate::log_event::LogEvent;
use crate::protocol::Protocol;
use crate::protocol::Transfer;
use crate::settings::GatewaySettings;

use self::peers::Outgoing;
use self::recorder::MetricsRecorder;

/// Interval of checks for expired peers and targets.
const TICK_MS: Duration = Duration::from_millis(100);
/// Delay of a timer from which it is logged; requests wait as long.
const LOGGED_DELAY_MS: Duration = Duration::from_millis(250);
/// Connect timeout for targets; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT_MS: Duration = Duration::from_millis(400);
/// Time that an idle connection to a target is kept. Targets close theirs after some seconds.
const IDLE_TIMEOUT_MS: Duration = Duration::from_secs(4);
/// Idle connections kept to one target. A target accepts a few hundred from all processes together,
/// and at most a few processes exist per engine.
const IDLE_CONNECTIONS: usize = 8;
/// Interval of TCP keepalive probes; a dead target is detected after three of them.
const KEEPALIVE_MS: Duration = Duration::from_millis(700);
/// Timeout of a call that releases a KV cache.
const RELEASE_TIMEOUT_MS: Duration = Duration::from_secs(1);
/// Divisor of the process's memory that gives the limit for buffered request bodies.
const BODIES_MEMORY_DIVISOR: u64 = 4;
/// Divisor of the process's memory that gives the limit for answers that are not complete yet.
const ANSWERS_MEMORY_DIVISOR: u64 = 8;
/// Largest answer that is buffered. Plain services answer with about a kilobyte.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
/// File descriptors reserved for connections to targets, peers and the store.
const RESERVED_SOCKETS: usize = 800;
/// Messages that wait to be sent to single peers; more are dropped.
const OUTBOX_LIMIT: usize = 4_096;
/// Listen backlog.
const BACKLOG: i32 = 1024;

/// Platform-specific part of a gateway.
pub struct Adapter {
    /// Encoding of requests and answers.
    pub protocol: Rc<dyn Protocol>,
    /// Source of configuration, targets and peers.
    pub deployment: Rc<dyn Deployment>,
    /// Reads and checks the settings on SIGHUP, without applying them; the error is logged.
    pub reload: Box<dyn Fn() -> Result<(), String>>,
}

/// State shared by the tasks of the daemon.
pub(crate) struct Daemon {
    pub(crate) core: RefCell<Core>,
    pub(crate) protocol: Rc<dyn Protocol>,
    deployment: Rc<dyn Deployment>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) settings: GatewaySettings,
    pub(crate) is_in_service: Cell<bool>,
    executor: Rc<LocalExecutor<'static>>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    /// Bytes of answers that are not complete yet.
    answers: ByteBudget,
    /// Ends the call in progress of a request when the sender is dropped.
    cancellers: RefCell<HashMap<RequestNumber, Sender<()>>>,
    peers: RefCell<Vec<PeerEntry>>,
    /// Wakes the task that tells peers of a check of the configuration.
    checked: (Sender<()>, Receiver<()>),
    /// Messages for single peers.
    outbox: (Sender<Outgoing>, Receiver<Outgoing>),
    /// Latest run of each peer.
    incarnations: RefCell<HashMap<HostName, Incarnation>>,
    log: Log,
    recorder: MetricsRecorder,
}

/// Serves until SIGTERM or SIGINT, and then until the requests in flight have finished.
///
/// # Errors
///
/// An address is taken, or signals cannot be received.
pub fn run(settings: GatewaySettings, adapter: Adapter) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let server = serve(settings, adapter, executor.clone());
    smol::block_on(executor.run(server))
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
    daemon.log_event(LogEvent::Started { incarnation });
    daemon.spawn(daemon.log.clone().run());
    daemon.spawn(tick(daemon.clone()));
    daemon.spawn(reload_settings(daemon.clone(), reload, adapter.reload));
    peers::start(&daemon).await?;
    let sink: Rc<dyn Fn(DeploymentUpdate)> = {
        let daemon = daemon.clone();
        Rc::new(move |update| daemon.apply_update(update))
    };
    daemon.spawn(daemon.deployment.clone().follow(sink));
    configuration::start(&daemon).await?;
    monitoring::start(&daemon, ready, metrics);
    stop::serve_until_stopped(&daemon, callers, stop).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    // The default backlog overflows when many callers connect at once.
    rustix::net::listen(&listener, BACKLOG)
        .wrap_err_with(|| format!("cannot set the backlog of {address}"))?;
    Ok(listener)
}

async fn tick(daemon: Rc<Daemon>) {
    loop {
        let due = daemon.clock.now() + TICK_MS;
        Timer::at(due).await;
        let now = daemon.clock.now();
        record_delay(&daemon, now.saturating_duration_since(due));
        let is_polling_process = {
            let mut core = daemon.core.borrow_mut();
            core.tick(now);
            core.fleet.peers.is_polling_process(&daemon.settings.host)
        };
        daemon.deployment.set_frequent_polling(is_polling_process);
        daemon.process_core_output();
        daemon.recorder.run_upkeep();
    }
}

/// Records how late a timer was, as other tasks kept the thread or the process did not run.
fn record_delay(daemon: &Rc<Daemon>, delay_ms: Duration) {
    MetricsRecorder::record_delay(delay_ms);
    if delay_ms >= LOGGED_DELAY_MS {
        daemon.log_event(LogEvent::TasksDelayed {
            delay_ms: u64::try_from(delay_ms.as_millis()).unwrap_or(u64::MAX),
        });
    }
}

async fn reload_settings(
    daemon: Rc<Daemon>,
    mut signals: Signals,
    reload: Box<dyn Fn() -> Result<(), String>>,
) {
    while signals.next().await.is_some() {
        let error = reload().err();
        daemon.log_event(LogEvent::SettingsReload { error });
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
            retries: settings.retries,
            min_processes: settings.min_processes,
        };
        let answer_bytes = settings.memory_bytes / ANSWERS_MEMORY_DIVISOR;
        let answer_bytes = usize::try_from(answer_bytes).unwrap_or(usize::MAX);
        let clock = Rc::new(SystemClock);
        let incarnation = rand::rng().random::<u64>().max(1);
        Ok(Self {
            core: RefCell::new(Core::new(clock.now(), core_settings, incarnation)),
            protocol,
            deployment,
            clock,
            is_in_service: Cell::new(true),
            executor,
            clients: RefCell::default(),
            cancellers: RefCell::default(),
            answers: ByteBudget::new(answer_bytes),
            peers: RefCell::default(),
            checked: smol::channel::bounded(1),
            outbox: smol::channel::bounded(OUTBOX_LIMIT),
            incarnations: RefCell::default(),
            log: Log::new(&settings.host),
            recorder: MetricsRecorder::install().wrap_err("cannot install the metrics recorder")?,
            settings,
        })
    }

    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    pub(crate) fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// Logs an event of the daemon itself.
    pub(crate) fn log_event(self: &Rc<Self>, event: LogEvent) {
        self.core.borrow_mut().log_event(event);
        self.process_core_output();
    }

    fn apply_update(self: &Rc<Self>, update: DeploymentUpdate) {
        if let DeploymentUpdate::Peers(peers) = &update {
            self.peers.replace(peers.clone());
        }
        let now = self.clock.now();
        self.core.borrow_mut().apply_update(now, update);
        self.process_core_output();
    }

    /// Carries out what the core has decided on apart from calls; due after each call of the core.
    pub(crate) fn process_core_output(self: &Rc<Self>) {
        let (log_events, unused_transfers, part_writes, cancelled) = {
            let mut core = self.core.borrow_mut();
            (
                core.take_log_events(),
                core.take_unused_transfers(self.clock.now()),
                core.take_part_writes(),
                core.take_cancelled(),
            )
        };
        for write in part_writes {
            self.deployment.write_part(write);
        }
        for number in cancelled {
            self.cancellers.borrow_mut().remove(&number);
        }
        self.send_origin_notices();
        for event in &log_events {
            MetricsRecorder::record(event);
            self.log.write(event);
        }
        for transfer in unused_transfers {
            self.spawn(release(self.clone(), transfer));
        }
    }

    /// HTTP client for an address, with its pool of connections.
    pub(crate) fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(address).or_insert_with(|| {
            let limits = ClientLimits {
                idle_connections: IDLE_CONNECTIONS,
                idle_ms: IDLE_TIMEOUT_MS,
                connect_ms: CONNECT_TIMEOUT_MS,
                keepalive_ms: Some(KEEPALIVE_MS),
                body_until_close: true,
                body_limit_bytes: ANSWER_LIMIT_BYTES,
                ..ClientLimits::default()
            };
            Client::new(address, limits).with_budget(self.answers.clone())
        });
        client.clone()
    }

    /// Limits of callers' connections under the configuration in force.
    pub(crate) fn caller_limits(&self) -> ServerLimits {
        let core = self.core.borrow();
        let limits = core.configuration().map(|c| c.limits).unwrap_or_default();
        let sockets = self.settings.socket_limit.saturating_sub(RESERVED_SOCKETS);
        let bodies = self.settings.memory_bytes / BODIES_MEMORY_DIVISOR;
        ServerLimits {
            connections: sockets,
            head_limit_bytes: limits.head_bytes,
            head_ms: limits.head_ms,
            idle_ms: limits.idle_ms,
            buffered_bodies_limit_bytes: usize::try_from(bodies).unwrap_or(usize::MAX),
            ..ServerLimits::default()
        }
    }
}

async fn release(daemon: Rc<Daemon>, transfer: Transfer) {
    let head = daemon.protocol.release_head(&transfer);
    let client = daemon.client(transfer.address);
    let call = async {
        if let Ok(response) = client.forward(&head, &[], false, |_, _| true).await {
            let status = u16::from(response.status);
            let info = daemon.protocol.answer_info(status, &response.headers);
            let now = daemon.clock.now();
            daemon
                .core
                .borrow_mut()
                .record_release_answer(now, &transfer, &info.statement);
            let _ = response.into_buffered().await;
        }
    };
    // After a failure or a timeout, the engine releases the KV cache itself a little later.
    let _ = with_timeout(RELEASE_TIMEOUT_MS, Box::pin(call)).await;
}

/// Output of a future; `None` if it takes longer than `timeout_ms`.
pub(super) async fn with_timeout<T>(
    timeout_ms: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let timeout = async {
        Timer::after(timeout_ms).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timeout).await
}
