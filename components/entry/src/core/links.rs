//! Connections to agents, one for each target.
//!
//! A connection is replaced when it fails, becomes silent, or its target's row names another
//! address or incarnation of the agent. Failed attempts to connect back off exponentially.
//!
//! A connection is monitored, which means pinged and replaced when silent, while a request is in
//! flight on it or a probe of its target is unanswered. The first message on an idle connection
//! starts monitoring, so that a dead one is replaced within the silence limit as well.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::TargetName;
use wire::ToAgent;
use wire::liveness::HeartbeatAction;

use crate::core::keepalive::Keepalive;

/// Id of a connection, unique within a run of the entry.
pub type LinkId = u64;

/// Bounds the exponent of the back-off. `LinkTimings::backoff_limit_ms` applies long before.
const MAX_DOUBLINGS: u32 = 16;

/// Heartbeat, timeout and back-off times.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimings {
    /// Silence before a ping on a monitored connection.
    pub heartbeat_ms: Duration,
    /// Silence before a monitored connection is replaced.
    pub silence_ms: Duration,
    /// Silence before a ping on any other connection, so that both ends detect a dead one.
    pub idle_ms: Duration,
    /// Timeout of opening a connection.
    pub connect_ms: Duration,
    /// Delay after the first failure; doubles with each further one.
    pub backoff_ms: Duration,
    /// Maximum delay.
    pub backoff_limit_ms: Duration,
}

impl Default for LinkTimings {
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

/// Output of [`Links`].
#[derive(Debug, PartialEq)]
pub enum LinkAction {
    /// Open a connection.
    Open {
        /// Id of the new connection.
        link: LinkId,
        /// Target that the agent has to confirm.
        target: TargetName,
        /// Address of the target's agent.
        address: SocketAddr,
    },
    /// Close a connection, in any state.
    Close {
        /// Id of the connection.
        link: LinkId,
    },
    /// Send a message.
    Send {
        /// Id of the connection.
        link: LinkId,
        /// A ping.
        message: ToAgent,
    },
    /// The connection to a target is established.
    Up {
        /// Name in the target's row.
        target: TargetName,
        /// Incarnation of its agent.
        incarnation: Incarnation,
    },
    /// The established connection to a target was lost.
    Down {
        /// Name in the target's row.
        target: TargetName,
    },
    /// An incarnation of the agent of a target has ended.
    IncarnationEnded {
        /// Name in the target's row.
        target: TargetName,
        /// The ended incarnation.
        incarnation: Incarnation,
    },
}

enum State {
    Waiting { until: Instant },
    Opening { link: LinkId, since: Instant },
    Up { link: LinkId, keepalive: Keepalive },
}

struct Connection {
    address: SocketAddr,
    state: State,
    failures: u32,
    incarnation: Option<Incarnation>,
}

impl Connection {
    /// Sets the incarnation of the agent; returns an action if it replaces another one.
    fn replace_incarnation(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> Option<LinkAction> {
        let old = self.incarnation.replace(incarnation)?;
        (old != incarnation).then(|| LinkAction::IncarnationEnded {
            target: target.clone(),
            incarnation: old,
        })
    }
}

/// Connections to the agents of all targets of this entry.
pub struct Links {
    times: LinkTimings,
    next_id: LinkId,
    connections: BTreeMap<TargetName, Connection>,
    targets_by_link: HashMap<LinkId, TargetName>,
    nonce: u64,
}

impl Links {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(times: LinkTimings) -> Self {
        Self {
            times,
            next_id: 1,
            connections: BTreeMap::new(),
            targets_by_link: HashMap::new(),
            nonce: 0,
        }
    }

