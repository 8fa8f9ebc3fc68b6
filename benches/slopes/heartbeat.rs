//! Processor time, memory and traffic of an idle entry by its number of targets.

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
use entry::core::links::LinkTimings;
use serde::Serialize;
use serde_json::json;
use store::Put;
use store::Rows;
use store::TableRequest;
use store::Transaction;
use types::Profile;
use types::Service;
use types::ServiceKind;
use types::Target;
use types::TargetState;
use wire::Datagram;
use wire::FrameWriter;
use wire::ToAgent;
use wire::ToEntry;

use crate::leases::RENEWAL_INTERVAL_MS;
use crate::leases::write_foreign_lease;
use crate::messages::keyring;
use crate::messages::load_report;

/// Virtual time of one simulation.
const SIMULATED_MS: Duration = Duration::from_mins(1);
/// A number that takes all bytes in the encoding, as the random incarnations of processes do.
const ENTRY_INCARNATION: u64 = 0x1234_5678_9abc_def1;
/// IPv4 and TCP headers of a segment. The acknowledgement in the other direction has this size too.
const TCP_HEADER_BYTES: usize = 40;

/// Cost of an idle entry in the simulated time.
struct Cost {
    cpu_s: f64,
    memory_kb: f64,
    sent_bytes: usize,
    received_bytes: usize,
    table_calls: u64,
    connections: usize,
    pings: usize,
}

pub fn print() {
    print_by_targets();
    print_with_share();
    print_by_probe_interval();
}

/// Prints the cost of one of 380 entries with one service, by the number of targets.
fn print_with_share() {
    for targets in [64, 324, 2048, 12_000] {
        let cost = simulate_idle_entry(targets, 380, probe_ms());
        let seconds = SIMULATED_MS.as_secs_f64();
        println!(
            "{}",
            json!({"slope": "share", "entries": 380, "targets": targets,
                "connections": cost.connections,
                "core_share": cost.cpu_s / seconds,
                "sent_bytes_per_s": as_f64(cost.sent_bytes) / seconds,
                "received_bytes_per_s": as_f64(cost.received_bytes) / seconds,
                "memory_kb": cost.memory_kb})
        );
    }
}

/// Prints the traffic of one of 380 idle entries with a share of 64 targets, by the probe interval.
fn print_by_probe_interval() {
    for probe_ms in [probe_ms(), Duration::from_secs(1)] {
        let cost = simulate_idle_entry(324, 380, probe_ms);
        let seconds = SIMULATED_MS.as_secs_f64();
        let sent = as_f64(cost.sent_bytes) / seconds;
        let received = as_f64(cost.received_bytes) / seconds;
        println!(
            "{}",
            json!({"slope": "idle entry with share", "connections": cost.connections,
                "probe_ms": probe_ms.as_secs_f64() * 1e3,
                "probe_and_answer_bytes": crate::messages::probe_bytes(),
                "pings_per_s": as_f64(cost.pings) / seconds,
                "sent_bytes_per_s": sent, "received_bytes_per_s": received,
                "bytes_per_s": sent + received})
        );
    }
}

/// Default of the setting `intervals.probe_ms`.
fn probe_ms() -> Duration {
    settings::Intervals::default().probe_ms
}

fn frame_bytes(message: &impl Serialize) -> usize {
    let mut out = Vec::new();
    FrameWriter::new(keyring(), [1; 32], 1)
        .write(message, &mut out)
        .expect("fits a frame");
    out.len()
}

fn print_by_targets() {
    let mut before: Option<(u32, Cost)> = None;
    for targets in [0, 128, 512, 2048] {
        let cost = simulate_idle_entry(targets, 1, probe_ms());
        let seconds = SIMULATED_MS.as_secs_f64();
        println!(
            "{}",
            json!({"slope": "idle entry", "targets": targets,
                "core_share": cost.cpu_s / seconds,
                "sent_bytes_per_s": as_f64(cost.sent_bytes) / seconds,
                "received_bytes_per_s": as_f64(cost.received_bytes) / seconds,
                "table_calls_per_s": as_f64(usize::try_from(cost.table_calls).unwrap_or(0)) / seconds,
                "memory_kb": cost.memory_kb})
        );
        if let Some((fewer, smaller)) = &before
            && *fewer > 0
        {
            let added_targets = f64::from(targets - fewer);
            println!(
                "{}",
                json!({"slope": "per target", "from": fewer, "to": targets,
                    "cpu_us_per_s": (cost.cpu_s - smaller.cpu_s) * 1e6 / seconds / added_targets,
                    "memory_kb": (cost.memory_kb - smaller.memory_kb) / added_targets})
            );
        }
        before = Some((targets, cost));
    }
}

