//! Runs the core: turns I/O into its events and executes its actions.
//!
//! All tasks run on one `LocalExecutor`. They transfer bytes and call `Daemon::handle_event`. An
//! action never calls it directly, only from a task that it starts, so that all actions of an event
//! are started before the next event.

mod gateway;
mod link;
mod listeners;
mod log;
mod metrics_recorder;
mod operator;
mod peers;
mod signals;
mod timer;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Sender;
use eyre::WrapErr;
use settings::EntrySettings;
use slog::Logger;
use smol::LocalExecutor;
use smol::Task;
use store::HostList;
use store::ObjectStore;
use store::RateLimiter;
use store::RateLimits;
use store::RetryContext;
use store::RetryOptions;
use store::RetryingTable;
use store::StoreError;
use store::SystemTimer;
use store::Table;
use store::client::HttpHostList;
use store::client::HttpObjectStore;
use store::client::HttpOptions;
use store::client::HttpTable;
use store::objects;
use types::Clock;
use types::Incarnation;
use types::Reply;
use types::RequestId;
use types::SystemClock;
use wire::Datagram;
use wire::Keyring;
use wire::ToAgent;
use wire::ToPeer;

use crate::core::Action;
use crate::core::EntryCore;
use crate::core::Event;
use crate::core::LogEvent;
use crate::core::links::LinkId;
use crate::daemon::metrics_recorder::MetricsRecorder;
use crate::options;

/// Timeout of a call to the table with its retries. It is shorter than the duration of a lease, so
/// that leases are renewed before they expire, and than most deadlines, so that a request whose
/// claim cannot be written is refused before its deadline.
const TABLE_CALL_TIMEOUT_MS: std::time::Duration = std::time::Duration::from_secs(3);

/// Timeout without data from the object store within a call. Equal to the time that a request sent
/// again by its caller waits for the stored answer.
const OBJECT_READ_TIMEOUT_MS: std::time::Duration = std::time::Duration::from_secs(5);
/// Timeout of a call to the object store, enough for 1 MiB at 1 Mbit/s. Few calls run concurrently,
/// so a store that sends data very slowly must not occupy them indefinitely.
const OBJECT_CALL_TIMEOUT_MS: std::time::Duration = std::time::Duration::from_secs(10);

struct Connection {
    outbox: Sender<ToAgent>,
    _task: Task<()>,
}

/// State shared by the tasks of the daemon.
pub(crate) struct Daemon {
    core: RefCell<EntryCore>,
    clock: Rc<dyn Clock>,
    executor: Rc<LocalExecutor<'static>>,
    settings: RefCell<Rc<EntrySettings>>,
    settings_file: PathBuf,
    keys: RefCell<Keyring>,
    table: Rc<dyn Table>,
    objects: Rc<dyn ObjectStore>,
    hosts: Rc<dyn HostList>,
    control: control::Executor,
    links: RefCell<HashMap<LinkId, Connection>>,
    replies: RefCell<HashMap<RequestId, Sender<Reply>>>,
    peers: RefCell<HashMap<Incarnation, Sender<ToPeer>>>,
    peer_heads: RefCell<HashMap<SocketAddr, (u64, Instant)>>,
    datagrams: Sender<(SocketAddr, Vec<u8>)>,
    reschedule: Sender<()>,
    next_tick_at: Cell<Instant>,
    is_in_service: Cell<bool>,
    metrics_recorder: MetricsRecorder,
    logger: Logger,
}

/// Serves until the process is asked to stop and all requests in flight have finished.
/// `settings_file` is read again on SIGHUP.
///
/// # Errors
///
/// Fails if an address cannot be bound or the settings are invalid.
pub fn run(settings: EntrySettings, settings_file: &Path) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(settings, settings_file.to_owned(), executor.clone());
    smol::block_on(executor.run(serving))
}

