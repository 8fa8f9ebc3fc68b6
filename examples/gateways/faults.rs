//! Random fault injection; faults may overlap.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol::Timer;
use smol::net::TcpStream;
use standin::feed_store::StoreCopy;
use standin::feed_store::StoreMode;
use standin::forwarder::Direction;
use standin::forwarder::Mode;
use standin::forwarder::Silence;
use standin::staged_engine::EngineMode;
use standin::staged_engine::Stage;
use testbed::GatewayTestbed;

use crate::verdict::Verdict;

/// Range of the time between two faults.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Range of the duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 200..3_500;
/// Range of the time for which an engine is leaving; longer than the limit for new work to it.
const LEAVING_DURATION_MS: std::ops::Range<u64> = 8_000..11_000;
/// Time without new faults after some engines start to leave. Earlier faults end within it; the
/// limit for new work to a leaving engine applies only to processes without other faults.
const NO_FAULT_MS: Duration = Duration::from_millis(8_500);
/// Probability of such a time when an engine starts to leave.
const NO_FAULT_PROBABILITY: f64 = 0.5;

/// Probability that the store comes back from an older copy, for each fault.
const RESTORATION_PROBABILITY: f64 = 0.08;
/// Time after which an engine that has crashed is back; the users' engines take some seconds.
const ENGINE_START_MS: Duration = Duration::from_secs(2);
/// Requests a second that an engine takes, and for how long.
const LIMIT_PER_S: f64 = 2.0;
const LIMIT_DURATION_MS: Duration = Duration::from_secs(8);
/// Pause that engines ask for when they reject requests.
const PAUSE_ASKED_MS: Duration = Duration::from_millis(1_200);
/// Number of copies of the store, one for each fault, of which the oldest is used.
const COPIES: usize = 5;

/// How a fault is ended.
enum Repair {
    Resume(usize),
    Restart(usize),
    StoreLink(usize),
    Store,
    Engines,
    Register(String),
}

/// Fault that is in effect, and how it is ended.
struct ActiveFault {
    from: Instant,
    until: Instant,
    repair: Repair,
}

impl ActiveFault {
    /// Engine that is leaving, if this is the fault.
    fn leaving_engine(&self) -> Option<&String> {
        match &self.repair {
            Repair::Register(engine) => Some(engine),
            _ => None,
        }
    }
}

