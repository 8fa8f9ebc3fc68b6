//! Connections to agents under random sequences of events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use entry::core::links::LinkAction;
use entry::core::links::LinkId;
use entry::core::links::LinkTimings;
use entry::core::links::Links;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use types::Incarnation;
use types::TargetName;

const TARGETS: usize = 3;
const TIME_STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
enum Step {
    /// This number of time steps pass.
    Wait(u8),
    /// The row of a target names this port and incarnation.
    Set(usize, u16, Incarnation),
    /// The agent of a target sends `Welcome` with this incarnation.
    Welcome(usize, Incarnation),
    /// A message arrives on a connection, possibly a closed one.
    Receive(LinkId),
    /// A message is sent on a connection, possibly a closed one.
    Send(LinkId),
    /// Only the connection to this target is in use.
    Monitor(usize),
    /// A connection fails, possibly a closed one.
    Close(LinkId),
    /// A target is removed.
    Remove(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let target = usize::arbitrary(g) % TARGETS;
        let incarnation = u64::arbitrary(g) % 3;
        let link = u64::arbitrary(g) % 20;
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Wait(u8::arbitrary(g) % 30),
            3 => Self::Set(target, u16::arbitrary(g) % 2, incarnation),
            4 | 5 => Self::Welcome(target, incarnation),
            6 => match link % 3 {
                0 => Self::Send(link / 3),
                1 => Self::Monitor(target),
                _ => Self::Receive(link),
            },
            7 if bool::arbitrary(g) => Self::Close(link),
            _ => Self::Remove(target),
        }
    }
}

/// Expected state of the connections after the actions so far.
#[derive(Default)]
struct ConnectionModel {
    open: BTreeMap<LinkId, TargetName>,
    up: BTreeMap<TargetName, Incarnation>,
    ended: Vec<(TargetName, Incarnation)>,
}

impl ConnectionModel {
    /// Applies actions; returns false if one is inconsistent with the state.
    fn record_and_check(&mut self, actions: Vec<LinkAction>) -> bool {
        actions.into_iter().all(|action| match action {
            LinkAction::Open { link, target, .. } => {
                let is_only = !self.open.values().any(|open| *open == target);
                self.open.insert(link, target);
                is_only
            }
            LinkAction::Close { link } => {
                self.open.remove(&link);
                true
            }
            LinkAction::Send { link, .. } => self.open.contains_key(&link),
            LinkAction::Up {
                target,
                incarnation,
            } => self.up.insert(target, incarnation).is_none(),
            LinkAction::Down { target } => self.up.remove(&target).is_some(),
            LinkAction::IncarnationEnded {
                target,
                incarnation,
            } => {
                self.ended.push((target, incarnation));
                true
            }
        })
    }
}

fn name(target: usize) -> TargetName {
    format!("engine-{target}")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + port))
}