async fn serve(
    settings: EntrySettings,
    settings_file: PathBuf,
    executor: Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let listeners = listeners::bind(&settings).await?;
    let (datagrams, outgoing) = async_channel::unbounded();
    let (reschedule, rescheduled) = async_channel::bounded(1);
    let daemon = Rc::new(Daemon::new(
        settings,
        settings_file,
        executor,
        datagrams,
        reschedule,
    )?);
    let signals = signals::StopSignals::listen().wrap_err("cannot listen for signals")?;
    let incarnation = daemon.incarnation();
    daemon.log_event(&LogEvent::Started { incarnation });
    daemon.spawn(timer::run(daemon.clone(), rescheduled));
    daemon.spawn(run_upkeep(daemon.clone()));
    let servers = listeners::start(&daemon, listeners, outgoing);
    signals::spawn_reload(&daemon, &servers).wrap_err("cannot listen for signals")?;
    let notice_ms = daemon.settings().intervals.balancer_notice_ms;
    signals
        .wait_for_stop(
            notice_ms,
            || daemon.is_in_service.set(false),
            &daemon.logger,
        )
        .await;
    servers.shut_down().await;
    daemon.handle_event(Event::Leaving);
    daemon.wait_until_idle().await;
    daemon.log_event(&LogEvent::Stopped);
    Ok(())
}

async fn run_upkeep(daemon: Rc<Daemon>) {
    loop {
        smol::Timer::after(metrics_recorder::UPKEEP_INTERVAL_MS).await;
        daemon.metrics_recorder.run_upkeep();
    }
}

impl Daemon {
    fn new(
        settings: EntrySettings,
        settings_file: PathBuf,
        executor: Rc<LocalExecutor<'static>>,
        datagrams: Sender<(SocketAddr, Vec<u8>)>,
        reschedule: Sender<()>,
    ) -> eyre::Result<Self> {
        let logger = startup::logger(settings.log).new(slog::o!("entry" => settings.name.clone()));
        let metrics_recorder =
            MetricsRecorder::install().wrap_err("cannot install the metrics recorder")?;
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let now = clock.now();
        let incarnation = startup::random_incarnation();
        let keys = startup::keyring(&settings.keys).ok_or_else(|| {
            eyre::eyre!("`keys` in the settings is empty; add one with 64 hex digits")
        })?;
        let context = RetryContext {
            clock: clock.clone(),
            timer: Rc::new(SystemTimer),
            rate_limit: Rc::new(RateLimiter::new(&RateLimits::default(), now)),
        };
        let http_table = HttpTable::new(settings.platform.table, HttpOptions::default());
        let retries = RetryOptions {
            timeout_ms: TABLE_CALL_TIMEOUT_MS,
            ..RetryOptions::default()
        };
        let table: Rc<dyn Table> = Rc::new(RetryingTable::new(
            Rc::new(http_table),
            retries,
            context,
            incarnation,
        ));
        let options = HttpOptions {
            answer_ms: OBJECT_READ_TIMEOUT_MS,
            ..HttpOptions::default()
        };
        let objects = HttpObjectStore::new(settings.platform.objects, options);
        let hosts = HttpHostList::new(settings.platform.hosts, HttpOptions::default());
        Ok(Self {
            core: RefCell::new(EntryCore::new(
                options::core_options(&settings),
                incarnation,
                now,
            )),
            control: control::Executor::new(
                table.clone(),
                clock.clone(),
                Rc::new(SystemTimer),
                rand::random(),
            ),
            clock,
            executor,
            settings: RefCell::new(Rc::new(settings)),
            settings_file,
            keys: RefCell::new(keys),
            table,
            objects: Rc::new(objects),
            hosts: Rc::new(hosts),
            links: RefCell::default(),
            replies: RefCell::default(),
            peers: RefCell::default(),
            peer_heads: RefCell::default(),
            datagrams,
            reschedule,
            next_tick_at: Cell::new(now),
            is_in_service: Cell::new(true),
            metrics_recorder,
            logger,
        })
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.core.borrow().incarnation()
    }

