//! Encoded size of frames, datagrams and claim rows, and processor time of their encoding and
//! decoding.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use request::claim::ClaimRow;
use request::claim::ClaimState;
use serde_json::json;
use types::AttemptId;
use types::LoadReport;
use types::LoadedModel;
use types::Role;
use wire::Datagram;
use wire::FrameReader;
use wire::FrameWriter;
use wire::Key;
use wire::Keyring;
use wire::ToEntry;

/// Time for which a call is repeated to measure it.
const MEASURE_MS: Duration = Duration::from_millis(300);
/// IPv4 and UDP headers of a datagram.
const UDP_HEADER_BYTES: usize = 28;

pub fn print() {
    let keys = keyring();
    for (name, datagram) in datagrams() {
        print_datagram(name, &datagram, &keys);
    }
    for body_bytes in [64, 1 << 10, 16 << 10, 64 << 10] {
        print_frame(body_bytes, &keys);
    }
    print_claim();
}

pub fn keyring() -> Keyring {
    Keyring::new(vec![Key {
        id: 1,
        secret: [7; 32],
    }])
    .expect("one key")
}

pub fn load_report() -> LoadReport {
    LoadReport {
        incarnation: 0x1234_5678_9abc_def0,
        sequence: 100_000,
        age_ms: 250,
        running: 40,
        queued: 10,
        prefill_backlog_tokens: 120_000,
        decode_backlog_tokens: 30_000,
        received: 1_000_000,
        cache_used_permille: 900,
        role: Role::Mixed,
        loaded: LoadedModel {
            model: "refugio-70b".to_owned(),
            version: "2028-11".to_owned(),
            adapters: vec!["bitacora".to_owned()],
        },
        applied: 40,
        next_start_ms: 0,
        leaving: false,
        away: false,
    }
}

fn datagrams() -> [(&'static str, Datagram); 3] {
    let entry = 0x1234_5678_9abc_def0;
    [
        (
            "probe",
            Datagram::Probe {
                entry,
                sequence: entry / 2,
                head: 11_000_000,
            },
        ),
        (
            "alive",
            Datagram::Alive {
                target: "bitacora-0123".to_owned(),
                sequence: entry / 2,
                load: load_report(),
            },
        ),
        (
            "head",
            Datagram::Head {
                entry,
                head: 11_000_000,
            },
        ),
    ]
}

/// Size of a probe and its answer on the network, headers included.
pub fn probe_bytes() -> usize {
    let keys = keyring();
    let bytes = |datagram: &Datagram| datagram.encode(&keys).expect("fits a datagram").len();
    let [(_, probe), (_, alive), _] = datagrams();
    bytes(&probe) + bytes(&alive) + 2 * UDP_HEADER_BYTES
}

fn print_datagram(name: &str, datagram: &Datagram, keys: &Keyring) {
    let bytes = datagram.encode(keys).expect("fits a datagram");
    let encode_us = time_us(|| {
        black_box(datagram.encode(keys)).expect("fits a datagram");
    });
    let decode_us = time_us(|| {
        black_box(Datagram::decode(&bytes, keys)).expect("genuine");
    });
    println!(
        "{}",
        json!({"slope": "datagram", "kind": name, "bytes": bytes.len() + UDP_HEADER_BYTES,
            "encode_us": encode_us, "decode_us": decode_us})
    );
}

fn print_frame(body_bytes: usize, keys: &Keyring) {
    let message = ToEntry::Chunk {
        attempt: AttemptId {
            request: 1 << 100,
            number: 1,
        },
        offset: 1 << 20,
        bytes: vec![1; body_bytes],
    };
    let mut out = Vec::new();
    let mut writer = FrameWriter::new(keys.clone(), [1; 32], 1);
    let encode_us = time_us(|| {
        out.clear();
        writer.write(&message, &mut out).expect("fits a frame");
    });
    let decode_us = {
        let mut writer = FrameWriter::new(keys.clone(), [1; 32], 1);
        let mut reader = FrameReader::new(keys.clone(), [1; 32], 1);
        let mut frame = Vec::new();
        let round_trip_us = time_us(|| {
            frame.clear();
            writer.write(&message, &mut frame).expect("fits a frame");
            reader.push(&frame);
            black_box(reader.next_message::<ToEntry>()).expect("genuine");
        });
        round_trip_us - encode_us
    };
    println!(
        "{}",
        json!({"slope": "frame", "body_bytes": body_bytes, "overhead_bytes": out.len() - body_bytes,
            "encode_us": encode_us, "decode_us": decode_us})
    );
}

fn print_claim() {
    let row = ClaimRow {
        digest: "0".repeat(64),
        owner: u64::MAX,
        request: u128::MAX,
        attempt: 1,
        target: "ordenes-0123".to_owned(),
        incarnation: u64::MAX,
        state: ClaimState::Taken,
        answer: None,
        object: None,
        token: u128::MAX,
        expires_epoch: 30_000_000,
        proves: None,
    };
    let encode_us = time_us(|| {
        black_box(row.to_json());
    });
    println!(
        "{}",
        json!({"slope": "claim row", "bytes": row.to_json().len(), "encode_us": encode_us})
    );
}

/// Average time of one call, in microseconds.
pub fn time_us(mut call: impl FnMut()) -> f64 {
    let start = Instant::now();
    let mut calls = 0_u32;
    while start.elapsed() < MEASURE_MS {
        for _ in 0..100 {
            call();
        }
        calls += 100;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}
