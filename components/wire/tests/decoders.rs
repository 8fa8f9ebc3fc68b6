//! Decoding of random and mutated payloads with a valid MAC, as a faulty peer that has the key
//! could send them.
//!
//! Input without a valid MAC is rejected before it reaches the message decoder.
//! `QUICKCHECK_TESTS` sets the number of inputs for each property.

use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde::ser::SerializeTuple;
use types::AttemptId;
use types::Header;
use types::Headers;
use wire::Datagram;
use wire::FrameReader;
use wire::FrameWriter;
use wire::Hello;
use wire::Key;
use wire::Keyring;
use wire::ToAgent;
use wire::ToEntry;
use wire::ToPeer;
use wire::WireError;

const NONCE: [u8; 32] = [7; 32];
const SECRET: [u8; 32] = [1; 32];
const DEFAULT_CASES: u64 = 5_000;
/// Length field that announces 2^60 elements, as a postcard varint.
const HUGE_LENGTH: [u8; 9] = [0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10];

/// Bytes that are serialized unchanged, without a length prefix.
struct RawPayload(Vec<u8>);

impl Serialize for RawPayload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in &self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

fn keyring() -> Keyring {
    let key = Key {
        id: 1,
        secret: SECRET,
    };
    Keyring::new(vec![key]).expect("one key")
}

fn encode_frame(payload: Vec<u8>) -> Vec<u8> {
    let mut out = Vec::new();
    let mut writer = FrameWriter::new(keyring(), NONCE, 1);
    writer
        .write(&RawPayload(payload), &mut out)
        .expect("fits a frame");
    out
}

fn decode_frame<M: DeserializeOwned>(payload: Vec<u8>) -> Result<Option<M>, WireError> {
    let mut reader = FrameReader::new(keyring(), NONCE, 1);
    reader.push(&encode_frame(payload));
    reader.next_message()
}

/// Signs a payload as `Datagram::encode` does.
fn encode_datagram(payload: &[u8]) -> Vec<u8> {
    let mut out = wire::PROTOCOL_VERSION.to_le_bytes().to_vec();
    out.push(1);
    let tag = keyring().sign(&[&out, payload]);
    out.extend(tag);
    out.extend(payload);
    out
}

/// Whether every decoder accepts the payload or returns a decoding error.
fn decodes_or_fails_cleanly(payload: &[u8]) -> bool {
    let is_expected =
        |outcome: Result<bool, WireError>| matches!(outcome, Ok(true) | Err(WireError::Malformed));
    let datagram = Datagram::decode(&encode_datagram(payload), &keyring());
    is_expected(decode_frame::<ToAgent>(payload.to_vec()).map(|message| message.is_some()))
        && is_expected(decode_frame::<ToEntry>(payload.to_vec()).map(|message| message.is_some()))
        && is_expected(decode_frame::<ToPeer>(payload.to_vec()).map(|message| message.is_some()))
        && matches!(
            datagram,
            Ok(_) | Err(WireError::Malformed | WireError::TooLong { .. })
        )
}

fn check_property(property: fn(Vec<u8>, Vec<(usize, u8)>) -> bool) {
    seeded::check()
        .tests(seeded::cases(DEFAULT_CASES))
        .quickcheck(property);
}