/// Guards against two connections to a target, messages on closed connections, and a target that
/// is reported up or down twice.
#[test]
fn keeps_one_connection_per_target() {
    fn property(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut links = Links::new(LinkTimings::default());
        let mut model = ConnectionModel::default();
        steps.into_iter().all(|step| {
            let actions = match step {
                Step::Wait(steps) => {
                    let mut actions = Vec::new();
                    for _ in 0..steps {
                        now += TIME_STEP;
                        actions.extend(links.tick(now));
                    }
                    actions
                }
                Step::Set(target, port, incarnation) => {
                    links.set(now, &name(target), address(port), incarnation)
                }
                Step::Welcome(target, incarnation) => {
                    let target = name(target);
                    let link = model.open.iter().find(|(_, open)| **open == target);
                    match link.map(|(link, _)| *link) {
                        Some(link) if !model.up.contains_key(&target) => {
                            links.connection_established(now, link, &target, incarnation)
                        }
                        _ => Vec::new(),
                    }
                }
                Step::Receive(link) => {
                    let received = links.message_received(now, link);
                    let expected = model.open.get(&link);
                    let is_up = expected.is_some_and(|target| model.up.contains_key(target));
                    if received.is_some() != is_up {
                        return false;
                    }
                    Vec::new()
                }
                Step::Send(link) => {
                    links.message_sent(now, link);
                    Vec::new()
                }
                Step::Monitor(target) => {
                    links.set_monitored(now, |of| *of == name(target));
                    Vec::new()
                }
                Step::Close(link) => links.connection_closed(now, link),
                Step::Remove(target) => links.remove(now, &name(target)),
            };
            model.record_and_check(actions)
        })
    }
    seeded::check()
        .tests(seeded::cases(500))
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a silent connection that is never replaced.
#[test]
fn replaces_a_silent_connection() {
    let mut now = Instant::now();
    let mut links = Links::new(LinkTimings::default());
    let mut model = ConnectionModel::default();
    assert!(model.record_and_check(links.set(now, &name(0), address(0), 1)));
    assert!(model.record_and_check(links.tick(now)));
    assert!(model.record_and_check(links.connection_established(now, 1, &name(0), 1)));
    links.message_sent(now, 1);
    let silence = Duration::from_secs(3);
    let end = now + silence;
    while now < end {
        now += TIME_STEP;
        assert!(model.record_and_check(links.tick(now)));
    }
    assert!(model.up.is_empty());
    assert_eq!(model.open.keys().copied().collect::<Vec<_>>(), [2]);
    assert!(
        model.ended.is_empty(),
        "silence does not end the incarnation"
    );
}

/// A request sent on a connection that died while idle must not wait longer than on one that was
/// monitored all the time.
#[test]
fn replaces_an_idle_connection_within_the_silence_limit_of_its_first_message() {
    let mut now = Instant::now();
    let times = LinkTimings::default();
    let mut links = Links::new(times);
    let mut model = ConnectionModel::default();
    assert!(model.record_and_check(links.set(now, &name(0), address(0), 1)));
    assert!(model.record_and_check(links.tick(now)));
    assert!(model.record_and_check(links.connection_established(now, 1, &name(0), 1)));
    for _ in 0..300 {
        now += TIME_STEP;
        links.set_monitored(now, |_| false);
        assert_eq!(links.tick(now), [], "sends nothing while idle");
    }
    links.message_sent(now, 1);
    let sent_at = now;
    while model.up.contains_key(&name(0)) {
        now += TIME_STEP;
        links.set_monitored(now, |_| true);
        assert!(model.record_and_check(links.tick(now)));
        assert!(now <= sent_at + times.silence_ms);
    }
}

/// Guards against dead connections that are never detected, and against a ping for each lost
/// probe.
#[test]
fn pings_an_idle_connection_rarely_and_after_unanswered_probes_until_a_message_arrives() {
    let mut now = Instant::now();
    let times = LinkTimings::default();
    let mut links = Links::new(times);
    links.set(now, &name(0), address(0), 1);
    links.tick(now);
    links.connection_established(now, 1, &name(0), 1);
    now += times.idle_ms;
    let ping = |nonce| LinkAction::Send {
        link: 1,
        message: wire::ToAgent::Ping { nonce },
    };
    assert_eq!(links.tick(now), [ping(1)]);
    links.message_received(now, 1);
    links.set_monitored(now, |_| false);
    now += times.heartbeat_ms;
    assert_eq!(links.tick(now), []);

    links.set_monitored(now, |_| true);
    now += times.heartbeat_ms;
    links.set_monitored(now, |_| false);
    assert_eq!(links.tick(now), [ping(2)], "no message since");
    links.message_received(now, 1);
    links.set_monitored(now, |_| false);
    now += times.heartbeat_ms;
    assert_eq!(links.tick(now), []);
}

/// Guards against requests that wait for an agent incarnation that has ended.
#[test]
fn reports_the_end_of_an_agent_incarnation() {
    let now = Instant::now();
    let mut links = Links::new(LinkTimings::default());
    let mut model = ConnectionModel::default();
    assert!(model.record_and_check(links.set(now, &name(0), address(0), 1)));
    assert!(model.record_and_check(links.tick(now)));
    assert!(model.record_and_check(links.connection_established(now, 1, &name(0), 2)));
    assert_eq!(model.ended, [(name(0), 1)]);
    assert!(model.record_and_check(links.set(now, &name(0), address(0), 3)));
    assert_eq!(model.ended, [(name(0), 1), (name(0), 2)]);
}
