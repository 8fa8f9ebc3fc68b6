//! The daemon: carries out the actions of the state machine on one thread.

mod connections;
pub mod engine;
mod log;
mod runs;
mod server;
mod signals;
mod start;

pub use start::run;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;
use std::time::SystemTime;

use async_channel::Receiver;
use async_channel::Sender;
use eyre::WrapErr;
use http::Client;
use settings::AgentSettings;
use slog::Logger;
use smol::LocalExecutor;
use smol::net::UdpSocket;
use store::Table;
use store::WeightStore;
use wire::Datagram;
use wire::Keyring;
use wire::ToEntry;

use crate::daemon::connections::Connections;
use crate::daemon::engine::EngineClient;
use crate::daemon::runs::Runs;
use crate::event::Action;
use crate::event::Event;
use crate::event::ExitReason;
use crate::limits::Limits;
use crate::limits::TICK_MS;
use crate::state_machine::Agent;

/// Configuration and dependencies of a daemon.
pub struct DaemonConfig {
    /// Identity and limits.
    pub limits: Limits,
    /// Address to listen on for entries.
    pub listen: SocketAddr,
    /// HTTP address of the target.
    pub target: SocketAddr,
    /// Keys for frames and datagrams.
    pub keys: Keyring,
    /// Client of the table, with retries.
    pub table: Rc<dyn Table>,
    /// Client of the weight store.
    pub weights: Rc<dyn WeightStore>,
    /// Destination of log events.
    pub logger: Logger,
    /// Settings to reload on SIGHUP; with `None` the signal is not handled.
    pub reload: Option<ReloadableSettings>,
}

/// Current settings and the file to reload them from.
pub struct ReloadableSettings {
    /// Current settings.
    pub settings: AgentSettings,
    /// File to read on SIGHUP.
    pub file: PathBuf,
}

/// State shared by the tasks of a daemon.
pub(crate) struct Daemon {
    agent: RefCell<Agent>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) connections: Connections,
    pub(crate) runs: Runs,
    pub(crate) client: Client,
    keys: RefCell<Keyring>,
    pub(crate) is_model: bool,
    engine: EngineClient,
    table: Rc<dyn Table>,
    weights: Rc<dyn WeightStore>,
    udp: UdpSocket,
    logger: RefCell<Logger>,
    exit: Sender<ExitReason>,
}

/// Wall-clock time since the Unix epoch, for audit records.
#[must_use]
pub fn wall_ms() -> std::time::Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Serves until the process is asked to stop, another process registers for the target, or the
/// target is withdrawn.
///
/// # Errors
///
/// The port is in use, another agent process has registered for the target, or the target was
/// withdrawn.
pub fn serve(config: DaemonConfig) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let run = serve_on(config, executor.clone());
    smol::block_on(executor.run(run))
}

async fn serve_on(
    mut config: DaemonConfig,
    executor: Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let address = config.listen;
    let (listener, udp) = server::bind(address)?;
    let (exit, has_exited) = async_channel::bounded(1);
    let reload = config.reload.take();
    let daemon = Rc::new(Daemon::new(config, executor, udp, exit));
    signals::spawn(&daemon).wrap_err("cannot listen for signals")?;
    if let Some(reload) = reload {
        signals::spawn_reload(&daemon, reload).wrap_err("cannot listen for signals")?;
    }
    server::spawn(&daemon, listener);
    spawn_ticks(&daemon);
    let reason = wait_for_exit(has_exited).await;
    connections::flush(&daemon).await;
    match reason {
        ExitReason::Stopped => Ok(()),
        ExitReason::Superseded => Err(eyre::eyre!(
            "another agent process has registered for the target; stop one of the two"
        )),
        ExitReason::Withdrawn => Err(eyre::eyre!(
            "the target was withdrawn; start the agent under another target name"
        )),
    }
}

async fn wait_for_exit(has_exited: Receiver<ExitReason>) -> ExitReason {
    has_exited.recv().await.unwrap_or(ExitReason::Stopped)
}

fn spawn_ticks(daemon: &Rc<Daemon>) {
    let ticking = daemon.clone();
    daemon.spawn(async move {
        loop {
            ticking.handle_event(Event::Tick);
            ticking.runs.record_gauges(&ticking.agent.borrow());
            smol::Timer::after(TICK_MS).await;
        }
    });
}

