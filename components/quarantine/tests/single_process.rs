//! Decisions of one process from the crashes and answers that it sees.

mod common;

use std::time::Duration;

use common::Process;
use common::seconds;
use quarantine::Admission;

const DEADLY: u64 = 0xdead;
const SHARED: u64 = 0x5a;
/// Longest refusal of a part after two crashes, with the spread between processes.
const FIRST_QUARANTINE_MS: Duration = Duration::from_secs(12);

// A sound part that most requests share would be refused together with the deadly one.
#[test]
fn first_part_that_sound_requests_share_is_not_blamed_for_crashes() {
    let mut process = Process::start();
    process.sound(&[SHARED]);
    for engine in 0..3 {
        process.crash(engine, &[SHARED, DEADLY]);
        process.wait(FIRST_QUARANTINE_MS);
    }
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
    assert!(process.refuses(&[SHARED, DEADLY]));
}

// After a restart of all processes, nothing is known to be sound.
#[test]
fn part_after_the_common_one_is_refused_if_neither_was_ever_sound() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.crash(engine, &[SHARED, DEADLY]);
    }
    assert!(process.refuses(&[SHARED, DEADLY]));
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
}

// Issue 38, review/5: parts after the eighth of a prompt were never candidates, unless the others
// had been sound.
#[test]
fn deadly_part_is_refused_at_any_depth_of_a_prompt() {
    for depth in [0, 7, 8, 31, 63] {
        let mut process = Process::start();
        let prompt: Vec<u64> = (0..64)
            .map(|part| if part == depth { DEADLY } else { SHARED + part })
            .collect();
        let sound: Vec<u64> = prompt
            .iter()
            .copied()
            .filter(|part| *part != DEADLY)
            .collect();
        for engine in 0..2 {
            process.crash(engine, &prompt);
        }
        process.sound(&sound);
        assert!(process.refuses(&[DEADLY]), "depth {depth}");
        assert_eq!(process.admission(&sound), Admission::Free, "depth {depth}");
    }
}

// Issue 38, review/1: connections of one gateway were reset together, which looked like crashes of
// all engines, and the part that all prompts share was refused for an hour.
#[test]
fn calls_that_are_lost_at_one_moment_do_not_blame_a_part_in_use() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.sound(&[SHARED]);
        process.crash(engine, &[SHARED, DEADLY]);
    }
    for _ in 0..30 {
        process.sound(&[SHARED]);
    }
    process.wait(seconds(0.01));
    for engine in 100..112 {
        process.crash_at_once(engine, &[SHARED]);
    }
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
    assert!(process.refuses(&[DEADLY]));
}

// Issue 38: engines that crash for their own reasons, with few requests between the crashes, blamed
// a part that had been served a thousand times as soon as one that had been served once.
#[test]
fn part_that_was_served_often_is_not_refused_after_three_crashes_in_a_row() {
    let mut process = Process::start();
    for _ in 0..100 {
        process.sound(&[SHARED]);
    }
    for engine in 0..3 {
        process.crash(engine, &[SHARED]);
        process.wait(seconds(1.0));
        assert_eq!(process.admission(&[SHARED]), Admission::Free);
    }
}

// A new build of the engines may crash on a part that the build before has served.
#[test]
fn part_that_crashes_engines_after_many_answers_is_refused_after_six_crashes() {
    let mut process = Process::start();
    for _ in 0..100_000 {
        process.sound(&[DEADLY]);
    }
    let mut crashes = 0;
    while !process.refuses(&[DEADLY]) {
        process.wait(seconds(0.5));
        process.crash(crashes, &[DEADLY]);
        crashes += 1;
    }
    assert!(crashes <= 6, "{crashes} crashes");
}

// The part that all crashes have in common may be the first one.
#[test]
fn deadly_first_part_is_refused_with_any_part_after_it() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.crash(engine, &[DEADLY, engine]);
    }
    assert!(process.refuses(&[DEADLY, 77]));
}

