//! Connections to agents under random events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use entry::core::links::LinkAction;
use entry::core::links::LinkId;
use entry::core::links::LinkTimes;
use entry::core::links::Links;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use types::Incarnation;
use types::TargetName;

const TARGETS: usize = 3;
const STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Wait(u8),
    /// The row of a target names this address and run.
    Set(usize, u16, Incarnation),
    /// The agent of a target answers on its connection as this run.
    Welcome(usize, Incarnation),
    /// A frame arrives on a connection, possibly an old one.
    Frame(LinkId),
    /// A message goes out on a connection, possibly an old one.
    Sent(LinkId),
    /// Only the connection to a target is in use.
    Watch(usize),
    /// A connection breaks, possibly an old one.
    Break(LinkId),
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
                0 => Self::Sent(link / 3),
                1 => Self::Watch(target),
                _ => Self::Frame(link),
            },
            7 if bool::arbitrary(g) => Self::Break(link),
            _ => Self::Remove(target),
        }
    }
}

/// What an observer of the actions knows.
#[derive(Default)]
struct Observer {
    open: BTreeMap<LinkId, TargetName>,
    up: BTreeMap<TargetName, Incarnation>,
    gone: Vec<(TargetName, Incarnation)>,
}

impl Observer {
    /// Takes note of actions; false if they contradict each other.
    fn observe(&mut self, actions: Vec<LinkAction>) -> bool {
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
            LinkAction::IncarnationGone {
                target,
                incarnation,
            } => {
                self.gone.push((target, incarnation));
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

/// Guards against two connections to one target, messages on closed ones, and a target that is
/// reported up or down twice.
#[test]
fn keeps_one_connection_to_each_target() {
    fn property(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut links = Links::new(LinkTimes::default());
        let mut observer = Observer::default();
        steps.into_iter().all(|step| {
            let actions = match step {
                Step::Wait(steps) => {
                    let mut actions = Vec::new();
                    for _ in 0..steps {
                        now += STEP;
                        actions.extend(links.tick(now));
                    }
                    actions
                }
                Step::Set(target, port, incarnation) => {
                    links.set(now, &name(target), address(port), incarnation)
                }
                Step::Welcome(target, incarnation) => {
                    let target = name(target);
                    let link = observer.open.iter().find(|(_, open)| **open == target);
                    match link.map(|(link, _)| *link) {
                        Some(link) if !observer.up.contains_key(&target) => {
                            links.welcomed(now, link, &target, incarnation)
                        }
                        _ => Vec::new(),
                    }
                }
                Step::Frame(link) => {
                    let heard = links.heard(now, link);
                    let expected = observer.open.get(&link);
                    let is_up = expected.is_some_and(|target| observer.up.contains_key(target));
                    if heard.is_some() != is_up {
                        return false;
                    }
                    Vec::new()
                }
                Step::Sent(link) => {
                    links.sent(now, link);
                    Vec::new()
                }
                Step::Watch(target) => {
                    links.watch(now, |of| *of == name(target));
                    Vec::new()
                }
                Step::Break(link) => links.closed(now, link),
                Step::Remove(target) => links.remove(now, &name(target)),
            };
            observer.observe(actions)
        })
    }
    seeded::check()
        .tests(seeded::cases(500))
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a silent connection that is kept for good.
#[test]
fn replaces_a_connection_that_goes_silent() {
    let mut now = Instant::now();
    let mut links = Links::new(LinkTimes::default());
    let mut observer = Observer::default();
    assert!(observer.observe(links.set(now, &name(0), address(0), 1)));
    assert!(observer.observe(links.tick(now)));
    assert!(observer.observe(links.welcomed(now, 1, &name(0), 1)));
    links.sent(now, 1);
    let silence = Duration::from_secs(3);
    let end = now + silence;
    while now < end {
        now += STEP;
        assert!(observer.observe(links.tick(now)));
    }
    assert!(observer.up.is_empty());
    assert_eq!(observer.open.keys().copied().collect::<Vec<_>>(), [2]);
    assert!(
        observer.gone.is_empty(),
        "silence does not end a run of the agent"
    );
}

/// Guards against a request that is sent on a connection that went silent while it was idle,
/// and waits longer than on one that was pinged all the time.
#[test]
fn replaces_an_idle_connection_within_the_silence_limit_of_its_first_message() {
    let mut now = Instant::now();
    let times = LinkTimes::default();
    let mut links = Links::new(times);
    let mut observer = Observer::default();
    assert!(observer.observe(links.set(now, &name(0), address(0), 1)));
    assert!(observer.observe(links.tick(now)));
    assert!(observer.observe(links.welcomed(now, 1, &name(0), 1)));
    for _ in 0..300 {
        now += STEP;
        links.watch(now, |_| false);
        assert_eq!(links.tick(now), [], "nothing is sent while it is idle");
    }
    links.sent(now, 1);
    let sent = now;
    while observer.up.contains_key(&name(0)) {
        now += STEP;
        links.watch(now, |_| true);
        assert!(observer.observe(links.tick(now)));
        assert!(now <= sent + times.silence_ms);
    }
}

/// Guards against dead connections that are kept for good, and against pings for each probe
/// that is lost.
#[test]
fn pings_an_idle_connection_rarely_and_after_unanswered_probes_until_heard() {
    let mut now = Instant::now();
    let times = LinkTimes::default();
    let mut links = Links::new(times);
    links.set(now, &name(0), address(0), 1);
    links.tick(now);
    links.welcomed(now, 1, &name(0), 1);
    now += times.idle_ms;
    let ping = |nonce| LinkAction::Send {
        link: 1,
        message: wire::ToAgent::Ping { nonce },
    };
    assert_eq!(links.tick(now), [ping(1)]);
    links.heard(now, 1);
    links.watch(now, |_| false);
    now += times.heartbeat_ms;
    assert_eq!(links.tick(now), []);

    links.watch(now, |_| true);
    now += times.heartbeat_ms;
    links.watch(now, |_| false);
    assert_eq!(links.tick(now), [ping(2)], "not heard of since");
    links.heard(now, 1);
    links.watch(now, |_| false);
    now += times.heartbeat_ms;
    assert_eq!(links.tick(now), []);
}

/// Guards against requests that wait for a run of the agent that has ended.
#[test]
fn tells_that_a_run_of_the_agent_has_ended() {
    let now = Instant::now();
    let mut links = Links::new(LinkTimes::default());
    let mut observer = Observer::default();
    assert!(observer.observe(links.set(now, &name(0), address(0), 1)));
    assert!(observer.observe(links.tick(now)));
    assert!(observer.observe(links.welcomed(now, 1, &name(0), 2)));
    assert_eq!(observer.gone, [(name(0), 1)]);
    assert!(observer.observe(links.set(now, &name(0), address(0), 3)));
    assert_eq!(observer.gone, [(name(0), 1), (name(0), 2)]);
}
