//! The core with a table and an object store in memory.

mod common;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::core_options;
use common::load;
use common::target;
use common::work;
use control::Command;
use control::CommandRequest;
use control::Executor;
use entry::core::Action;
use entry::core::EntryCore;
use entry::core::Event;
use entry::core::LogEvent;
use store::HostEntry;
use store::HostState;
use store::MemoryObjectStore;
use store::MemoryTable;
use store::StoreError;
use store::SystemTimer;
use store::Table;
use store::objects;
use types::Incarnation;
use types::OrderKind;
use types::Profile;
use types::RefusalReason;
use types::Reply;
use types::RunState;
use types::Service;
use types::ServiceKind;
use types::Submission;
use types::SystemClock;
use types::Usage;
use wire::AnswerDigest;
use wire::Datagram;
use wire::ToAgent;
use wire::ToEntry;

const AGENT: Incarnation = 77;
const TICK: Duration = Duration::from_millis(100);

struct TestEntry {
    core: EntryCore,
    table: Rc<MemoryTable>,
    objects: Rc<MemoryObjectStore>,
    is_table_up: bool,
    now: Instant,
    link: Option<u64>,
    replies: Vec<Reply>,
    sent: Vec<ToAgent>,
    lost_details: Vec<String>,
    /// Head revision in the latest probe.
    head: u64,
}

impl TestEntry {
    fn new() -> Self {
        Self::with_incarnation(1)
    }

    fn with_incarnation(incarnation: Incarnation) -> Self {
        let now = Instant::now();
        Self {
            core: EntryCore::new(core_options(), incarnation, now),
            table: Rc::new(MemoryTable::default()),
            objects: Rc::default(),
            is_table_up: true,
            now,
            link: None,
            replies: Vec::new(),
            sent: Vec::new(),
            lost_details: Vec::new(),
            head: 0,
        }
    }