    /// Keys that authenticate new connections and datagrams.
    pub(crate) fn keys(&self) -> Keyring {
        self.keys.borrow().clone()
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Passes an event to the core and executes its actions, in order.
    pub(crate) fn handle_event(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let (actions, wake) = {
            let mut core = self.core.borrow_mut();
            let actions = core.handle(now, event);
            (actions, core.next_wake())
        };
        for action in actions {
            self.execute_action(action);
        }
        if wake < self.next_tick_at.get() {
            // If the channel is full, the timer is about to read the next tick anyway.
            let _ = self.reschedule.try_send(());
        }
    }

    fn execute_action(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply { request, reply } => self.reply(request, reply),
            Action::OpenLink {
                link,
                target,
                address,
            } => {
                let (outbox, messages) = async_channel::unbounded();
                let task = link::run(self.clone(), link, target, address, messages);
                let connection = Connection {
                    outbox,
                    _task: self.executor.spawn(task),
                };
                self.links.borrow_mut().insert(link, connection);
            }
            Action::CloseLink { link } => {
                // Dropped after the borrow has ended, as the task may own the last reference to the
                // daemon.
                let closed = self.links.borrow_mut().remove(&link);
                drop(closed);
            }
            Action::Send { link, message } => {
                if let Some(connection) = self.links.borrow().get(&link) {
                    let _ = connection.outbox.try_send(message);
                }
            }
            Action::SendDatagram { to, datagram } => self.send_datagram(to, &datagram),
            Action::Table { operation, request } => {
                let daemon = self.clone();
                self.spawn(async move {
                    let result = daemon.table.call(request).await;
                    daemon.handle_event(Event::TableDone { operation, result });
                });
            }
            Action::Object { operation, request } => {
                let daemon = self.clone();
                self.spawn(async move {
                    let timeout = async {
                        smol::Timer::after(OBJECT_CALL_TIMEOUT_MS).await;
                        Err(StoreError::Unanswered(
                            "no complete answer within the call timeout".to_owned(),
                        ))
                    };
                    let call = objects::call(&*daemon.objects, request);
                    let result = smol::future::or(call, timeout).await;
                    daemon.handle_event(Event::ObjectDone { operation, result });
                });
            }
            Action::ReadHosts => {
                let daemon = self.clone();
                self.spawn(async move {
                    let result = daemon.hosts.hosts().await;
                    daemon.handle_event(Event::Hosts(result));
                });
            }
            Action::RequestChanges { address, after } => {
                self.spawn(peers::request_changes(self.clone(), address, after));
            }
            Action::SendChanges { peer, answer } => peers::send_answer(self, peer, answer),
            Action::WritePlannedOrder {
                held,
                target,
                kind,
                reason,
            } => self.write_planned_order(held, target, kind, reason),
            Action::RecordKeptPlan { held, reason } => self.record_kept_plan(held, reason),
            Action::Log(event) => self.log_event(&event),
        }
    }

    fn log_event(&self, event: &LogEvent) {
        MetricsRecorder::record_event(event);
        log::write(&self.logger, event);
    }

    fn reply(&self, request: RequestId, reply: Reply) {
        let is_last = matches!(reply, Reply::End | Reply::Refused(_));
        let mut replies = self.replies.borrow_mut();
        if let Some(sender) = replies.get(&request) {
            let _ = sender.try_send(reply);
        }
        if is_last {
            replies.remove(&request);
        }
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &Datagram) {
        match datagram.encode(&self.keys.borrow()) {
            Ok(bytes) => {
                let _ = self.datagrams.try_send((to, bytes));
            }
            Err(error) => self.log_event(&LogEvent::DatagramRefused {
                detail: error.to_string(),
            }),
        }
    }

    async fn wait_until_idle(&self) {
        while !self.core.borrow().is_idle(self.clock.now()) {
            smol::Timer::after(timer::DRAIN_POLL_MS).await;
        }
    }
}
