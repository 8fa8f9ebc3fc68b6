//! One connection to the agent of each target.
//!
//! A connection is replaced when it breaks, goes silent, or leads to another run of the agent
//! than the one it was opened to. Failed attempts to connect back off up to a limit.
//!
//! A connection is watched, that is pinged and replaced when silent, while something is in
//! flight on it or a probe of its target is unanswered. The first message on one that was idle
//! starts the watch, so that a silent one is replaced within the same time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::TargetName;
use wire::ToAgent;
use wire::liveness::Pulse;

use crate::core::beat::Beat;

/// Number of a connection; never used twice in one run of the entry.
pub type LinkId = u64;

/// Bounds the exponent of the back-off; the limit in `LinkTimes` applies long before.
const MAX_DOUBLINGS: u32 = 16;

/// Times of the connections.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimes {
    /// Silence before a ping on a connection that is watched.
    pub heartbeat_ms: Duration,
    /// Silence before the connection is replaced.
    pub silence_ms: Duration,
    /// Silence before a ping on one that is not, so that both ends forget a dead one.
    pub idle_ms: Duration,
    /// Time for opening a connection.
    pub connect_ms: Duration,
    /// Wait after the first failure; doubles with each further one.
    pub backoff_ms: Duration,
    /// Longest wait.
    pub backoff_limit_ms: Duration,
}

impl Default for LinkTimes {
    fn default() -> Self {
        Self {
            heartbeat_ms: Duration::from_millis(500),
            silence_ms: Duration::from_secs(2),
            idle_ms: Duration::from_mins(1),
            connect_ms: Duration::from_secs(2),
            backoff_ms: Duration::from_millis(50),
            backoff_limit_ms: Duration::from_secs(2),
        }
    }
}

/// What the connections ask for.
#[derive(Debug, PartialEq)]
pub enum LinkAction {
    /// Open a connection.
    Open {
        /// Number of the new connection.
        link: LinkId,
        /// Target that it must lead to.
        target: TargetName,
        /// Address of the target's agent.
        address: SocketAddr,
    },
    /// Close a connection, whatever its state.
    Close {
        /// Connection concerned.
        link: LinkId,
    },
    /// Send a message.
    Send {
        /// Connection concerned.
        link: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// The target can be reached.
    Up {
        /// Target concerned.
        target: TargetName,
        /// Run of its agent.
        incarnation: Incarnation,
    },
    /// The target cannot be reached for now.
    Down {
        /// Target concerned.
        target: TargetName,
    },
    /// A run of the target's agent has ended.
    IncarnationGone {
        /// Target concerned.
        target: TargetName,
        /// The run that ended.
        incarnation: Incarnation,
    },
}

enum State {
    Waiting { until: Instant },
    Opening { link: LinkId, since: Instant },
    Up { link: LinkId, beat: Beat },
}

struct Link {
    address: SocketAddr,
    state: State,
    failures: u32,
    incarnation: Option<Incarnation>,
}

impl Link {
    /// Takes note of the run of the agent; tells if it takes the place of another one.
    fn take_run(&mut self, target: &TargetName, incarnation: Incarnation) -> Option<LinkAction> {
        let old = self.incarnation.replace(incarnation)?;
        (old != incarnation).then(|| LinkAction::IncarnationGone {
            target: target.clone(),
            incarnation: old,
        })
    }
}

/// Connections to all targets of this entry.
pub struct Links {
    times: LinkTimes,
    next: LinkId,
    by_target: BTreeMap<TargetName, Link>,
    target_of: HashMap<LinkId, TargetName>,
    nonce: u64,
}

impl Links {
    /// Starts without targets.
    #[must_use]
    pub fn new(times: LinkTimes) -> Self {
        Self {
            times,
            next: 1,
            by_target: BTreeMap::new(),
            target_of: HashMap::new(),
            nonce: 0,
        }
    }

