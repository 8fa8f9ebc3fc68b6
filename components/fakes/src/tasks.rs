//! Executor for futures in virtual time. A future is polled again when the clock reaches the end of
//! its sleep.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use store::Timer;
use types::Clock;
use types::ManualClock;

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Executor in virtual time.
pub struct Tasks {
    clock: Rc<ManualClock>,
    next_id: Cell<u64>,
    current: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, (u64, Task)>>,
    sleeps: RefCell<BTreeSet<(Instant, u64)>>,
}

impl Tasks {
    /// An executor without futures, which never advances the clock itself.
    #[must_use]
    pub fn new(clock: Rc<ManualClock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            next_id: Cell::new(1),
            current: Cell::new(0),
            waiting: RefCell::default(),
            sleeps: RefCell::default(),
        })
    }

    /// Runs a future of the process `owner` up to its first sleep, and keeps it until it completes.
    pub fn spawn(&self, owner: u64, task: impl Future<Output = ()> + 'static) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.poll(id, owner, Box::pin(task));
    }

    /// Drops the futures of the process `owner`.
    pub fn cancel(&self, owner: u64) {
        let cancelled: Vec<u64> = self
            .waiting
            .borrow()
            .iter()
            .filter(|(_, (of, _))| *of == owner)
            .map(|(id, _)| *id)
            .collect();
        for id in cancelled {
            let task = self.waiting.borrow_mut().remove(&id);
            drop(task);
        }
    }

    /// Earliest end of a sleep.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.sleeps.borrow().first().map(|(at, _)| *at)
    }

    /// Polls the futures whose sleep has ended.
    pub fn run_due(&self) {
        let now = self.clock.now();
        loop {
            let due = self.sleeps.borrow().first().copied();
            let Some((at, id)) = due.filter(|(at, _)| *at <= now) else {
                return;
            };
            self.sleeps.borrow_mut().remove(&(at, id));
            let task = self.waiting.borrow_mut().remove(&id);
            if let Some((owner, task)) = task {
                self.poll(id, owner, task);
            }
        }
    }

    fn poll(&self, id: u64, owner: u64, mut task: Task) {
        let previous = self.current.replace(id);
        let mut context = Context::from_waker(Waker::noop());
        let poll = task.as_mut().poll(&mut context);
        self.current.set(previous);
        if poll.is_pending() {
            self.waiting.borrow_mut().insert(id, (owner, task));
        }
    }
}

/// Timer in virtual time. Only futures that [`Tasks`] polls may use it.
#[derive(Clone)]
pub struct VirtualTimer(pub Rc<Tasks>);

impl Timer for VirtualTimer {
    fn sleep(&self, delay_ms: Duration) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(Sleep {
            tasks: self.0.clone(),
            until: self.0.clock.now() + delay_ms,
        })
    }
}

struct Sleep {
    tasks: Rc<Tasks>,
    until: Instant,
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<()> {
        if self.tasks.clock.now() >= self.until {
            return Poll::Ready(());
        }
        let id = self.tasks.current.get();
        self.tasks.sleeps.borrow_mut().insert((self.until, id));
        Poll::Pending
    }
}
