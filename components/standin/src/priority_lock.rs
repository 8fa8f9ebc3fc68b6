//! Asynchronous lock that is granted by priority, lowest number first, then in order of arrival.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Sender;

/// Priority of a request without a valid priority header.
const DEFAULT_PRIORITY: u8 = 4;

#[derive(Default)]
struct Queue {
    is_locked: bool,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), Sender<PriorityLockGuard>>,
}

/// Asynchronous mutual-exclusion lock.
#[derive(Clone, Default)]
pub struct PriorityLock {
    queue: Rc<RefCell<Queue>>,
}

/// Releases the lock when dropped.
pub struct PriorityLockGuard {
    queue: Rc<RefCell<Queue>>,
    is_handed_over: bool,
}

impl PriorityLock {
    /// Waits until the lock is free and acquires it.
    pub async fn lock(&self, priority: u8) -> PriorityLockGuard {
        let receiver = {
            let mut queue = self.queue.borrow_mut();
            if !queue.is_locked {
                queue.is_locked = true;
                return PriorityLockGuard {
                    queue: self.queue.clone(),
                    is_handed_over: false,
                };
            }
            let (sender, receiver) = async_channel::bounded(1);
            queue.arrivals += 1;
            let position = (priority, queue.arrivals);
            queue.waiting.insert(position, sender);
            receiver
        };
        match receiver.recv().await {
            Ok(guard) => guard,
            // Unreachable: the queue keeps each sender until it has sent a guard.
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for PriorityLockGuard {
    fn drop(&mut self) {
        if self.is_handed_over {
            return;
        }
        loop {
            let next = {
                let mut queue = self.queue.borrow_mut();
                let next = queue.waiting.pop_first();
                queue.is_locked = next.is_some();
                next
            };
            let Some((_, sender)) = next else {
                return;
            };
            let guard = Self {
                queue: self.queue.clone(),
                is_handed_over: false,
            };
            match sender.try_send(guard) {
                Ok(()) => return,
                // The waiter is gone. The loop tries the next one; the unsent guard must not do
                // so as well when it is dropped.
                Err(error) => error.into_inner().is_handed_over = true,
            }
        }
    }
}

/// Parses the priority of a request; 0 is the highest.
#[must_use]
pub fn parse_priority(text: Option<&str>) -> u8 {
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}