fn simulate_idle_entry(targets: u32, entries: u16, probe_ms: Duration) -> Cost {
    let memory_before_kb = resident_kb();
    let mut rows = table(targets);
    let mut now = Instant::now();
    let mut core = EntryCore::new(
        options_with_peers(entries, probe_ms),
        ENTRY_INCARNATION,
        now,
    );
    let wire_keys = keyring();
    let (mut sent, mut received, mut calls) = (0, 0, 0);
    let (mut connections, mut pings) = (0, 0);
    let mut busy_time = Duration::ZERO;
    let start = now;
    let end = now + SIMULATED_MS;
    let mut renewals = 0;
    while now < end {
        if entries > 1 && now >= start + RENEWAL_INTERVAL_MS * renewals {
            renewals += 1;
            write_foreign_lease(&mut rows, "mesa", renewals.into());
        }
        let mut events = VecDeque::from([Event::Tick]);
        while let Some(event) = events.pop_front() {
            let start = Instant::now();
            let actions = core.handle(now, event);
            busy_time += start.elapsed();
            for action in actions {
                match action {
                    Action::Table { operation, request } => {
                        calls += 1;
                        let result = Ok(rows.apply(&request));
                        events.push_back(Event::TableDone { operation, result });
                    }
                    Action::OpenLink { link, target, .. } => {
                        connections += 1;
                        let message = ToEntry::Welcome {
                            target,
                            incarnation: load_report().incarnation,
                            load: load_report(),
                        };
                        events.push_back(Event::LinkMessage { link, message });
                    }
                    Action::SendDatagram { to, datagram } => {
                        // Encodes, signs, checks and decodes both directions, as the daemon does.
                        let start = Instant::now();
                        sent += datagram
                            .encode(&wire_keys)
                            .map_or(0, |bytes| bytes.len() + 28);
                        let answer = answer_probe(to, &datagram);
                        let bytes = answer.and_then(|answer| answer.encode(&wire_keys).ok());
                        if let Some(bytes) = bytes {
                            received += bytes.len() + 28;
                            let answer = Datagram::decode(&bytes, &wire_keys).expect("genuine");
                            events.push_back(Event::Datagram(answer));
                        }
                        busy_time += start.elapsed();
                    }
                    Action::Send { link, message } => {
                        let start = Instant::now();
                        sent += frame_bytes(&message) + TCP_HEADER_BYTES;
                        received += TCP_HEADER_BYTES;
                        if let ToAgent::Ping { nonce } = message {
                            let message = ToEntry::Pong {
                                nonce,
                                load: load_report(),
                            };
                            received += frame_bytes(&message) + TCP_HEADER_BYTES;
                            sent += TCP_HEADER_BYTES;
                            pings += 1;
                            events.push_back(Event::LinkMessage { link, message });
                        }
                        busy_time += start.elapsed();
                    }
                    _ => {}
                }
            }
        }
        now = core.next_wake().max(now + Duration::from_millis(1));
    }
    Cost {
        cpu_s: busy_time.as_secs_f64(),
        memory_kb: resident_kb() - memory_before_kb,
        sent_bytes: sent,
        received_bytes: received,
        table_calls: calls,
        connections,
        pings,
    }
}

fn answer_probe(to: SocketAddr, datagram: &Datagram) -> Option<Datagram> {
    let Datagram::Probe { sequence, .. } = datagram else {
        return None;
    };
    Some(Datagram::Alive {
        target: target_name(u32::from(to.port())),
        sequence: *sequence,
        load: load_report(),
    })
}

fn options_with_peers(entries: u16, probe_ms: Duration) -> CoreOptions {
    let address = |at: u16| SocketAddr::from(([10, 0, 0, 1], 1000 + at));
    CoreOptions {
        address: address(0),
        probe_ms,
        peers: (1..entries).map(address).collect(),
        ..options()
    }
}

pub fn options() -> CoreOptions {
    CoreOptions {
        name: "entry-1".to_owned(),
        routing: routing::Settings::new("lago-puelo"),
        follower: FollowerOptions::default(),
        links: LinkTimings::default(),
        share_targets: 64,
        probe_ms: probe_ms(),
        hosts_poll_ms: Duration::from_secs(2),
        lease_ms: Duration::from_secs(6),
        address: ([127, 0, 0, 1], 900).into(),
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
            keys::target(&target_name(index)),
            &versioned(target(index)),
        );
    }
    put(&mut rows, keys::HEAD.to_owned(), &Head { revision: 1 });
    rows
}

pub fn versioned<T>(value: T) -> Versioned<T> {
    Versioned { revision: 1, value }
}

pub fn put(rows: &mut Rows, key: String, value: &impl Serialize) {
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

fn target_name(index: u32) -> String {
    format!("bitacora-{index:04}")
}

fn target(index: u32) -> Target {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    Target {
        name: target_name(index),
        service: "mesa".to_owned(),
        kind: ServiceKind::Model,
        data_centre: "lago-puelo".to_owned(),
        host: format!("host-{index:04}"),
        agent: ([127, 0, 0, 1], port).into(),
        incarnation: load_report().incarnation,
        honours_fencing: true,
        state: TargetState::Active,
        role: load_report().role,
        loaded: load_report().loaded,
        applied: load_report().applied,
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