/// Injects faults until the given time, then ends all of them.
pub async fn inject(
    testbed: &mut GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    seed: u64,
    until: Instant,
) -> eyre::Result<()> {
    // A sequence of its own, so that seeds give the same other faults as before.
    let mut restorations = StdRng::seed_from_u64(!seed);
    let mut random = StdRng::seed_from_u64(seed);
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut version = 1;
    let mut no_fault_until = Instant::now();
    let mut copies: VecDeque<StoreCopy> = VecDeque::new();
    let mut limit = NamedLimit::default();
    while Instant::now() < until {
        Timer::after(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        limit.advance(testbed, verdict);
        let leaving: Vec<_> = active
            .iter()
            .filter_map(ActiveFault::leaving_engine)
            .collect();
        testbed.restart_crashed_engines(ENGINE_START_MS, &leaving);
        copies.push_back(testbed.store.copy());
        if copies.len() > COPIES {
            copies.pop_front();
        }
        let now = Instant::now();
        let (expired, remaining) = active.into_iter().partition(|fault| fault.until <= now);
        active = remaining;
        end_faults(testbed, verdict, expired).await?;
        if now < no_fault_until {
            continue;
        }
        if restorations.random_bool(RESTORATION_PROBABILITY) {
            version += 1;
            restore_store(testbed, &mut copies, version, &active);
            let mut verdict = verdict.borrow_mut();
            verdict.record_disturbance(now, now);
            verdict.count_fault("store came back from an older copy");
        }
        let mut duration = Duration::from_millis(random.random_range(DURATION_MS));
        let gateway = random.random_range(0..testbed.gateways.len());
        let is_faulty = active.iter().any(|ActiveFault { repair, .. }| {
            matches!(repair, Repair::Resume(at) | Repair::Restart(at) if *at == gateway)
        });
        let engine = random.random_range(0..testbed.engines.len());
        let engine = testbed.engines[engine].0.name.clone();
        // If an engine left twice at a time, the first end would re-register it during the second.
        let leaving: Vec<_> = active
            .iter()
            .filter_map(ActiveFault::leaving_engine)
            .collect();
        let (name, repair_action) = match random.random_range(0..12) {
            0 | 1 if !is_faulty => {
                testbed.gateways[gateway].process.kill();
                ("gateway killed", Some(Repair::Restart(gateway)))
            }
            2 if !is_faulty => {
                testbed.gateways[gateway].process.pause();
                ("gateway paused", Some(Repair::Resume(gateway)))
            }
            3 if !is_faulty => {
                restart_gracefully(testbed, verdict, gateway).await?;
                ("gateway stopped", None)
            }
            fault @ 4..=7 => {
                inject_store_fault(testbed, verdict, &mut random, gateway, fault).await?
            }
            8 => {
                testbed.store.discard_history();
                version += random.random_range(1..5);
                testbed.configure(version, &[]);
                ("configuration changed without history", None)
            }
            9 if !leaving.contains(&&engine) => {
                // Every second one says so in its answers, too, and its entry stays as it is.
                let is_said = verdict.borrow().leaving_count().is_multiple_of(2);
                if is_said {
                    testbed.say_leaving(&engine, true);
                } else {
                    testbed.register(&engine, "draining");
                }
                duration = Duration::from_millis(random.random_range(LEAVING_DURATION_MS));
                verdict.borrow_mut().record_leaving(&engine, now, is_said);
                if random.random_bool(NO_FAULT_PROBABILITY) {
                    no_fault_until = now + NO_FAULT_MS;
                }
                ("engine leaving", Some(Repair::Register(engine)))
            }
            _ => {
                set_random_engine_mode(testbed, &mut random);
                ("engines misbehave", Some(Repair::Engines))
            }
        };
        verdict.borrow_mut().count_fault(name);
        active.extend(repair_action.map(|repair| ActiveFault {
            from: now,
            until: now + duration,
            repair,
        }));
    }
    end_faults(testbed, verdict, active).await?;
    limit.end(testbed, verdict);
    testbed.restart_crashed_engines(Duration::ZERO, &[]);
    Ok(())
}

/// Limit that one engine after the other names, without a random number, so that seeds give the
/// same other faults as before.
#[derive(Default)]
struct NamedLimit {
    turn: usize,
    named: Option<(String, Instant)>,
}

impl NamedLimit {
    /// Ends the limit, or begins the next one, when its time has come.
    fn advance(&mut self, testbed: &GatewayTestbed, verdict: &RefCell<Verdict>) {
        match &self.named {
            Some((_, since)) if since.elapsed() < LIMIT_DURATION_MS => {}
            Some(_) => self.end(testbed, verdict),
            None => {
                let engine = testbed.engines[self.turn % testbed.engines.len()].0.clone();
                self.turn += 1;
                testbed.name_limit(&engine.name, Some(LIMIT_PER_S));
                let mut verdict = verdict.borrow_mut();
                verdict.count_fault("limit named");
                self.named = Some((engine.name.clone(), Instant::now()));
            }
        }
    }

    fn end(&mut self, testbed: &GatewayTestbed, verdict: &RefCell<Verdict>) {
        if let Some((engine, since)) = self.named.take() {
            testbed.name_limit(&engine, None);
            let mut verdict = verdict.borrow_mut();
            verdict.record_limit(&engine, LIMIT_PER_S, since, Instant::now());
        }
    }
}

/// Waits, and starts engines again that crash meanwhile.
pub async fn restart_engines_for(testbed: &GatewayTestbed, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        testbed.restart_crashed_engines(ENGINE_START_MS, &[]);
        Timer::after(Duration::from_millis(100)).await;
    }
}

