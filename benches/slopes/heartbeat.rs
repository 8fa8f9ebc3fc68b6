//! Processor time and memory of an idle entry by its number of targets.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use control::FollowerOptions;
use control::Head;
use control::Versioned;
use control::keys;
use entry::core::Action;
use entry::core::CoreOptions;
use entry::core::EntryCore;
use entry::core::Event;
use entry::core::links::LinkTimes;
use platform::Put;
use platform::Rows;
use platform::TableRequest;
use platform::Transaction;
use serde::Serialize;
use serde_json::json;
use types::Profile;
use types::Service;
use types::ServiceKind;
use types::Target;
use types::TargetState;
use wire::Datagram;
use wire::ToEntry;

use crate::messages::keyring;
use crate::messages::load;

const VIRTUAL: Duration = Duration::from_mins(1);
const PROBE_MS: Duration = Duration::from_secs(1);

/// What a minute of an idle entry cost.
struct Cost {
    cpu_s: f64,
    memory_kb: f64,
    sent_bytes: usize,
    received_bytes: usize,
    table_calls: u64,
}

pub fn print() {
    let mut before: Option<(u32, Cost)> = None;
    for targets in [0, 128, 512, 2048] {
        let cost = minute(targets);
        let seconds = VIRTUAL.as_secs_f64();
        println!(
            "{}",
            json!({"slope": "idle entry", "targets": targets,
                "core_share": cost.cpu_s / seconds,
                "sent_bytes_per_s": as_f64(cost.sent_bytes) / seconds,
                "received_bytes_per_s": as_f64(cost.received_bytes) / seconds,
                "table_calls_per_s": as_f64(usize::try_from(cost.table_calls).unwrap_or(0)) / seconds,
                "memory_kb": cost.memory_kb})
        );
        if let Some((fewer, less)) = &before
            && *fewer > 0
        {
            let more = f64::from(targets - fewer);
            println!(
                "{}",
                json!({"slope": "per target", "from": fewer, "to": targets,
                    "cpu_us_per_s": (cost.cpu_s - less.cpu_s) * 1e6 / seconds / more,
                    "memory_kb": (cost.memory_kb - less.memory_kb) / more})
            );
        }
        before = Some((targets, cost));
    }
}

fn minute(targets: u32) -> Cost {
    let memory = resident_kb();
    let mut rows = table(targets);
    let mut now = Instant::now();
    let mut core = EntryCore::new(options(), 1, now);
    let wire_keys = keyring();
    let (mut sent, mut received, mut calls) = (0, 0, 0);
    let mut busy = Duration::ZERO;
    let end = now + VIRTUAL;
    while now < end {
        let mut events = VecDeque::from([Event::Tick]);
        while let Some(event) = events.pop_front() {
            let start = Instant::now();
            let actions = core.handle(now, event);
            busy += start.elapsed();
            for action in actions {
                match action {
                    Action::Table { operation, request } => {
                        calls += 1;
                        let result = Ok(rows.apply(&request));
                        events.push_back(Event::TableDone { operation, result });
                    }
                    Action::OpenLink { link, target, .. } => {
                        let message = ToEntry::Welcome {
                            target,
                            incarnation: load().incarnation,
                            load: load(),
                        };
                        events.push_back(Event::LinkMessage { link, message });
                    }
                    Action::SendDatagram { to, datagram } => {
                        // Both directions are encoded, signed, checked and decoded as in the daemon.
                        let start = Instant::now();
                        sent += datagram
                            .encode(&wire_keys)
                            .map_or(0, |bytes| bytes.len() + 28);
                        let answer = answer(to, &datagram);
                        let bytes = answer.and_then(|answer| answer.encode(&wire_keys).ok());
                        if let Some(bytes) = bytes {
                            received += bytes.len() + 28;
                            let answer = Datagram::decode(&bytes, &wire_keys).expect("genuine");
                            events.push_back(Event::Datagram(answer));
                        }
                        busy += start.elapsed();
                    }
                    _ => {}
                }
            }
        }
        now = core.next_wake().max(now + Duration::from_millis(1));
    }
    Cost {
        cpu_s: busy.as_secs_f64(),
        memory_kb: resident_kb() - memory,
        sent_bytes: sent,
        received_bytes: received,
        table_calls: calls,
    }
}

fn answer(to: SocketAddr, datagram: &Datagram) -> Option<Datagram> {
    let Datagram::Probe { sequence, .. } = datagram else {
        return None;
    };
    Some(Datagram::Alive {
        target: name(u32::from(to.port())),
        sequence: *sequence,
        load: load(),
    })
}

fn options() -> CoreOptions {
    CoreOptions {
        name: "entry-1".to_owned(),
        routing: routing::Settings::new("lago-puelo"),
        follower: FollowerOptions::default(),
        links: LinkTimes {
            // Heartbeats on connections would come on top; the probes are what is measured.
            silence_ms: VIRTUAL * 2,
            heartbeat_ms: VIRTUAL * 2,
            ..LinkTimes::default()
        },
        probe_ms: PROBE_MS,
        hosts_poll_ms: Duration::from_secs(2),
        lease_ms: Duration::from_secs(6),
        peers: Vec::new(),
    }
}

fn table(targets: u32) -> Rows {
    let mut rows = Rows::default();
    let profile = Profile {
        name: "desk".to_owned(),
        ..Profile::default()
    };
    let service = Service {
        name: "mesa".to_owned(),
        kind: ServiceKind::Model,
        profile: "desk".to_owned(),
    };
    put(&mut rows, keys::profile("desk"), &versioned(profile));
    put(&mut rows, keys::service("mesa"), &versioned(service));
    for index in 0..targets {
        put(
            &mut rows,
            keys::target(&name(index)),
            &versioned(target(index)),
        );
    }
    put(&mut rows, keys::HEAD.to_owned(), &Head { revision: 1 });
    rows
}

fn versioned<T>(value: T) -> Versioned<T> {
    Versioned { revision: 1, value }
}

fn put(rows: &mut Rows, key: String, value: &impl Serialize) {
    let value = serde_json::to_string(value).expect("serialises");
    rows.apply(&TableRequest::Commit(Transaction {
        checks: Vec::new(),
        puts: vec![Put {
            key: key.clone(),
            value: Some(value),
        }],
        proof: key,
    }));
}

fn name(index: u32) -> String {
    format!("bitacora-{index:04}")
}

fn target(index: u32) -> Target {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    Target {
        name: name(index),
        service: "mesa".to_owned(),
        kind: ServiceKind::Model,
        place: "lago-puelo".to_owned(),
        host: format!("host-{index:04}"),
        agent: ([127, 0, 0, 1], port).into(),
        incarnation: load().incarnation,
        honours_fencing: true,
        state: TargetState::Active,
        role: load().role,
        loaded: load().loaded,
        applied: load().applied,
    }
}

fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kb.unwrap_or(0.0)
}

#[allow(clippy::cast_precision_loss)] // counts of one minute are far below 2^53
fn as_f64(count: usize) -> f64 {
    count as f64
}
