//! Faults, one after the other, some of them while an earlier one lasts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use smol::Timer;
use smol::net::TcpStream;
use standin::feed_store::StoreMode;
use standin::forwarder::Direction;
use standin::forwarder::Mode;
use standin::forwarder::Silence;
use standin::staged_engine::EngineMode;
use standin::staged_engine::Stage;
use testbed::GatewayTestbed;

use crate::verdict::Verdict;

/// Bounds of the time from one fault to the next.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Bounds of the time that a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 200..3_500;
/// The same for an engine that leaves: longer than the bound for new work to it.
const LEAVING_LASTS_MS: std::ops::Range<u64> = 8_000..11_000;
/// Time without a new fault after some of the leavings. Earlier faults end in it, and the bound for
/// work to a leaving engine holds for an undisturbed process only.
const CALM_MS: Duration = Duration::from_millis(8_500);
/// Part of the leavings that such a time follows.
const CALM_PART: f64 = 0.5;

enum Repair {
    Resume(usize),
    Restart(usize),
    StoreLink(usize),
    Store,
    Engines,
    Register(String),
}

/// A fault that lasts, and what ends it.
struct Lasting {
    from: Instant,
    until: Instant,
    repair: Repair,
}

impl Lasting {
    /// Engine that is leaving until then.
    fn leaving(&self) -> Option<&String> {
        match &self.repair {
            Repair::Register(engine) => Some(engine),
            _ => None,
        }
    }
}

/// Injects faults until a moment, and repairs all of them.
pub async fn inject(
    bed: &mut GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    mut random: StdRng,
    until: Instant,
) -> eyre::Result<()> {
    let mut repairs: Vec<Lasting> = Vec::new();
    let mut version = 1;
    let mut calm_until = Instant::now();
    while Instant::now() < until {
        Timer::after(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let now = Instant::now();
        let (due, rest) = repairs.into_iter().partition(|l| l.until <= now);
        repairs = rest;
        repair(bed, verdict, due).await?;
        if now < calm_until {
            continue;
        }
        let mut lasts = Duration::from_millis(random.random_range(LASTS_MS));
        let gateway = random.random_range(0..bed.gateways.len());
        let is_faulty = repairs.iter().any(|Lasting { repair, .. }| {
            matches!(repair, Repair::Resume(at) | Repair::Restart(at) if *at == gateway)
        });
        let engine = random.random_range(0..bed.engines.len());
        let engine = bed.engines[engine].0.name.clone();
        // The end of one leaving would write the entry anew in the middle of the next.
        let leaving: Vec<_> = repairs.iter().filter_map(Lasting::leaving).collect();
        let (name, undo) = match random.random_range(0..12) {
            0 | 1 if !is_faulty => {
                bed.gateways[gateway].process.kill();
                ("gateway killed", Some(Repair::Restart(gateway)))
            }
            2 if !is_faulty => {
                bed.gateways[gateway].process.pause();
                ("gateway paused", Some(Repair::Resume(gateway)))
            }
            3 if !is_faulty => {
                stop(bed, verdict, gateway).await?;
                ("gateway stopped", None)
            }
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
                bed.set_store_link(gateway, mode).await?;
                ("store link silent", Some(Repair::StoreLink(gateway)))
            }
            5 => {
                let mode = Mode {
                    silence: Silence::Existing,
                    ..Mode::default()
                };
                bed.set_store_link(gateway, mode).await?;
                verdict.borrow_mut().disturbs(now, now);
                ("open connections to the store silent for good", None)
            }
            6 => {
                bed.store.set_mode(StoreMode::Unresponsive);
                ("store silent", Some(Repair::Store))
            }
            7 => {
                bed.store.set_mode(StoreMode::Unavailable);
                ("store busy", Some(Repair::Store))
            }
            8 => {
                bed.store.discard_history();
                version += random.random_range(1..5);
                bed.configure(version, &[]);
                ("configuration changed without history", None)
            }
            9 if !leaving.contains(&&engine) => {
                bed.register(&engine, "draining");
                lasts = Duration::from_millis(random.random_range(LEAVING_LASTS_MS));
                verdict.borrow_mut().leaves(&engine, now);
                if random.random_bool(CALM_PART) {
                    calm_until = now + CALM_MS;
                }
                ("engine leaving", Some(Repair::Register(engine)))
            }
            _ => {
                misbehave(bed, &mut random);
                ("engines misbehave", Some(Repair::Engines))
            }
        };
        verdict.borrow_mut().count_fault(name);
        repairs.extend(undo.map(|repair| Lasting {
            from: now,
            until: now + lasts,
            repair,
        }));
    }
    repair(bed, verdict, repairs).await
}

fn misbehave(bed: &GatewayTestbed, random: &mut StdRng) {
    let modes = [
        EngineMode::Overloaded,
        EngineMode::LosesResponses,
        EngineMode::Unresponsive,
        EngineMode::TruncatesStreams,
        EngineMode::DuplicatesResponses,
        EngineMode::Fails,
    ];
    let mode = modes[random.random_range(0..modes.len())];
    let stages = [Stage::Plain, Stage::Prefill, Stage::Decode];
    let stage = stages[random.random_range(0..stages.len())];
    bed.set_mode(Some(stage), mode);
}

/// A planned stop, during which callers go on, and a new start.
async fn stop(
    bed: &mut GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    gateway: usize,
) -> eyre::Result<()> {
    let from = Instant::now();
    let is_serving = TcpStream::connect(bed.gateways[gateway].ready)
        .await
        .is_ok();
    let process = &mut bed.gateways[gateway].process;
    // A process that does not handle signals yet has no request either; the signal ends it.
    if !process.stop().await && is_serving {
        let violation = format!("{} did not stop by itself", process.name());
        verdict.borrow_mut().violations.push(violation);
    }
    verdict.borrow_mut().disturbs(from, Instant::now());
    process.restart()
}

async fn repair(
    bed: &mut GatewayTestbed,
    verdict: &Rc<RefCell<Verdict>>,
    due: Vec<Lasting>,
) -> eyre::Result<()> {
    for Lasting { from, repair, .. } in due {
        if !matches!(repair, Repair::Engines | Repair::Register(_)) {
            verdict.borrow_mut().disturbs(from, Instant::now());
        }
        match repair {
            Repair::Resume(at) => bed.gateways[at].process.resume(),
            Repair::Restart(at) => bed.gateways[at].process.restart()?,
            Repair::StoreLink(at) => bed.set_store_link(at, Mode::default()).await?,
            Repair::Store => bed.store.set_mode(StoreMode::Healthy),
            Repair::Engines => bed.set_mode(None, EngineMode::Healthy),
            Repair::Register(engine) => {
                bed.register(&engine, "ready");
                verdict.borrow_mut().returns(&engine, Instant::now());
            }
        }
    }
    Ok(())
}
