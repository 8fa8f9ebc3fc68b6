//! Ids, idempotency and answers of the attempts used by the tests.

use types::AttemptId;

use crate::world::ATTEMPT_COUNT;

pub fn is_idempotent(attempt: usize) -> bool {
    attempt % 4 == 3
}

pub fn id(attempt: usize) -> AttemptId {
    // Two entries, with two attempts per request.
    let entry = 1 + (attempt as u64 / 4);
    AttemptId {
        request: types::ids::request_id(entry, 10 + (attempt as u64 / 2)),
        number: u32::try_from(attempt % 2).expect("0 or 1") + 1,
    }
}

pub fn index(id: AttemptId) -> usize {
    (0..ATTEMPT_COUNT)
        .find(|attempt| self::id(*attempt) == id)
        .expect("id of a test attempt")
}

pub fn answer(attempt: usize) -> Vec<u8> {
    let length = 30 + 17 * attempt;
    (0..length)
        .map(|at| u8::try_from((at * 7 + attempt * 31) % 251).expect("below 251"))
        .collect()
}
