//! Turns at a resource that serves one at a time, the lowest priority number first.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Sender;

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 4;

#[derive(Default)]
struct Queue {
    busy: bool,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), Sender<Turn>>,
}

/// Queue for turns.
#[derive(Clone, Default)]
pub struct Turns {
    queue: Rc<RefCell<Queue>>,
}

/// The right to use the resource, until it is dropped.
pub struct Turn {
    queue: Rc<RefCell<Queue>>,
    passed_on: bool,
}

impl Turns {
    /// Waits for a turn.
    pub async fn next(&self, priority: u8) -> Turn {
        let receiver = {
            let mut queue = self.queue.borrow_mut();
            if !queue.busy {
                queue.busy = true;
                return Turn {
                    queue: self.queue.clone(),
                    passed_on: false,
                };
            }
            let (sender, receiver) = async_channel::bounded(1);
            queue.arrivals += 1;
            let place = (priority, queue.arrivals);
            queue.waiting.insert(place, sender);
            receiver
        };
        match receiver.recv().await {
            Ok(turn) => turn,
            // The queue keeps every sender until it has sent a turn.
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.passed_on {
            return;
        }
        loop {
            let next = {
                let mut queue = self.queue.borrow_mut();
                let next = queue.waiting.pop_first();
                queue.busy = next.is_some();
                next
            };
            let Some((_, sender)) = next else {
                return;
            };
            let turn = Self {
                queue: self.queue.clone(),
                passed_on: false,
            };
            match sender.try_send(turn) {
                Ok(()) => return,
                // The waiter is gone; the next one is tried here and not in the drop of its turn.
                Err(error) => error.into_inner().passed_on = true,
            }
        }
    }
}

/// Priority of a request; 0 is served first.
#[must_use]
pub fn parse_priority(text: Option<&str>) -> u8 {
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}
