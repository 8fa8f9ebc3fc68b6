//! Several processes that tell each other what they see.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Process;
use common::seconds;
use quarantine::Admission;
use quarantine::Notice;
use quarantine::PartChange;
use quarantine::PartState;
use seeded::quickcheck;

const DEADLY: u64 = 0xdead;
const SHARED: u64 = 0x5a;
/// Aim for the crashes until a part is known everywhere.
const CRASH_LIMIT: u64 = 3;
/// Time in which processes learn what the others know.
const CONTACT_MS: Duration = Duration::from_secs(3);
/// Interval at which processes look for notices that are due.
const STEP_MS: Duration = Duration::from_millis(20);

/// Lost notices of a hundred; links in trouble lose 3.
const NOTICE_LOSS: u64 = 6;

/// Processes on a network that loses notices.
struct Network {
    processes: Vec<Process>,
    /// Processes that no notice reaches or leaves.
    cut_off: Vec<usize>,
    random: u64,
    /// Lost notices of a hundred.
    loss: u64,
    crashes: u64,
}

impl Network {
    fn start(count: usize, seed: u64, loss: u64) -> Self {
        let now = Instant::now();
        let start = |seed| Process::start_at(now, seed);
        Self {
            processes: (0..count as u64).map(|at| start(seed ^ at)).collect(),
            cut_off: Vec::new(),
            random: seed | 1,
            loss,
            crashes: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn run(&mut self, time: Duration) {
        let mut left = time;
        while !left.is_zero() {
            for process in &mut self.processes {
                process.wait(STEP_MS);
            }
            self.exchange();
            left = left.saturating_sub(STEP_MS);
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.processes.len() {
            let notices = self.processes[from].notices();
            if self.cut_off.contains(&from) {
                continue;
            }
            for notice in notices {
                self.deliver(from, &notice);
            }
        }
    }

    fn deliver(&mut self, from: usize, notice: &Notice) {
        for to in 0..self.processes.len() {
            let is_lost = self.draw(100) < self.loss;
            if to == from || is_lost || self.cut_off.contains(&to) {
                continue;
            }
            let process = &mut self.processes[to];
            let sender = format!("p{from}");
            process.state.receive(process.now, &sender, notice.clone());
        }
    }

    /// Sends a request of which an engine crashes after a while, if it has the deadly part.
    fn request(&mut self, at: usize, parts: &[u64]) {
        let process = &mut self.processes[at];
        let trial = match process.admission(parts) {
            Admission::Refused { .. } => return,
            Admission::Free => Vec::new(),
            Admission::Trial(parts) => parts.to_vec(),
        };
        process.state.begin_trial(process.now, &trial);
        self.run(seconds(0.2));
        let process = &mut self.processes[at];
        if parts.contains(&DEADLY) {
            self.crashes += 1;
            process.crash(self.crashes, parts);
        } else {
            process.sound(parts);
        }
        process.state.end_trial(process.now, &trial);
        self.exchange();
    }

    fn all_refuse(&self, parts: &[u64]) -> bool {
        self.processes.iter().all(|process| process.refuses(parts))
    }
}

quickcheck! {
    // Issue 22: the aim of three crashes, whichever processes get the requests.
    fn deadly_part_crashes_three_engines_at_most_although_notices_are_lost(seed: u64) -> bool {
        let mut network = Network::start(5, seed, NOTICE_LOSS);
        for number in 0..80 {
            let at = usize::try_from(network.draw(5)).unwrap();
            network.request(at, &[SHARED, DEADLY]);
            network.request((at + 1) % 5, &[SHARED, number]);
            network.run(seconds(0.5));
        }
        network.crashes <= CRASH_LIMIT
    }
}

#[test]
fn process_that_has_just_started_learns_of_a_deadly_part_within_three_seconds() {
    let mut network = Network::start(3, 7, 0);
    for _ in 0..2 {
        network.request(0, &[SHARED, DEADLY]);
    }
    network.run(seconds(5.0));
    let now = network.processes[0].now;
    network.processes[1] = Process::start_at(now, 99);
    network.run(CONTACT_MS);
    assert!(network.all_refuse(&[DEADLY]));
}

#[test]
fn process_that_was_cut_off_learns_of_a_deadly_part_within_three_seconds() {
    let mut network = Network::start(3, 7, 0);
    network.cut_off.push(2);
    for _ in 0..2 {
        network.request(0, &[SHARED, DEADLY]);
    }
    network.run(seconds(5.0));
    assert!(!network.processes[2].refuses(&[DEADLY]));
    network.cut_off.clear();
    network.run(CONTACT_MS);
    assert!(network.all_refuse(&[DEADLY]));
}

// Each process alone saw one crash.
#[test]
fn crashes_that_different_processes_saw_are_added_up() {
    let mut network = Network::start(2, 7, 0);
    network.request(0, &[SHARED, DEADLY]);
    network.request(1, &[SHARED, DEADLY]);
    assert!(network.all_refuse(&[DEADLY]));
}

#[test]
fn part_that_one_process_proves_sound_is_free_at_all() {
    let mut network = Network::start(3, 7, 0);
    for engine in 0..2 {
        network.processes[0].crash(engine, &[SHARED]);
    }
    network.run(seconds(1.0));
    assert!(network.all_refuse(&[SHARED]));
    network.processes[1].sound(&[SHARED]);
    network.run(CONTACT_MS);
    for process in &network.processes {
        assert_eq!(process.admission(&[SHARED]), Admission::Free);
    }
}

// A process that heard of a crash late went on blaming a part that had been sound since.
#[test]
fn crash_report_that_arrives_after_an_answer_does_not_blame_its_parts() {
    let mut network = Network::start(2, 7, 0);
    network.cut_off.push(1);
    network.processes[0].crash(1, &[SHARED]);
    network.processes[0].crash(2, &[SHARED]);
    network.run(seconds(0.5));
    network.processes[1].sound(&[SHARED]);
    network.cut_off.clear();
    network.run(CONTACT_MS);
    for process in &network.processes {
        assert_eq!(process.admission(&[SHARED]), Admission::Free);
    }
}

#[test]
fn trial_of_one_process_keeps_others_from_sending_one() {
    let mut network = Network::start(2, 7, 0);
    network.processes[0].crash(1, &[DEADLY]);
    network.run(seconds(0.1));
    let now = network.processes[0].now;
    network.processes[0].state.begin_trial(now, &[DEADLY]);
    network.run(seconds(4.0));
    assert!(network.processes[1].refuses(&[DEADLY]));
    // The process is gone, and its request with it.
    network.processes.remove(0);
    network.run(seconds(1.6));
    let admission = network.processes[0].admission(&[DEADLY]);
    assert!(matches!(admission, Admission::Trial(_)), "{admission:?}");
}

// Issue 38: a report of a long prompt has to fit into a datagram.
#[test]
fn processes_learn_of_a_deadly_part_behind_many_others() {
    let mut network = Network::start(2, 7, 0);
    let prompt: Vec<u64> = (0..63)
        .map(|part| u64::MAX - part)
        .chain([DEADLY])
        .collect();
    for process in &mut network.processes {
        process.sound(&prompt[..63]);
    }
    network.processes[0].crash(1, &prompt);
    network.processes[1].crash(2, &prompt);
    for process in &mut network.processes {
        for notice in process.state.take_notices(process.now) {
            let bytes = postcard::to_stdvec(&notice).unwrap().len();
            assert!(bytes <= 1_300, "{bytes} bytes");
        }
    }
    network.run(CONTACT_MS);
    assert!(network.all_refuse(&[DEADLY]));
    for process in &network.processes {
        assert_eq!(process.admission(&prompt[..63]), Admission::Free);
    }
}

// All processes lose power together, and only the store knows.
#[test]
fn stored_record_refuses_the_part_for_the_time_that_is_left() {
    let mut before = Process::start();
    for engine in 0..3 {
        before.crash(engine, &[DEADLY]);
    }
    before.wait(seconds(60.0));
    let record = before.state.record(before.now, DEADLY).unwrap();
    let mut after = Process::start_at(before.now, 5);
    after.state.receive_record(after.now, &record);
    assert!(after.refuses(&[DEADLY]));
    after.wait(seconds(542.1));
    assert!(matches!(after.admission(&[DEADLY]), Admission::Trial(_)));
    after.crash(9, &[DEADLY]);
    assert!(after.refuses(&[DEADLY]));
}

// A process that disagrees with another about a part logged and undid its quarantine again and
// again, and gave up sound calls.
#[test]
fn quarantine_that_contradicts_what_a_process_knows_is_not_applied_for_a_moment() {
    let mut network = Network::start(2, 7, 0);
    network.cut_off.push(1);
    network.processes[1].sound(&[SHARED]);
    for engine in 0..2 {
        network.processes[0].crash(engine, &[SHARED]);
    }
    network.processes[1].state.take_changes();
    network.cut_off.clear();
    network.run(seconds(6.0));
    let changes = network.processes[1].state.take_changes();
    let quarantined = |change: &&PartChange| change.state == PartState::Quarantined;
    assert_eq!(changes.iter().filter(quarantined).count(), 0, "{changes:?}");
}

// Issue 38, soak seeds 9007 and 9015: a process that has just started knows of no answers, and its
// verdict was kept by those that know them.
#[test]
fn quarantine_of_a_process_that_knows_no_answers_is_ended_by_those_that_do() {
    let mut network = Network::start(3, 7, 0);
    let now = network.processes[0].now;
    network.processes[0] = Process::start_at(now, 99);
    network.cut_off.push(0);
    for engine in 0..3 {
        network.processes[0].crash(engine, &[SHARED]);
    }
    network.run(seconds(0.5));
    for process in &mut network.processes[1..] {
        process.sound(&[SHARED]);
    }
    network.run(seconds(6.0));
    network.cut_off.clear();
    network.run(CONTACT_MS);
    for process in &network.processes {
        assert_eq!(process.admission(&[SHARED]), Admission::Free);
    }
}

// Each notice took some time, and the processes extended each other's quarantine by it.
#[test]
fn quarantine_is_not_extended_by_notices() {
    let mut network = Network::start(3, 7, 0);
    for engine in 0..3 {
        network.processes[0].crash(engine, &[DEADLY]);
    }
    let end = network.processes[0].now + seconds(600.0);
    for step in 0..200 {
        network.run(seconds(2.0));
        // The clock of one process runs ahead, as if notices to it took longer.
        network.processes[step % 3].wait(Duration::from_millis(20));
    }
    for process in &network.processes {
        let Admission::Refused { retry_after_ms, .. } = process.admission(&[DEADLY]) else {
            panic!("not refused");
        };
        assert!(process.now + retry_after_ms <= end + seconds(2.6));
    }
}

// Notices of a quarantine that had ended began it anew, so that no trial could end it.
#[test]
fn quarantine_that_has_ended_is_not_begun_again_by_notices() {
    let mut network = Network::start(3, 7, 0);
    for engine in 0..2 {
        network.processes[0].crash(engine, &[SHARED]);
    }
    network.run(seconds(1.0));
    for process in &mut network.processes {
        process.state.take_changes();
    }
    network.run(seconds(14.0));
    for process in &mut network.processes {
        let admission = process.admission(&[SHARED]);
        assert!(matches!(admission, Admission::Trial(_)), "{admission:?}");
        assert_eq!(process.state.take_changes(), []);
    }
}

// Each side of a cut had seen two crashes, and after it the part was refused for seconds only.
#[test]
fn crashes_on_both_sides_of_a_cut_are_added_up() {
    let mut network = Network::start(2, 7, 0);
    network.cut_off.push(1);
    for engine in 0..2 {
        network.processes[0].crash(engine, &[SHARED, DEADLY]);
        network.processes[1].crash(engine + 10, &[SHARED, DEADLY]);
    }
    network.run(seconds(6.0));
    network.cut_off.clear();
    network.run(CONTACT_MS);
    for process in &network.processes {
        let admission = process.admission(&[DEADLY]);
        let Admission::Refused { retry_after_ms, .. } = admission else {
            panic!("{admission:?}");
        };
        assert!(retry_after_ms > seconds(500.0), "{retry_after_ms:?}");
    }
}