    /// Handles an event and those that its actions cause, without advancing the time.
    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.core.handle(self.now, event) {
                events.extend(self.execute_action(action));
            }
        }
    }

    fn execute_action(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Table { operation, request } => {
                let result = if self.is_table_up {
                    smol::block_on(self.table.call(request))
                } else {
                    Err(StoreError::Unavailable("down".to_owned()))
                };
                Some(Event::TableDone { operation, result })
            }
            Action::Object { operation, request } => {
                let result = smol::block_on(objects::call(&*self.objects, request));
                Some(Event::ObjectDone { operation, result })
            }
            Action::OpenLink { link, target, .. } => {
                self.link = Some(link);
                let message = ToEntry::Welcome {
                    target,
                    incarnation: AGENT,
                    load: load(AGENT),
                };
                Some(Event::LinkMessage { link, message })
            }
            Action::SendDatagram {
                datagram: Datagram::Probe { sequence, head, .. },
                ..
            } => {
                self.head = head;
                Some(Event::Datagram(Datagram::Alive {
                    target: target(0, ([127, 0, 0, 1], 9).into(), AGENT).name,
                    sequence,
                    load: load(AGENT),
                }))
            }
            Action::Reply { reply, .. } => {
                self.replies.push(reply);
                None
            }
            Action::Send { message, .. } => {
                self.sent.push(message);
                None
            }
            Action::Log(LogEvent::TargetDown { detail, .. }) => {
                self.lost_details.push(detail);
                None
            }
            _ => None,
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.handle(Event::Tick);
            if let Some(link) = self.link {
                let message = ToEntry::Load(load(AGENT));
                self.handle(Event::LinkMessage { link, message });
            }
        }
    }

    fn execute(&self, command: Command) {
        let table: Rc<dyn Table> = self.table.clone();
        let executor = Executor::new(table, Rc::new(SystemClock), Rc::new(SystemTimer), 1);
        let request = CommandRequest {
            command,
            reason: "test".to_owned(),
            if_revision: None,
            dry_run: false,
        };
        smol::block_on(executor.execute("test", &request)).expect("accepted");
    }

    fn configure(&self) {
        self.configure_with(true);
    }

    fn configure_with(&self, idempotent: bool) {
        self.execute(Command::CreateProfile {
            profile: Profile {
                name: "desk".to_owned(),
                idempotent,
                ..Profile::default()
            },
        });
        self.execute(Command::SetService {
            service: Service {
                name: "mesa".to_owned(),
                kind: ServiceKind::Model,
                profile: "desk".to_owned(),
            },
        });
        let table: Rc<dyn Table> = self.table.clone();
        let executor = Executor::new(table, Rc::new(SystemClock), Rc::new(SystemTimer), 2);
        let target = target(0, ([127, 0, 0, 1], 9).into(), AGENT);
        let update = control::TargetUpdate::Register(Box::new(target));
        let author = control::Author {
            by: "agent",
            reason: "test",
        };
        smol::block_on(executor.apply(&update, author)).expect("registered");
    }

    fn submit(&mut self) {
        self.submit_with(None);
    }

    fn submit_with(&mut self, key: Option<&str>) {
        let request = self.core.new_request();
        let submission = Submission {
            caller: "radio".to_owned(),
            work: work(),
            key: key.map(str::to_owned),
            deadline_ms: None,
        };
        self.handle(Event::Submitted {
            request,
            submission,
        });
    }

    /// Sends an answer of the agent to the last dispatch.
    fn answer_last_dispatch(&mut self, bytes: Vec<u8>) {
        let Some(ToAgent::Dispatch(dispatch)) = self.sent.last() else {
            panic!("no dispatch");
        };
        let attempt = dispatch.attempt;
        let link = self.link.expect("connected");
        let mut digest = AnswerDigest::default();
        digest.push(&bytes);
        let head = ToEntry::Head {
            attempt,
            status: 201,
            content_type: "application/pdf".to_owned(),
            headers: types::Headers::default(),
        };
        let chunk = ToEntry::Chunk {
            attempt,
            offset: 0,
            bytes,
        };
        let end = ToEntry::End {
            attempt,
            length: digest.length(),
            digest: digest.digest(),
            usage: Usage::default(),
            load: load(AGENT),
        };
        for message in [head, chunk, end] {
            self.handle(Event::LinkMessage { link, message });
        }
    }

    fn dispatch_count(&self) -> usize {
        let is_dispatch = |message: &&ToAgent| matches!(message, ToAgent::Dispatch(_));
        self.sent.iter().filter(is_dispatch).count()
    }

    fn hint_count(&self) -> usize {
        let is_hint = |message: &&ToAgent| matches!(message, ToAgent::OrderHint { .. });
        self.sent.iter().filter(is_hint).count()
    }

    fn last_refusal(&self) -> Option<(RefusalReason, RunState)> {
        match self.replies.last() {
            Some(Reply::Refused(refusal)) => Some((refusal.reason, refusal.run)),
            _ => None,
        }
    }
}

/// Guards against a connection that is replaced without a log record.
#[test]
fn logs_the_loss_of_a_silent_connection() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(1));
    entry.submit();
    entry.link = None;
    entry.advance(Duration::from_secs(3));
    assert_eq!(
        entry.lost_details,
        vec!["no message within the silence limit"]
    );
}

/// An entry without configuration must not report that a service does not exist.
#[test]
fn refuses_as_not_ready_until_it_has_a_configuration() {
    let mut entry = TestEntry::new();
    entry.is_table_up = false;
    entry.advance(Duration::from_secs(1));
    entry.submit();
    let not_ready = (RefusalReason::NotReady, RunState::NotRun);
    assert_eq!(entry.last_refusal(), Some(not_ready));
}

/// Guards against a table outage that affects requests which do not need the table.
#[test]
fn dispatches_from_the_snapshot_while_the_table_is_down() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(2));
    entry.is_table_up = false;
    entry.advance(Duration::from_mins(1));
    entry.submit();
    assert_eq!(entry.dispatch_count(), 1);
}