/// Makes the store or the connections to it fail, by the number of the fault.
async fn inject_store_fault(
    testbed: &GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    random: &mut StdRng,
    gateway: usize,
    fault: u32,
) -> eyre::Result<(&'static str, Option<Repair>)> {
    Ok(match fault {
        4 => {
            let direction = match random.random_range(0..3) {
                0 => Direction::Both,
                1 => Direction::ToTarget,
                _ => Direction::FromTarget,
            };
            let mode = Mode {
                silence: Silence::All,
                direction,
                link: None,
            };
            testbed.set_store_link(gateway, mode).await?;
            ("store link silent", Some(Repair::StoreLink(gateway)))
        }
        5 => {
            let mode = Mode {
                silence: Silence::Existing,
                ..Mode::default()
            };
            testbed.set_store_link(gateway, mode).await?;
            let now = Instant::now();
            verdict.borrow_mut().record_disturbance(now, now);
            ("open connections to the store silent for good", None)
        }
        6 => {
            testbed.store.set_mode(StoreMode::Unresponsive);
            ("store silent", Some(Repair::Store))
        }
        _ => {
            testbed.store.set_mode(StoreMode::Unavailable);
            ("store busy", Some(Repair::Store))
        }
    })
}

/// Makes the store come back from its oldest copy. The operator and the engines write again what
/// they had written.
fn restore_store(
    testbed: &GatewayTestbed,
    copies: &mut VecDeque<StoreCopy>,
    version: u64,
    active: &[ActiveFault],
) {
    let Some(copy) = copies.pop_front() else {
        return;
    };
    copies.clear();
    testbed.store.restore(copy);
    testbed.configure(version, &[]);
    for (engine, _) in &testbed.engines {
        let mut leaving = active.iter().filter_map(ActiveFault::leaving_engine);
        let is_leaving = leaving.any(|name| *name == engine.name);
        let state = if is_leaving { "draining" } else { "ready" };
        testbed.register(&engine.name, state);
    }
}

fn set_random_engine_mode(testbed: &GatewayTestbed, random: &mut StdRng) {
    let modes = [
        EngineMode::Overloaded,
        EngineMode::LosesResponses,
        EngineMode::Unresponsive,
        EngineMode::TruncatesStreams,
        EngineMode::DuplicatesResponses,
        EngineMode::Fails,
    ];
    let mode = modes[random.random_range(0..modes.len())];
    for (engine, _) in &testbed.engines {
        testbed.ask_for_pause(&engine.name, Some(PAUSE_ASKED_MS));
    }
    let stages = [Stage::Plain, Stage::Prefill, Stage::Decode];
    let stage = stages[random.random_range(0..stages.len())];
    testbed.set_mode(Some(stage), mode);
}

/// Stops a gateway gracefully under load and restarts it.
async fn restart_gracefully(
    testbed: &mut GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    gateway: usize,
) -> eyre::Result<()> {
    let from = Instant::now();
    let is_serving = TcpStream::connect(testbed.gateways[gateway].ready)
        .await
        .is_ok();
    let process = &mut testbed.gateways[gateway].process;
    // A process that is not serving yet may not handle signals either, and the signal kills it.
    if !process.stop().await && is_serving {
        let violation = format!("{} did not stop gracefully", process.name());
        verdict.borrow_mut().violations.push(violation);
    }
    verdict
        .borrow_mut()
        .record_disturbance(from, Instant::now());
    process.restart()
}

async fn end_faults(
    testbed: &mut GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    ended: Vec<ActiveFault>,
) -> eyre::Result<()> {
    for ActiveFault { from, repair, .. } in ended {
        if !matches!(repair, Repair::Engines | Repair::Register(_)) {
            verdict
                .borrow_mut()
                .record_disturbance(from, Instant::now());
        }
        match repair {
            Repair::Resume(at) => testbed.gateways[at].process.resume(),
            Repair::Restart(at) => testbed.gateways[at].process.restart()?,
            Repair::StoreLink(at) => testbed.set_store_link(at, Mode::default()).await?,
            Repair::Store => testbed.store.set_mode(StoreMode::Healthy),
            Repair::Engines => testbed.set_mode(None, EngineMode::Healthy),
            Repair::Register(engine) => {
                testbed.replace_if_leaving(&engine);
                testbed.register(&engine, "ready");
                verdict.borrow_mut().record_return(&engine, Instant::now());
            }
        }
    }
    Ok(())
}
