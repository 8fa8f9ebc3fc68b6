//! Property tests of the decoders, with random and mutated input.

use http::BodyDecoder;
use http::Framing;
use http::parse_head;
use seeded::quickcheck;

const VALID: &[u8] = b"POST /services/a/v1/completions?x=1 HTTP/1.1\r\nHost: a\r\n\
    Content-Type: application/json\r\nContent-Length: 12\r\nExpect: 100-continue\r\n\r\n";

quickcheck! {
    fn random_heads_do_not_panic(bytes: Vec<u8>) -> bool {
        parse_head(&bytes, 64).is_ok_and(|head| head.request.url().has_host())
            || parse_head(&bytes, 64).is_err()
    }

    fn mutated_heads_do_not_panic(changes: Vec<(usize, u8)>) -> bool {
        let mut bytes = VALID.to_vec();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        parse_head(&bytes, 64).map_or_else(|error| error.status >= 400, |_| true)
    }

    fn random_chunks_neither_panic_nor_exceed_the_input(bytes: Vec<u8>) -> bool {
        let mut out = Vec::new();
        let _ = BodyDecoder::new(Framing::Chunked).decode(&bytes, &mut out);
        out.len() <= bytes.len()
    }

    // Guards against panics and excess output on a valid body with corrupted framing.
    fn mutated_chunks_neither_panic_nor_exceed_the_input(changes: Vec<(usize, u8)>) -> bool {
        let mut bytes = b"5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n".to_vec();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let mut out = Vec::new();
        let _ = BodyDecoder::new(Framing::Chunked).decode(&bytes, &mut out);
        out.len() <= bytes.len()
    }

    // Guards against memory reserved for a chunk whose data is not sent.
    fn huge_chunk_sizes_reserve_no_memory(digits: u8) -> bool {
        let bytes = format!("{}\r\nx", "f".repeat(usize::from(digits % 15) + 1));
        let mut out = Vec::new();
        let _ = BodyDecoder::new(Framing::Chunked).decode(bytes.as_bytes(), &mut out);
        out.capacity() <= 64
    }

    // Guards against a decoder whose result depends on how the input is split into reads.
    fn decoding_is_independent_of_the_split_of_the_input(parts: Vec<Vec<u8>>, split: usize) -> bool {
        let mut encoded = Vec::new();
        for part in parts.iter().filter(|part| !part.is_empty()) {
            encoded.extend(format!("{:X};x=y\r\n", part.len()).bytes());
            encoded.extend(part);
            encoded.extend(b"\r\n");
        }
        encoded.extend(b"0\r\nTrailer: x\r\n\r\nnext");
        let split = split % encoded.len();
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let mut out = Vec::new();
        let mut used = decoder.decode(&encoded[..split], &mut out).unwrap();
        used += decoder.decode(&encoded[used..], &mut out).unwrap();
        decoder.is_done() && out == parts.concat() && &encoded[used..] == b"next"
    }
}