/// Guards against dispatch to a target whose host is leaving while its agent reports no change.
#[test]
fn dispatches_nothing_to_a_target_on_a_leaving_host() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(2));
    entry.handle(Event::Hosts(Ok(vec![HostEntry {
        host: "host-0".to_owned(),
        state: HostState::Leaving,
    }])));
    entry.submit();
    assert_eq!(entry.dispatch_count(), 0);

    // A list without the host does not change its state while its agent answers.
    entry.handle(Event::Hosts(Ok(Vec::new())));
    entry.advance(Duration::from_millis(200));
    assert_eq!(entry.dispatch_count(), 0);

    entry.handle(Event::Hosts(Ok(vec![HostEntry {
        host: "host-0".to_owned(),
        state: HostState::Live,
    }])));
    entry.advance(Duration::from_millis(500));
    assert_eq!(entry.dispatch_count(), 1);
}

/// Guards against a stop that leaves leases held or interrupts requests.
#[test]
fn is_idle_after_a_stop_once_requests_are_finished_and_leases_released() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(8));
    entry.submit();
    entry.handle(Event::Leaving);
    entry.advance(Duration::from_secs(1));
    assert!(!entry.core.is_idle(entry.now), "one request is in flight");
    entry.advance(Duration::from_mins(1));
    assert!(entry.core.is_idle(entry.now));
    let read = store::TableRequest::Read(vec![control::keys::lease("mesa")]);
    let Ok(store::TableReply::Rows(rows)) = smol::block_on(entry.table.call(read)) else {
        panic!("the table answers");
    };
    let row: control::LeaseRow = control::decode(&rows[0]).expect("a lease row");
    assert_eq!(row.holder, 0);
}

/// Guards against a stopping process that waits indefinitely for an unavailable table.
#[test]
fn becomes_idle_within_the_lease_duration_while_the_table_is_down() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(8));
    entry.is_table_up = false;
    entry.handle(Event::Leaving);
    entry.advance(Duration::from_secs(7));
    assert!(entry.core.is_idle(entry.now));
}

/// A hint written to a dead connection is lost; without a repeat the agent would find the order
/// only at its next poll.
#[test]
fn repeats_a_hint_after_a_silent_connection_is_replaced() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(2));
    assert_eq!(entry.hint_count(), 0);
    entry.execute(Command::OrderTarget {
        target: target(0, ([127, 0, 0, 1], 9).into(), AGENT).name,
        order: OrderKind::Drain,
    });
    while entry.hint_count() == 0 {
        entry.advance(TICK);
    }
    entry.link = None;
    entry.advance(Duration::from_secs(4));
    assert_eq!(entry.hint_count(), 2);
}

/// Agents rely on entries that state a head revision; an entry that may have missed orders must not
/// state one.
#[test]
fn probes_contain_no_head_while_changes_may_be_missing() {
    let mut entry = TestEntry::new();
    entry.configure();
    entry.advance(Duration::from_secs(3));
    assert!(entry.head > 0);
    entry.is_table_up = false;
    entry.advance(Duration::from_secs(3));
    assert_eq!(entry.head, 0);
    entry.is_table_up = true;
    entry.advance(Duration::from_secs(3));
    assert!(entry.head > 0);
}

/// Guards against results of object-store calls that do not reach the state machine that made the
/// call, and against a resend whose answer differs in status, media type or body.
#[test]
fn resend_to_another_entry_gets_the_same_answer_from_the_object_store() {
    let mut first = TestEntry::new();
    first.configure_with(false);
    first.advance(Duration::from_secs(2));
    first.objects.set_outage(true);
    first.submit_with(Some("key"));
    first.advance(Duration::from_millis(200));
    first.answer_last_dispatch((0..=u8::MAX).cycle().take(200_000).collect());
    first.advance(Duration::from_secs(1));
    first.objects.set_outage(false);
    first.advance(Duration::from_secs(10));

    let mut second = TestEntry::with_incarnation(2);
    second.table = first.table.clone();
    second.objects = first.objects.clone();
    second.advance(Duration::from_secs(2));
    second.submit_with(Some("key"));
    second.advance(Duration::from_secs(1));
    assert_eq!(second.dispatch_count(), 0);
    assert_eq!(second.replies, first.replies);
    assert!(matches!(
        second.replies[..],
        [Reply::Head { status: 201, .. }, Reply::Body(_), Reply::End]
    ));
}
