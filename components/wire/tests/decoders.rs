//! Random and mutated payloads with a valid MAC, as a peer with the key could send them.
//!
//! Without a valid MAC an input ends at the check and does not reach the decoder of messages.
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
/// Elements of a sequence that a length field announces: 2^60 as a postcard varint.
const HUGE_LENGTH: [u8; 9] = [0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10];

/// Bytes that are encoded as they are, without a length.
struct Raw(Vec<u8>);

impl Serialize for Raw {
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

fn frame(payload: Vec<u8>) -> Vec<u8> {
    let mut out = Vec::new();
    let mut writer = FrameWriter::new(keyring(), NONCE, 1);
    writer.write(&Raw(payload), &mut out).expect("fits a frame");
    out
}

fn read<M: DeserializeOwned>(payload: Vec<u8>) -> Result<Option<M>, WireError> {
    let mut reader = FrameReader::new(keyring(), NONCE, 1);
    reader.push(&frame(payload));
    reader.next_message()
}

/// Signs a payload as `Datagram::encode` does.
fn datagram(payload: &[u8]) -> Vec<u8> {
    let mut out = wire::PROTOCOL_VERSION.to_le_bytes().to_vec();
    out.push(1);
    let tag = keyring().sign(&[&out, payload]);
    out.extend(tag);
    out.extend(payload);
    out
}

fn survives(payload: &[u8]) -> bool {
    let ends =
        |outcome: Result<bool, WireError>| matches!(outcome, Ok(true) | Err(WireError::Malformed));
    let datagram = Datagram::decode(&datagram(payload), &keyring());
    ends(read::<ToAgent>(payload.to_vec()).map(|message| message.is_some()))
        && ends(read::<ToEntry>(payload.to_vec()).map(|message| message.is_some()))
        && ends(read::<ToPeer>(payload.to_vec()).map(|message| message.is_some()))
        && matches!(
            datagram,
            Ok(_) | Err(WireError::Malformed | WireError::TooLong { .. })
        )
}

fn check(property: fn(Vec<u8>, Vec<(usize, u8)>) -> bool) {
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

/// Guards against a signed payload that panics in a decoder.
#[test]
fn random_signed_payloads_give_typed_errors() {
    check(|mut payload, changes| {
        // The first byte selects the message; most of 256 values select none.
        if let (Some(first), Some((_, kind))) = (payload.first_mut(), changes.first()) {
            *first = kind % 16;
        }
        survives(&payload)
    });
}

/// Guards against damage in any field of a real message, lengths included.
#[test]
fn mutated_signed_messages_give_typed_errors() {
    check(|tail, changes| {
        valid_payloads().into_iter().all(|mut payload| {
            for (at, byte) in &changes {
                let at = at % payload.len();
                payload[at] = *byte;
            }
            payload.extend(&tail);
            survives(&payload)
        })
    });
}

/// Guards against properties that hold because no payload gets past the check of the MAC.
#[test]
fn unchanged_payloads_are_accepted() {
    let all = valid_payloads();
    assert!(matches!(read::<ToAgent>(all[0].clone()), Ok(Some(_))));
    assert!(matches!(read::<ToAgent>(all[1].clone()), Ok(Some(_))));
    assert!(matches!(read::<ToEntry>(all[2].clone()), Ok(Some(_))));
    assert!(matches!(read::<ToPeer>(all[3].clone()), Ok(Some(_))));
    assert!(Datagram::decode(&datagram(&all[4]), &keyring()).is_ok());
    assert!(matches!(read::<ToEntry>(all[5].clone()), Ok(Some(_))));
}

/// Guards against bytes before the check of the MAC that panic, or that are held without bound.
#[test]
fn unsigned_bytes_give_typed_errors() {
    check(|bytes, changes| {
        let mut damaged = frame(bytes.clone());
        for (at, byte) in changes {
            let at = at % damaged.len();
            damaged[at] = byte;
        }
        [bytes, damaged].iter().all(|bytes| {
            let mut reader = FrameReader::new(keyring(), NONCE, 1);
            reader.push(bytes);
            while matches!(reader.next_message::<ToAgent>(), Ok(Some(_))) {}
            let _ = Datagram::decode(bytes, &keyring());
            reader.buffered_bytes() <= bytes.len()
        })
    });
}

/// Guards against memory reserved for what a sequence only announces. An allocation for 2^60
/// elements aborts the process.
#[test]
fn huge_announced_lengths_reserve_no_memory() {
    for kind in 0..16 {
        for fields in 0..8 {
            let mut payload = vec![kind];
            payload.extend(std::iter::repeat_n(1, fields));
            payload.extend(HUGE_LENGTH);
            assert!(survives(&payload), "message {kind} after {fields} bytes");
        }
    }
}
