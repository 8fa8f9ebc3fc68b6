//! Queue of one entry, by the admission rules of `docs/design.md`, section 4.

use std::time::Duration;

/// Requests of one entry and class that may wait.
const QUEUE_LIMIT: usize = 256;
/// Waiting this long raises a request by one priority.
const AGEING: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the mean time that a class takes.
const SERVICE_WEIGHT: f64 = 0.05;
/// Time over which the rate of starts is measured.
const RATE_CONSTANT_S: f64 = 10.0;

/// One waiting request.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    pub call: usize,
    pub class: usize,
    pub priority: u8,
    pub since: Duration,
    pub deadline: Duration,
}

/// What is known of one class.
#[derive(Debug, Default, Clone, Copy)]
struct Flow {
    waiting: usize,
    service_s: f64,
    starts: f64,
    updated: Duration,
}

/// Requests that wait for a target.
#[derive(Debug, Default)]
pub struct Queue {
    pub waiting: Vec<Waiting>,
    without_ageing: bool,
    flows: [Flow; 3],
}

impl Queue {
    pub fn new(without_ageing: bool) -> Self {
        Self {
            without_ageing,
            ..Self::default()
        }
    }

    /// Adds a request; returns whether it can be expected to finish in time.
    pub fn push(&mut self, waiting: Waiting) -> bool {
        let flow = &mut self.flows[waiting.class];
        flow.pass(waiting.since);
        let left_s = waiting.deadline.saturating_sub(waiting.since).as_secs_f64();
        if flow.waiting >= QUEUE_LIMIT || flow.wait_s() + flow.service_s > left_s {
            return false;
        }
        flow.waiting += 1;
        self.waiting.push(waiting);
        true
    }

    /// A request of the class was sent to a target.
    pub fn started(&mut self, now: Duration, class: usize) {
        let flow = &mut self.flows[class];
        flow.pass(now);
        flow.starts += 1.0;
    }

    /// A request of the class was answered this long after it was sent.
    pub fn answered(&mut self, class: usize, took: Duration) {
        let mean = &mut self.flows[class].service_s;
        *mean += SERVICE_WEIGHT * (took.as_secs_f64() - *mean);
    }

    /// Requests in the order in which they are tried: priority, raised by waiting, then deadline.
    pub fn in_order(&mut self, now: Duration) -> Vec<Waiting> {
        let without_ageing = self.without_ageing;
        self.waiting.sort_by_key(|waiting| {
            let raised = if without_ageing {
                0
            } else {
                now.saturating_sub(waiting.since).as_secs() / AGEING.as_secs()
            };
            let priority = u64::from(waiting.priority).saturating_sub(raised);
            (priority, waiting.deadline, waiting.call)
        });
        self.waiting.clone()
    }

    pub fn remove(&mut self, call: usize) {
        let Some(at) = self.waiting.iter().position(|waiting| waiting.call == call) else {
            return;
        };
        let class = self.waiting.remove(at).class;
        self.flows[class].waiting -= 1;
    }
}

impl Flow {
    fn pass(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.updated).as_secs_f64();
        self.starts *= (-seconds / RATE_CONSTANT_S).exp();
        self.updated = now;
    }

    /// Expected wait behind those that wait already.
    #[allow(clippy::cast_precision_loss)]
    fn wait_s(&self) -> f64 {
        let per_second = self.starts / RATE_CONSTANT_S;
        self.waiting as f64 / per_second.max(0.01)
    }
}
