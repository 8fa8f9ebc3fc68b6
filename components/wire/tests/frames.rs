//! Encoding of frames and datagrams: valid input decodes to the same messages, any other input
//! gives a typed error.

use quickcheck::TestResult;
use types::AttemptId;
use wire::Datagram;
use wire::FrameReader;
use wire::FrameWriter;
use wire::Key;
use wire::Keyring;
use wire::MAX_FRAME_BYTES;
use wire::ToAgent;
use wire::ToEntry;
use wire::WireError;

const NONCE: [u8; 32] = [7; 32];

fn keyring(ids: &[u8]) -> Keyring {
    let key = |id: &u8| Key {
        id: *id,
        secret: [*id; 32],
    };
    Keyring::new(ids.iter().map(key).collect()).expect("at least one key")
}

fn chunk(offset: u64, bytes: Vec<u8>) -> ToEntry {
    ToEntry::Chunk {
        attempt: AttemptId {
            request: 1,
            number: 1,
        },
        offset,
        bytes,
    }
}

fn encode(messages: &[ToEntry], keys: &Keyring) -> Vec<u8> {
    let mut writer = FrameWriter::new(keys.clone(), NONCE, 1);
    let mut out = Vec::new();
    for message in messages {
        writer.write(message, &mut out).expect("fits a frame");
    }
    out
}

fn decode(bytes: &[u8], read_bytes: usize, keys: &Keyring) -> Result<Vec<ToEntry>, WireError> {
    let mut reader = FrameReader::new(keys.clone(), NONCE, 1);
    let mut messages = Vec::new();
    for part in bytes.chunks(read_bytes.max(1)) {
        reader.push(part);
        while let Some(message) = reader.next_message()? {
            messages.push(message);
        }
    }
    Ok(messages)
}

/// Guards against frames that are lost or merged when a socket read ends within a frame.
#[test]
fn decodes_frames_split_at_any_position() {
    fn property(bodies: Vec<Vec<u8>>, read_bytes: u8) -> bool {
        let keys = keyring(&[1]);
        let messages: Vec<ToEntry> = bodies
            .into_iter()
            .zip(0..)
            .map(|(body, offset)| chunk(offset, body))
            .collect();
        let bytes = encode(&messages, &keys);
        decode(&bytes, usize::from(read_bytes), &keys) == Ok(messages)
    }
    seeded::check().quickcheck(property as fn(Vec<Vec<u8>>, u8) -> bool);
}

/// Guards against forged or corrupted frames being accepted.
#[test]
fn rejects_frames_with_a_changed_byte() {
    fn property(body: Vec<u8>, position: usize, mask: u8) -> TestResult {
        if mask == 0 {
            return TestResult::discard();
        }
        let keys = keyring(&[1]);
        let mut bytes = encode(&[chunk(0, body)], &keys);
        let position = position % bytes.len();
        bytes[position] ^= mask;
        let accepted = decode(&bytes, bytes.len(), &keys).is_ok_and(|all| !all.is_empty());
        TestResult::from_bool(!accepted)
    }
    seeded::check()
        .tests(seeded::cases(2_000))
        .quickcheck(property as fn(Vec<u8>, usize, u8) -> TestResult);
}

/// Guards against decoders that panic, or that allocate memory for an announced length before the
/// bytes arrive.
#[test]
fn rejects_random_bytes_with_bounded_memory() {
    fn property(bytes: Vec<u8>) -> bool {
        let keys = keyring(&[1]);
        let mut reader = FrameReader::new(keys.clone(), NONCE, 0);
        reader.push(&bytes);
        let outcome = reader.next_message::<ToAgent>();
        let is_accepted = matches!(outcome, Ok(Some(_)));
        !is_accepted
            && reader.buffered_bytes() <= bytes.len()
            && Datagram::decode(&bytes, &keys).is_err()
    }
    seeded::check()
        .tests(seeded::cases(20_000))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a peer that makes the reader buffer a frame of unlimited length.
#[test]
fn rejects_a_length_above_the_limit_before_its_bytes_arrive() {
    let mut reader = FrameReader::new(keyring(&[1]), NONCE, 0);
    reader.push(&u32::MAX.to_le_bytes());
    assert_eq!(
        reader.next_message::<ToAgent>(),
        Err(WireError::TooLong {
            bytes: u32::MAX as usize,
            limit_bytes: MAX_FRAME_BYTES
        })
    );
}

/// Guards against replayed frames, both on the same and on another connection.
#[test]
fn rejects_a_replayed_frame() {
    let keys = keyring(&[1]);
    let bytes = encode(&[chunk(0, vec![1])], &keys);
    let twice = [bytes.clone(), bytes.clone()].concat();
    assert_eq!(
        decode(&twice, twice.len(), &keys),
        Err(WireError::OutOfSequence)
    );

    let mut other = FrameReader::new(keys, [8; 32], 1);
    other.push(&bytes);
    assert_eq!(other.next_message::<ToEntry>(), Err(WireError::BadMac));
}

/// Guards against frames that are rejected during a key rotation, and against removed keys that are
/// still accepted.
#[test]
fn accepts_both_keys_during_a_rotation_and_rejects_removed_keys() {
    let old_first = keyring(&[1, 2]);
    let new_first = keyring(&[2, 1]);
    let bytes = encode(&[chunk(0, vec![1])], &old_first);
    assert!(decode(&bytes, bytes.len(), &new_first).is_ok());
    assert_eq!(
        decode(&bytes, bytes.len(), &keyring(&[2])),
        Err(WireError::UnknownKey(1))
    );
}

/// Guards against partial writes of a message that exceeds the frame limit.
#[test]
fn writes_nothing_for_a_message_above_the_limit() {
    let mut writer = FrameWriter::new(keyring(&[1]), NONCE, 1);
    let mut out = vec![9];
    let result = writer.write(&chunk(0, vec![0; MAX_FRAME_BYTES]), &mut out);
    assert!(matches!(result, Err(WireError::TooLong { .. })));
    assert_eq!(out, [9]);
}
