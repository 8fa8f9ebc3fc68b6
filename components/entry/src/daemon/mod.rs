//! The daemon: one loop on one thread that carries out what the decisions ask for.
//!
//! Every task runs on one `LocalExecutor`. Tasks move bytes and call `Daemon::feed`; no action
//! calls `feed` before all actions of an event are under way.

mod gateway;
mod link;
mod listeners;
mod log;
mod meters;
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
use store::BudgetOptions;
use store::GuardContext;
use store::Guarded;
use store::HostList;
use store::ObjectStore;
use store::RateBudget;
use store::RetryOptions;
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
use crate::core::Note;
use crate::core::links::LinkId;
use crate::daemon::meters::Meters;
use crate::options;

/// Time within which a call to the table must be decided. Shorter than a lease, so that a lease
/// is not renewed late, and than most deadlines, so that a claim is refused in time.
const TABLE_GIVE_UP_MS: std::time::Duration = std::time::Duration::from_secs(3);

/// Longest silence of the object store within a call; as long as a resend waits for its answer.
const OBJECT_ANSWER_MS: std::time::Duration = std::time::Duration::from_secs(5);
/// Longest call to the object store: 1 MiB at 1 Mbit/s. Few calls are made at once, and a store
/// that trickles must not hold them up for good.
const OBJECT_CALL_MS: std::time::Duration = std::time::Duration::from_secs(10);

struct Connection {
    outbox: Sender<ToAgent>,
    _task: Task<()>,
}

/// Everything that the tasks of a daemon share.
pub(crate) struct Daemon {
    core: RefCell<EntryCore>,
    clock: Rc<dyn Clock>,
    executor: Rc<LocalExecutor<'static>>,
    settings: RefCell<Rc<EntrySettings>>,
    file: PathBuf,
    keys: RefCell<Keyring>,
    table: Rc<dyn Table>,
    objects: Rc<dyn ObjectStore>,
    hosts: Rc<dyn HostList>,
    control: control::Executor,
    links: RefCell<HashMap<LinkId, Connection>>,
    replies: RefCell<HashMap<RequestId, Sender<Reply>>>,
    peers: RefCell<HashMap<Incarnation, Sender<ToPeer>>>,
    heads: RefCell<HashMap<SocketAddr, (u64, Instant)>>,
    datagrams: Sender<(SocketAddr, Vec<u8>)>,
    rearm: Sender<()>,
    armed: Cell<Instant>,
    staying: Cell<bool>,
    meters: Meters,
    logger: Logger,
}

/// Serves until the process is asked to stop and everything in flight has finished. `file` is
/// read again on SIGHUP.
///
/// # Errors
///
/// An address is taken, or the settings cannot work.
pub fn run(settings: EntrySettings, file: &Path) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(settings, file.to_owned(), executor.clone());
    smol::block_on(executor.run(serving))
}

async fn serve(
    settings: EntrySettings,
    file: PathBuf,
    executor: Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let listeners = listeners::bind(&settings).await?;
    let (datagrams, outgoing) = async_channel::unbounded();
    let (rearm, rearmed) = async_channel::bounded(1);
    let daemon = Rc::new(Daemon::new(settings, file, executor, datagrams, rearm)?);
    let signals = signals::Stop::listen().wrap_err("cannot listen for signals")?;
    let incarnation = daemon.incarnation();
    daemon.note(&Note::Started { incarnation });
    daemon.spawn(timer::run(daemon.clone(), rearmed));
    daemon.spawn(sort_samples(daemon.clone()));
    let callers = listeners::start(&daemon, listeners, outgoing);
    signals::spawn_reload(&daemon, &callers).wrap_err("cannot listen for signals")?;
    let notice_ms = daemon.settings().intervals.balancer_notice_ms;
    signals
        .wait(notice_ms, || daemon.staying.set(false), &daemon.logger)
        .await;
    callers.finish().await;
    daemon.feed(Event::Leaving);
    daemon.drained().await;
    daemon.note(&Note::Stopped);
    Ok(())
}

async fn sort_samples(daemon: Rc<Daemon>) {
    loop {
        smol::Timer::after(meters::SORT_MS).await;
        daemon.meters.sort_samples();
    }
}