fn valid_payloads() -> Vec<Vec<u8>> {
    let attempt = AttemptId {
        request: 1 << 70,
        number: 1,
    };
    let bytes = b"data: text".to_vec();
    let header = Header {
        name: "set-cookie".to_owned(),
        value: "a=1".to_owned(),
    };
    let headers = Headers::try_from(vec![header; 2]).expect("few fields");
    let hello = Hello {
        process: 7,
        to: "target".to_owned(),
    };
    let encode = |message: &dyn Fn() -> postcard::Result<Vec<u8>>| message().expect("encodes");
    vec![
        encode(&|| postcard::to_stdvec(&ToAgent::Hello(hello.clone()))),
        encode(&|| {
            postcard::to_stdvec(&ToAgent::Body {
                attempt,
                bytes: bytes.clone(),
            })
        }),
        encode(&|| {
            postcard::to_stdvec(&ToEntry::Chunk {
                attempt,
                offset: 300,
                bytes: bytes.clone(),
            })
        }),
        encode(&|| {
            postcard::to_stdvec(&ToPeer::Changes {
                head: 9,
                records: vec!["{}".to_owned(); 3],
            })
        }),
        encode(&|| {
            postcard::to_stdvec(&Datagram::Head {
                entry: 1,
                head: 1 << 40,
            })
        }),
        encode(&|| {
            postcard::to_stdvec(&ToEntry::Head {
                attempt,
                status: 200,
                content_type: "text/plain".to_owned(),
                headers: headers.clone(),
            })
        }),
    ]
}

/// Guards against decoders that panic on a payload with a valid MAC.
#[test]
fn random_signed_payloads_decode_or_give_typed_errors() {
    check_property(|mut payload, changes| {
        // The first byte selects the variant; most of its 256 values select none.
        if let (Some(first), Some((_, variant))) = (payload.first_mut(), changes.first()) {
            *first = variant % 16;
        }
        decodes_or_fails_cleanly(&payload)
    });
}

/// Guards against decoders that panic on a corrupted field of a valid message, lengths included.
#[test]
fn mutated_signed_messages_decode_or_give_typed_errors() {
    check_property(|tail, changes| {
        valid_payloads().into_iter().all(|mut payload| {
            for (at, byte) in &changes {
                let at = at % payload.len();
                payload[at] = *byte;
            }
            payload.extend(&tail);
            decodes_or_fails_cleanly(&payload)
        })
    });
}

/// Guards against the other tests passing only because every payload is rejected for its MAC.
#[test]
fn valid_payloads_are_accepted() {
    let payloads = valid_payloads();
    assert!(matches!(
        decode_frame::<ToAgent>(payloads[0].clone()),
        Ok(Some(_))
    ));
    assert!(matches!(
        decode_frame::<ToAgent>(payloads[1].clone()),
        Ok(Some(_))
    ));
    assert!(matches!(
        decode_frame::<ToEntry>(payloads[2].clone()),
        Ok(Some(_))
    ));
    assert!(matches!(
        decode_frame::<ToPeer>(payloads[3].clone()),
        Ok(Some(_))
    ));
    assert!(Datagram::decode(&encode_datagram(&payloads[4]), &keyring()).is_ok());
    assert!(matches!(
        decode_frame::<ToEntry>(payloads[5].clone()),
        Ok(Some(_))
    ));
}

/// Guards against input without a valid MAC that causes a panic or unbounded buffering.
#[test]
fn unsigned_bytes_do_not_panic_and_are_buffered_within_bounds() {
    check_property(|bytes, changes| {
        let mut corrupted = encode_frame(bytes.clone());
        for (at, byte) in changes {
            let at = at % corrupted.len();
            corrupted[at] = byte;
        }
        [bytes, corrupted].iter().all(|bytes| {
            let mut reader = FrameReader::new(keyring(), NONCE, 1);
            reader.push(bytes);
            while matches!(reader.next_message::<ToAgent>(), Ok(Some(_))) {}
            let _ = Datagram::decode(bytes, &keyring());
            reader.buffered_bytes() <= bytes.len()
        })
    });
}

/// Guards against memory being allocated for the announced length of a sequence. An allocation for
/// 2^60 elements aborts the process.
#[test]
fn huge_announced_lengths_allocate_no_memory() {
    for variant in 0..16 {
        for fields in 0..8 {
            let mut payload = vec![variant];
            payload.extend(std::iter::repeat_n(1, fields));
            payload.extend(HUGE_LENGTH);
            assert!(
                decodes_or_fails_cleanly(&payload),
                "message variant {variant}, length after {fields} bytes"
            );
        }
    }
}