    /// Adds a target, or updates its address or incarnation.
    pub fn set(
        &mut self,
        now: Instant,
        target: &TargetName,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Vec<LinkAction> {
        let connection = self
            .connections
            .entry(target.clone())
            .or_insert_with(|| Connection {
                address,
                state: State::Waiting { until: now },
                failures: 0,
                incarnation: None,
            });
        let mut actions = Vec::from_iter(connection.replace_incarnation(target, incarnation));
        let is_moved = std::mem::replace(&mut connection.address, address) != address;
        if is_moved || !actions.is_empty() {
            connection.failures = 0;
            actions.extend(disconnect(
                &mut self.targets_by_link,
                target,
                connection,
                now,
            ));
        }
        actions
    }

    /// Removes a target whose row is gone, which ends the incarnation of its agent.
    pub fn remove(&mut self, now: Instant, target: &TargetName) -> Vec<LinkAction> {
        let Some(mut connection) = self.connections.remove(target) else {
            return Vec::new();
        };
        let mut actions = disconnect(&mut self.targets_by_link, target, &mut connection, now);
        if let Some(incarnation) = connection.incarnation {
            actions.push(LinkAction::IncarnationEnded {
                target: target.clone(),
                incarnation,
            });
        }
        actions
    }

    /// Removes a target whose agent continues to run.
    pub fn release(&mut self, now: Instant, target: &TargetName) -> Vec<LinkAction> {
        let mut actions = self.remove(now, target);
        actions.retain(|action| !matches!(action, LinkAction::IncarnationEnded { .. }));
        actions
    }

    /// Handles `Welcome`, the answer of the agent to `Hello`.
    pub fn connection_established(
        &mut self,
        now: Instant,
        link: LinkId,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> Vec<LinkAction> {
        let times = self.times;
        let Some((name, connection)) = self.connection_of(link) else {
            return vec![LinkAction::Close { link }];
        };
        if name != *target {
            return self.connection_closed(now, link);
        }
        let mut actions = Vec::from_iter(connection.replace_incarnation(&name, incarnation));
        connection.failures = 0;
        connection.state = State::Up {
            link,
            keepalive: Keepalive::new(now, &times),
        };
        actions.push(LinkAction::Up {
            target: name,
            incarnation,
        });
        actions
    }

    /// Handles the arrival of a message. Returns the target and the incarnation of its agent, or
    /// `None` if the connection is no longer in use.
    pub fn message_received(
        &mut self,
        now: Instant,
        link: LinkId,
    ) -> Option<(TargetName, Incarnation)> {
        let name = self.targets_by_link.get(&link)?;
        let connection = self.connections.get_mut(name)?;
        let State::Up { keepalive, .. } = &mut connection.state else {
            return None;
        };
        keepalive.last_heard_at = now;
        keepalive.liveness.record_received(now);
        Some((name.clone(), connection.incarnation?))
    }

    /// Handles the end of a connection, or a failure to open it.
    pub fn connection_closed(&mut self, now: Instant, link: LinkId) -> Vec<LinkAction> {
        let Some(name) = self.targets_by_link.get(&link).cloned() else {
            return Vec::new();
        };
        let Some(connection) = self.connections.get_mut(&name) else {
            return Vec::new();
        };
        let actions = disconnect(&mut self.targets_by_link, &name, connection, now);
        let doublings = connection.failures.min(MAX_DOUBLINGS);
        connection.failures += 1;
        let backoff = self.times.backoff_ms.saturating_mul(1 << doublings);
        connection.state = State::Waiting {
            until: now + backoff.min(self.times.backoff_limit_ms),
        };
        actions
    }

    /// Handles the sending of a message that has to be answered.
    pub fn message_sent(&mut self, now: Instant, link: LinkId) {
        let name = self.targets_by_link.get(&link);
        if let Some(connection) = name.and_then(|name| self.connections.get_mut(name))
            && let State::Up { keepalive, .. } = &mut connection.state
        {
            keepalive.start_monitoring(now, &self.times);
        }
    }

    /// Starts to monitor the connections in use. Stops to monitor another one if a message arrived
    /// on it within the last heartbeat interval.
    pub fn set_monitored(&mut self, now: Instant, is_in_use: impl Fn(&TargetName) -> bool) {
        for (name, connection) in &mut self.connections {
            let State::Up { keepalive, .. } = &mut connection.state else {
                continue;
            };
            if is_in_use(name) {
                keepalive.start_monitoring(now, &self.times);
            } else if now.saturating_duration_since(keepalive.last_heard_at)
                < self.times.heartbeat_ms
            {
                keepalive.is_monitored = false;
            }
        }
    }

    /// Opens, pings and replaces connections that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        let mut failed = Vec::new();
        for (name, connection) in &mut self.connections {
            match &mut connection.state {
                State::Waiting { until } if *until <= now => {
                    let id = self.next_id;
                    self.next_id += 1;
                    self.targets_by_link.insert(id, name.clone());
                    connection.state = State::Opening {
                        link: id,
                        since: now,
                    };
                    actions.push(LinkAction::Open {
                        link: id,
                        target: name.clone(),
                        address: connection.address,
                    });
                }
                State::Opening { link, since } if *since + self.times.connect_ms <= now => {
                    failed.push(*link);
                }
                State::Up { link, keepalive } => match keepalive.tick(now, &self.times) {
                    HeartbeatAction::NoAction => {}
                    HeartbeatAction::SendPing => {
                        self.nonce += 1;
                        actions.push(LinkAction::Send {
                            link: *link,
                            message: ToAgent::Ping { nonce: self.nonce },
                        });
                    }
                    HeartbeatAction::TimedOut => failed.push(*link),
                },
                State::Waiting { .. } | State::Opening { .. } => {}
            }
        }
        for link in failed {
            actions.extend(self.connection_closed(now, link));
        }
        actions
    }

    /// Id of the established connection to a target.
    #[must_use]
    pub fn link(&self, target: &TargetName) -> Option<LinkId> {
        match self.connections.get(target)?.state {
            State::Up { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Targets with the addresses of their agents.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, SocketAddr)> {
        self.connections
            .iter()
            .map(|(name, connection)| (name, connection.address))
    }

    fn connection_of(&mut self, id: LinkId) -> Option<(TargetName, &mut Connection)> {
        let name = self.targets_by_link.get(&id)?.clone();
        let connection = self.connections.get_mut(&name)?;
        Some((name, connection))
    }
}

/// Drops the connection to a target; messages that still arrive on it are ignored.
fn disconnect(
    targets_by_link: &mut HashMap<LinkId, TargetName>,
    target: &TargetName,
    connection: &mut Connection,
    now: Instant,
) -> Vec<LinkAction> {
    let before = std::mem::replace(&mut connection.state, State::Waiting { until: now });
    match before {
        State::Waiting { until } => {
            connection.state = State::Waiting { until };
            Vec::new()
        }
        State::Opening { link, .. } => {
            targets_by_link.remove(&link);
            vec![LinkAction::Close { link }]
        }
        State::Up { link, .. } => {
            targets_by_link.remove(&link);
            let down = LinkAction::Down {
                target: target.clone(),
            };
            vec![LinkAction::Close { link }, down]
        }
    }
}