#[test]
fn two_deadly_parts_at_once_are_both_refused() {
    let mut process = Process::start();
    let other = DEADLY + 1;
    for engine in 0..2 {
        process.crash(engine, &[SHARED, DEADLY]);
        process.crash(engine + 10, &[SHARED, other]);
    }
    process.sound(&[SHARED]);
    assert!(process.refuses(&[DEADLY]));
    assert!(process.refuses(&[other]));
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
}

// Several engines crash at once for another reason, each with requests that wait there.
#[test]
fn sound_parts_of_requests_on_crashed_engines_are_refused_for_seconds_at_most() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.crash(engine, &[SHARED]);
    }
    assert!(process.refuses(&[SHARED]));
    process.wait(FIRST_QUARANTINE_MS);
    assert!(matches!(process.admission(&[SHARED]), Admission::Trial(_)));
    process.sound(&[SHARED]);
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
}

#[test]
fn event_of_an_answer_ends_the_suspicion_and_the_quarantine() {
    let mut process = Process::start();
    process.crash(1, &[SHARED]);
    assert!(process.state.has_suspect(&[SHARED]));
    process.crash(2, &[SHARED]);
    process.sound(&[SHARED]);
    assert!(!process.state.has_suspect(&[SHARED]));
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
}

// Connections that are reset one by one looked like crashes of their engines.
#[test]
fn lost_calls_to_engines_that_go_on_answering_are_no_crashes() {
    let mut process = Process::start();
    for engine in 0..4 {
        process.crash(engine, &[DEADLY]);
        process.wait(seconds(0.2));
        process.answer(engine);
    }
    assert_eq!(process.admission(&[DEADLY]), Admission::Free);
}

// An engine that starts again under its name would clear the part that crashed it.
#[test]
fn answers_of_an_engine_that_was_restarted_do_not_refute_its_crash() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.crash(engine, &[DEADLY]);
        process.wait(seconds(3.0));
        process.answer(engine);
    }
    assert!(process.refuses(&[DEADLY]));
}

#[test]
fn suspect_part_is_on_trial_with_one_request_at_a_time() {
    let mut process = Process::start();
    process.crash(1, &[DEADLY]);
    let Admission::Trial(parts) = process.admission(&[DEADLY]) else {
        panic!("no trial");
    };
    process.state.begin_trial(process.now, &parts);
    assert!(process.refuses(&[DEADLY]));
    let own = process.state.admission(process.now, &[DEADLY], &parts);
    assert_eq!(own, Admission::Free);
    process.state.end_trial(process.now, &parts);
    assert!(matches!(process.admission(&[DEADLY]), Admission::Trial(_)));
}

// Requests that wait at a crashed engine were blamed as much as the one that it had begun.
#[test]
fn request_whose_answer_had_begun_is_blamed_before_those_that_waited() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.crash(engine, &[DEADLY]);
        process.crash_waiting(engine, &[SHARED]);
    }
    assert!(process.refuses(&[DEADLY]));
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
}

// Each further crash at the end of a quarantine costs the streams of an engine.
#[test]
fn quarantine_grows_with_each_crash() {
    let mut process = Process::start();
    process.crash(1, &[DEADLY]);
    let mut refusals = Vec::new();
    for engine in 2..6 {
        process.crash(engine, &[DEADLY]);
        let Admission::Refused { retry_after_ms, .. } = process.admission(&[DEADLY]) else {
            panic!("not refused after {engine} crashes");
        };
        refusals.push(retry_after_ms.as_secs());
        process.wait(retry_after_ms);
    }
    assert!(refusals[0] >= 10 && refusals[0] <= 12, "{refusals:?}");
    assert!(refusals[1] >= 600 && refusals[2] >= 3_600, "{refusals:?}");
    assert!(refusals[3] >= 3_600, "{refusals:?}");
}