    /// Adds a target, or takes note of its new address or run.
    pub fn set(
        &mut self,
        now: Instant,
        target: &TargetName,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Vec<LinkAction> {
        let link = self
            .by_target
            .entry(target.clone())
            .or_insert_with(|| Link {
                address,
                state: State::Waiting { until: now },
                failures: 0,
                incarnation: None,
            });
        let mut actions = Vec::from_iter(link.take_run(target, incarnation));
        let moved = std::mem::replace(&mut link.address, address) != address;
        if moved || !actions.is_empty() {
            link.failures = 0;
            actions.extend(disconnect(&mut self.target_of, target, link, now));
        }
        actions
    }

    /// Removes a target.
    pub fn remove(&mut self, now: Instant, target: &TargetName) -> Vec<LinkAction> {
        let Some(mut link) = self.by_target.remove(target) else {
            return Vec::new();
        };
        let mut actions = disconnect(&mut self.target_of, target, &mut link, now);
        if let Some(incarnation) = link.incarnation {
            actions.push(LinkAction::IncarnationGone {
                target: target.clone(),
                incarnation,
            });
        }
        actions
    }

    /// Forgets a target whose agent goes on running.
    pub fn release(&mut self, now: Instant, target: &TargetName) -> Vec<LinkAction> {
        let mut actions = self.remove(now, target);
        actions.retain(|action| !matches!(action, LinkAction::IncarnationGone { .. }));
        actions
    }

    /// The agent answered `Hello` on a connection.
    pub fn welcomed(
        &mut self,
        now: Instant,
        link: LinkId,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> Vec<LinkAction> {
        let times = self.times;
        let Some((name, entry)) = self.find(link) else {
            return vec![LinkAction::Close { link }];
        };
        if name != *target {
            return self.closed(now, link);
        }
        let mut actions = Vec::from_iter(entry.take_run(&name, incarnation));
        entry.failures = 0;
        entry.state = State::Up {
            link,
            beat: Beat::new(now, &times),
        };
        actions.push(LinkAction::Up {
            target: name,
            incarnation,
        });
        actions
    }

    /// A message arrived. Returns the target and the run of its agent, or `None` if the
    /// connection is not in use any more.
    pub fn heard(&mut self, now: Instant, link: LinkId) -> Option<(TargetName, Incarnation)> {
        let name = self.target_of.get(&link)?;
        let entry = self.by_target.get_mut(name)?;
        let State::Up { beat, .. } = &mut entry.state else {
            return None;
        };
        beat.heard = now;
        beat.liveness.heard(now);
        Some((name.clone(), entry.incarnation?))
    }

    /// A connection ended or could not be opened.
    pub fn closed(&mut self, now: Instant, link: LinkId) -> Vec<LinkAction> {
        let Some(name) = self.target_of.get(&link).cloned() else {
            return Vec::new();
        };
        let Some(entry) = self.by_target.get_mut(&name) else {
            return Vec::new();
        };
        let actions = disconnect(&mut self.target_of, &name, entry, now);
        let doublings = entry.failures.min(MAX_DOUBLINGS);
        entry.failures += 1;
        let wait = self.times.backoff_ms.saturating_mul(1 << doublings);
        entry.state = State::Waiting {
            until: now + wait.min(self.times.backoff_limit_ms),
        };
        actions
    }

    /// A message that has to be answered goes out on a connection.
    pub fn sent(&mut self, now: Instant, link: LinkId) {
        let name = self.target_of.get(&link);
        if let Some(entry) = name.and_then(|name| self.by_target.get_mut(name))
            && let State::Up { beat, .. } = &mut entry.state
        {
            beat.watch(now, &self.times);
        }
    }

    /// Watches the connections to these targets, and the others no longer if they were heard
    /// of since the last heartbeat.
    pub fn watch(&mut self, now: Instant, is_in_use: impl Fn(&TargetName) -> bool) {
        for (name, link) in &mut self.by_target {
            let State::Up { beat, .. } = &mut link.state else {
                continue;
            };
            if is_in_use(name) {
                beat.watch(now, &self.times);
            } else if now.saturating_duration_since(beat.heard) < self.times.heartbeat_ms {
                beat.is_watched = false;
            }
        }
    }

    /// Opens, pings and replaces connections.
    pub fn tick(&mut self, now: Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        let mut failed = Vec::new();
        for (name, link) in &mut self.by_target {
            match &mut link.state {
                State::Waiting { until } if *until <= now => {
                    let id = self.next;
                    self.next += 1;
                    self.target_of.insert(id, name.clone());
                    link.state = State::Opening {
                        link: id,
                        since: now,
                    };
                    actions.push(LinkAction::Open {
                        link: id,
                        target: name.clone(),
                        address: link.address,
                    });
                }
                State::Opening { link, since } if *since + self.times.connect_ms <= now => {
                    failed.push(*link);
                }
                State::Up { link, beat } => match beat.tick(now, &self.times) {
                    Pulse::Fine => {}
                    Pulse::Ping => {
                        self.nonce += 1;
                        actions.push(LinkAction::Send {
                            link: *link,
                            message: ToAgent::Ping { nonce: self.nonce },
                        });
                    }
                    Pulse::Silent => failed.push(*link),
                },
                State::Waiting { .. } | State::Opening { .. } => {}
            }
        }
        for link in failed {
            actions.extend(self.closed(now, link));
        }
        actions
    }

    /// Connection in use for a target.
    #[must_use]
    pub fn link(&self, target: &TargetName) -> Option<LinkId> {
        match self.by_target.get(target)?.state {
            State::Up { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Targets, with the address of their agent.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, SocketAddr)> {
        self.by_target
            .iter()
            .map(|(name, link)| (name, link.address))
    }

    fn find(&mut self, id: LinkId) -> Option<(TargetName, &mut Link)> {
        let name = self.target_of.get(&id)?.clone();
        let link = self.by_target.get_mut(&name)?;
        Some((name, link))
    }
}

/// Forgets the connection of a target, so that its late messages are dropped.
fn disconnect(
    target_of: &mut HashMap<LinkId, TargetName>,
    target: &TargetName,
    entry: &mut Link,
    now: Instant,
) -> Vec<LinkAction> {
    let before = std::mem::replace(&mut entry.state, State::Waiting { until: now });
    match before {
        State::Waiting { until } => {
            entry.state = State::Waiting { until };
            Vec::new()
        }
        State::Opening { link, .. } => {
            target_of.remove(&link);
            vec![LinkAction::Close { link }]
        }
        State::Up { link, .. } => {
            target_of.remove(&link);
            let down = LinkAction::Down {
                target: target.clone(),
            };
            vec![LinkAction::Close { link }, down]
        }
    }
}