impl Daemon {
    fn new(
        config: DaemonConfig,
        executor: Rc<LocalExecutor<'static>>,
        udp: UdpSocket,
        exit: Sender<ExitReason>,
    ) -> Self {
        Self {
            is_model: config.limits.kind == types::ServiceKind::Model,
            client: Client::new(config.target, runs::client_limits(config.limits.kind)),
            agent: RefCell::new(Agent::new(config.limits)),
            executor,
            connections: Connections::default(),
            runs: Runs::default(),
            keys: RefCell::new(config.keys),
            engine: EngineClient::new(config.target),
            table: config.table,
            weights: config.weights,
            udp,
            logger: RefCell::new(config.logger),
            exit,
        }
    }

    /// Passes an event to the state machine and carries out the resulting actions, in order.
    /// Actions report results only from their own tasks, so no event is handled in between.
    pub(crate) fn handle_event(self: &Rc<Self>, event: Event) {
        let actions = self.agent.borrow_mut().handle(Instant::now(), event);
        for action in actions {
            self.execute(action);
        }
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send {
                connection,
                message,
            } => {
                count_message(&message);
                self.connections.send(connection, message);
            }
            Action::Close { connection } => self.connections.close(connection),
            Action::Datagram { to, datagram } => self.send_datagram(to, &datagram),
            Action::Start {
                run,
                attempt,
                priority,
                work,
            } => runs::start(self, run, attempt, priority, *work),
            Action::Read { run } => self.runs.read(run),
            Action::Resume {
                run,
                attempt,
                offset,
            } => runs::resume(self, run, attempt, offset),
            Action::Release { run } => self.runs.release(run),
            Action::Abort { run, attempt } => runs::abort(self, run, attempt),
            Action::ReadEngineState => self.spawn_call(|daemon| async move {
                let state = daemon.engine.state().await;
                Some(Event::EngineState(state))
            }),
            Action::ReadEngineLoad => self.spawn_call(|daemon| async move {
                let load = daemon.engine.load().await;
                load.map(Event::EngineLoad)
            }),
            Action::ReadCacheEvents { after } => self.spawn_call(move |daemon| async move {
                let events = daemon.engine.cache_events(after).await;
                events.map(Event::CacheEvents)
            }),
            Action::SendOrder(order) => self.spawn_call(move |daemon| async move {
                let outcome = daemon.engine.send_order(&order).await;
                Some(Event::OrderAnswered(outcome))
            }),
            Action::ReserveSlot { model, version } => self.spawn_call(move |daemon| async move {
                let slot = daemon.weights.reserve(&model, &version).await;
                Some(Event::SlotReply(slot))
            }),
            Action::Table { operation, request } => self.spawn_call(move |daemon| async move {
                let result = daemon.table.call(request).await;
                Some(Event::TableDone { operation, result })
            }),
            Action::Log(event) => log::write(&self.logger.borrow(), &event),
            Action::Exit(reason) => {
                let _ = self.exit.try_send(reason);
            }
        }
    }

    /// Spawns a call, and handles the event that it returns, if any.
    fn spawn_call<F>(self: &Rc<Self>, call: impl FnOnce(Rc<Self>) -> F)
    where
        F: Future<Output = Option<Event>> + 'static,
    {
        let answer = call(self.clone());
        let daemon = self.clone();
        self.spawn(async move {
            if let Some(event) = answer.await {
                daemon.handle_event(event);
            }
        });
    }

    fn send_datagram(self: &Rc<Self>, to: SocketAddr, datagram: &Datagram) {
        let Ok(bytes) = datagram.encode(&self.keys.borrow()) else {
            return;
        };
        let daemon = self.clone();
        self.spawn(async move {
            // The entry's next probe replaces a lost reply.
            let _ = daemon.udp.send_to(&bytes, to).await;
        });
    }

    pub(crate) fn keys(&self) -> Keyring {
        self.keys.borrow().clone()
    }

    pub(crate) fn logger(&self) -> Logger {
        self.logger.borrow().clone()
    }

    pub(crate) fn udp(&self) -> &UdpSocket {
        &self.udp
    }
}

fn count_message(message: &ToEntry) {
    match message {
        ToEntry::Accepted { .. } => metrics::counter!("agent_accepted_total").increment(1),
        ToEntry::Rejected { reason, .. } => {
            metrics::counter!("agent_rejected_total", "reason" => log::rejection_label(*reason))
                .increment(1);
        }
        ToEntry::End { .. } => metrics::counter!("agent_answered_total").increment(1),
        ToEntry::Failed { .. } => metrics::counter!("agent_failed_total").increment(1),
        ToEntry::Chunk { bytes, .. } => {
            metrics::counter!("agent_relayed_bytes_total").increment(bytes.len() as u64);
        }
        _ => {}
    }
}