impl Daemon {
    fn new(
        settings: EntrySettings,
        file: PathBuf,
        executor: Rc<LocalExecutor<'static>>,
        datagrams: Sender<(SocketAddr, Vec<u8>)>,
        rearm: Sender<()>,
    ) -> eyre::Result<Self> {
        let logger = startup::logger(settings.log).new(slog::o!("entry" => settings.name.clone()));
        let meters = Meters::install().wrap_err("cannot install the metrics recorder")?;
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let now = clock.now();
        let incarnation = startup::incarnation();
        let keys = startup::keyring(&settings.keys).ok_or_else(|| {
            eyre::eyre!("`keys` in the settings is empty; add one with 64 hex digits")
        })?;
        let context = GuardContext {
            clock: clock.clone(),
            timer: Rc::new(SystemTimer),
            budget: Rc::new(RateBudget::new(&BudgetOptions::default(), now)),
        };
        let http_table = HttpTable::new(settings.platform.table, HttpOptions::default());
        let retries = RetryOptions {
            give_up_ms: TABLE_GIVE_UP_MS,
            ..RetryOptions::default()
        };
        let table: Rc<dyn Table> = Rc::new(Guarded::new(
            Rc::new(http_table),
            retries,
            context,
            incarnation,
        ));
        let options = HttpOptions {
            answer_ms: OBJECT_ANSWER_MS,
            ..HttpOptions::default()
        };
        let objects = HttpObjectStore::new(settings.platform.objects, options);
        let hosts = HttpHostList::new(settings.platform.hosts, HttpOptions::default());
        Ok(Self {
            core: RefCell::new(EntryCore::new(options::core(&settings), incarnation, now)),
            control: control::Executor::new(
                table.clone(),
                clock.clone(),
                Rc::new(SystemTimer),
                rand::random(),
            ),
            clock,
            executor,
            settings: RefCell::new(Rc::new(settings)),
            file,
            keys: RefCell::new(keys),
            table,
            objects: Rc::new(objects),
            hosts: Rc::new(hosts),
            links: RefCell::default(),
            replies: RefCell::default(),
            peers: RefCell::default(),
            heads: RefCell::default(),
            datagrams,
            rearm,
            armed: Cell::new(now),
            staying: Cell::new(true),
            meters,
            logger,
        })
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.core.borrow().incarnation()
    }

    /// Keys for a new connection.
    pub(crate) fn keys(&self) -> Keyring {
        self.keys.borrow().clone()
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Tells the core of an event and carries out its actions, in order.
    pub(crate) fn feed(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let (actions, wake) = {
            let mut core = self.core.borrow_mut();
            let actions = core.handle(now, event);
            (actions, core.next_wake())
        };
        for action in actions {
            self.carry_out(action);
        }
        if wake < self.armed.get() {
            // A full channel means that the timer is about to look again anyway.
            let _ = self.rearm.try_send(());
        }
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply { request, reply } => self.reply(request, reply),
            Action::OpenLink {
                link,
                target,
                address,
            } => {
                let (outbox, messages) = async_channel::unbounded();
                let running = link::run(self.clone(), link, target, address, messages);
                let connection = Connection {
                    outbox,
                    _task: self.executor.spawn(running),
                };
                self.links.borrow_mut().insert(link, connection);
            }
            Action::CloseLink { link } => {
                // Dropped after the borrow has ended, since its task may own the last handle.
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
                    daemon.feed(Event::TableDone { operation, result });
                });
            }
            Action::Object { operation, request } => {
                let daemon = self.clone();
                self.spawn(async move {
                    let late = async {
                        smol::Timer::after(OBJECT_CALL_MS).await;
                        Err(StoreError::Unanswered("no answer in time".to_owned()))
                    };
                    let call = objects::call(&*daemon.objects, request);
                    let result = smol::future::or(call, late).await;
                    daemon.feed(Event::ObjectDone { operation, result });
                });
            }
            Action::ReadHosts => {
                let daemon = self.clone();
                self.spawn(async move {
                    let result = daemon.hosts.hosts().await;
                    daemon.feed(Event::Hosts(result));
                });
            }
            Action::AskPeer { address, after } => {
                self.spawn(peers::ask(self.clone(), address, after));
            }
            Action::AnswerPeer { peer, answer } => peers::answer(self, peer, answer),
            Action::PlanOrder {
                held,
                target,
                kind,
                reason,
            } => self.plan_order(held, target, kind, reason),
            Action::KeepPlan { held, reason } => self.keep_plan(held, reason),
            Action::Note(note) => self.note(&note),
        }
    }

    fn note(&self, note: &Note) {
        Meters::note(note);
        log::write(&self.logger, note);
    }

    fn reply(&self, request: RequestId, reply: Reply) {
        let last = matches!(reply, Reply::End | Reply::Refused(_));
        let mut replies = self.replies.borrow_mut();
        if let Some(sender) = replies.get(&request) {
            let _ = sender.try_send(reply);
        }
        if last {
            replies.remove(&request);
        }
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &Datagram) {
        match datagram.encode(&self.keys.borrow()) {
            Ok(bytes) => {
                let _ = self.datagrams.try_send((to, bytes));
            }
            Err(error) => self.note(&Note::DatagramRefused {
                detail: error.to_string(),
            }),
        }
    }

    async fn drained(&self) {
        while !self.core.borrow().is_idle(self.clock.now()) {
            smol::Timer::after(timer::DRAIN_POLL_MS).await;
        }
    }
}
