//! Limits on requests that targets name in their answers.

use limits::NamedRate;

use crate::core::Core;
use crate::core::RequestNumber;
use crate::log_event::LogEvent;

impl Core {
    /// Records what the answer to a request's current call says about the limit of its target.
    pub fn record_named_rate(&mut self, number: RequestNumber, named: NamedRate) {
        let active = self.requests.get(&number);
        let Some(call) = active.and_then(|active| active.current.as_ref()) else {
            return;
        };
        let rate = match named {
            NamedRate::Invalid => return,
            NamedRate::Absent => None,
            NamedRate::Limit(rate) => Some(rate),
        };
        if self.named_rates.get(&call.key).copied() == rate {
            return;
        }
        let target = call.target.clone();
        match rate {
            Some(rate) => self.named_rates.insert(call.key, rate),
            None => self.named_rates.remove(&call.key),
        };
        self.log_events.push(LogEvent::LimitChange { target, rate });
    }
}