// A caller invents parts, so that memory grows or the deadly part is forgotten.
#[test]
fn invented_parts_take_bounded_memory_and_displace_no_quarantined_part() {
    let mut process = Process::start();
    for engine in 0..3 {
        process.crash(engine, &[DEADLY]);
    }
    for engine in 100..600 {
        let invented: Vec<u64> = (0..200).map(|part| engine * 1_000 + part).collect();
        process.crash(engine, &invented);
        process.sound(&[engine]);
    }
    assert!(process.refuses(&[DEADLY]));
    assert!(process.state.suspect_count() <= 64 * 8);
    let notices = process.state.take_notices(process.now);
    assert!(notices.len() <= 32, "{} notices", notices.len());
    for notice in notices {
        let bytes = postcard::to_stdvec(&notice).unwrap().len();
        assert!(bytes <= 1_300, "{bytes} bytes");
    }
}

// A caller whose own requests crash engines sends them with the shared part of another caller.
#[test]
fn shared_part_in_use_is_not_refused_because_of_another_callers_crashes() {
    let mut process = Process::start();
    for engine in 0..20 {
        process.sound(&[SHARED]);
        process.crash(engine, &[SHARED, 1_000 + engine]);
        assert_eq!(process.admission(&[SHARED]), Admission::Free);
        process.wait(seconds(1.0));
    }
}

// Engines that lose all answers for a while looked like engines that crash on the common part.
#[test]
fn common_part_is_refused_for_seconds_at_most_while_all_engines_lose_their_answers() {
    let mut process = Process::start();
    for request in 0..60 {
        process.crash_waiting(request % 3, &[SHARED]);
    }
    process.wait(seconds(4.1));
    assert!(matches!(process.admission(&[SHARED]), Admission::Trial(_)));

    let mut process = Process::start();
    process.sound(&[SHARED]);
    for request in 0..60 {
        process.crash_waiting(request % 3, &[SHARED]);
    }
    assert_eq!(process.admission(&[SHARED]), Admission::Free);
}

// An engine may crash before it has sent the head of its answer.
#[test]
fn part_that_crashes_engines_before_the_head_is_quarantined_within_six_crashes() {
    let mut process = Process::start();
    let mut crashes = 0;
    for _ in 0..600 {
        process.wait(seconds(0.5));
        if !process.refuses(&[DEADLY]) {
            crashes += 1;
            process.crash_waiting(crashes, &[SHARED, DEADLY]);
        }
        process.sound(&[SHARED]);
    }
    assert!((1..=6).contains(&crashes), "{crashes} crashes");
}

// An engine that had answered after a lost call was never again taken as crashed.
#[test]
fn engine_that_has_lost_a_call_before_counts_when_it_crashes() {
    let mut process = Process::start();
    for engine in 0..2 {
        process.crash(engine, &[SHARED]);
        process.wait(seconds(0.1));
        process.answer(engine);
        process.wait(seconds(5.0));
        process.crash(engine, &[DEADLY]);
    }
    assert!(process.refuses(&[DEADLY]));
}

// After one crash, each further answer on the common part was announced to all processes.
#[test]
fn answers_on_a_part_that_was_cleared_before_cause_no_notices() {
    let mut process = Process::start();
    process.crash(1, &[SHARED, DEADLY]);
    process.sound(&[SHARED]);
    process.wait(seconds(2.0));
    process.notices();
    for _ in 0..100 {
        process.sound(&[SHARED]);
        assert!(process.notices().is_empty());
    }
}

#[test]
fn suspicion_ends_with_the_evidence() {
    let mut process = Process::start();
    process.crash(1, &[DEADLY]);
    process.wait(seconds(601.0));
    assert_eq!(process.admission(&[DEADLY]), Admission::Free);
}

// Soak seed 1002: an engine that had lost answers was taken as down for ten minutes, so that the
// crashes of the deadly request were no evidence.
#[test]
fn process_that_has_lost_answers_counts_again_when_it_crashes_later() {
    let mut process = Process::start();
    process.crash_waiting(1, &[SHARED]);
    process.wait(seconds(1.0));
    assert!(process.state.had_crashed(1, process.now));
    process.wait(seconds(3.0));
    assert!(!process.state.had_crashed(1, process.now));
}
