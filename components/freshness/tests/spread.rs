//! Time until a new version is in force at processes that lose their polls, their peers or the
//! store, in virtual time.

use std::time::Duration;
use std::time::Instant;

use freshness::Place;
use freshness::Source;
use freshness::Version;
use freshness::View;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP_MS: Duration = Duration::from_millis(10);
const HEARTBEAT_STEPS: usize = 50;
const PEER_TIMEOUT_MS: Duration = Duration::from_millis(1_500);
const ANSWER_TIMEOUT_MS: Duration = Duration::from_millis(300);
/// Our own aim for the time until a change is in force.
const IN_FORCE_MS: Duration = Duration::from_secs(1);
/// Time before the change, in which processes hear each other.
const WARM_UP_MS: Duration = Duration::from_secs(3);

#[derive(Clone)]
struct Process {
    view: View,
    version: Version,
    heard: Vec<Option<Instant>>,
    announcer: Option<usize>,
    question: Option<(Instant, Source)>,
    has_poll: bool,
    reaches_store: bool,
    is_paused: bool,
}

struct Fleet {
    now: Instant,
    steps: usize,
    store: Version,
    processes: Vec<Process>,
    /// Whether datagrams from one process reach another.
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    loss: f64,
    random: StdRng,
    questions_to_store: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let process = Process {
            view: View::new(now),
            version: 0,
            heard: vec![None; count],
            announcer: None,
            question: None,
            has_poll: true,
            reaches_store: true,
            is_paused: false,
        };
        let mut fleet = Self {
            now,
            steps: 0,
            store: 1,
            processes: vec![process; count],
            is_cut: Box::new(|_, _| false),
            loss: 0.0,
            random: StdRng::seed_from_u64(7),
            questions_to_store: 0,
        };
        fleet.run(WARM_UP_MS);
        fleet
    }

    fn place(&self, at: usize) -> Place {
        let heard = |(_, heard): &(usize, &Option<Instant>)| {
            heard.is_some_and(|heard| heard + PEER_TIMEOUT_MS >= self.now)
        };
        let peers = self.processes[at].heard.iter().enumerate().filter(heard);
        let peers: Vec<usize> = peers.map(|(peer, _)| peer).collect();
        let first = peers.iter().filter(|peer| **peer < at).count();
        Place {
            rank: u32::try_from(first).unwrap(),
            processes: u32::try_from(peers.len() + 1).unwrap(),
        }
    }

    fn read_store(&mut self, at: usize) {
        let (now, store) = (self.now, self.store);
        let process = &mut self.processes[at];
        process.version = process.version.max(store);
        process.view.apply(now, process.version);
        process.view.check(now);
    }

    fn send(&mut self, from: usize) {
        let (version, age) = {
            let process = &self.processes[from];
            (process.version, process.view.age(self.now))
        };
        for to in 0..self.processes.len() {
            let is_lost = self.random.random_bool(self.loss);
            if to == from || is_lost || (self.is_cut)(from, to) || self.processes[to].is_paused {
                continue;
            }
            let process = &mut self.processes[to];
            process.heard[from] = Some(self.now);
            if version > process.view.newest() {
                process.announcer = Some(from);
            }
            process.view.hear(self.now, version, age);
        }
    }

    fn answer(&mut self, at: usize, source: Source) -> bool {
        match source {
            Source::Store if self.processes[at].reaches_store => {
                self.read_store(at);
                self.send(at);
                true
            }
            Source::Store => false,
            Source::Peer => {
                let any = self.random.random_range(0..self.processes.len());
                let peer = self.processes[at].announcer.unwrap_or(any);
                let is_reached = peer != at
                    && !self.processes[peer].is_paused
                    && !(self.is_cut)(at, peer)
                    && !(self.is_cut)(peer, at);
                if is_reached {
                    let (version, age) = {
                        let peer = &self.processes[peer];
                        (peer.version, peer.view.age(self.now))
                    };
                    let process = &mut self.processes[at];
                    process.version = process.version.max(version);
                    process.view.apply(self.now, process.version);
                    process.view.hear(self.now, version, age);
                }
                is_reached
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.steps += 1;
        for at in 0..self.processes.len() {
            if self.processes[at].is_paused {
                continue;
            }
            let process = &self.processes[at];
            if process.has_poll && process.reaches_store && process.version < self.store {
                self.read_store(at);
            }
            if let Some((asked, source)) = self.processes[at].question {
                let is_answered = self.answer(at, source);
                if is_answered || asked + ANSWER_TIMEOUT_MS <= self.now {
                    self.processes[at].question = None;
                    let place = self.place(at);
                    let now = self.now;
                    self.processes[at].view.answered(now, place, is_answered);
                }
            } else {
                let place = self.place(at);
                let now = self.now;
                let question = self.processes[at].view.next_question(now, place);
                self.questions_to_store += usize::from(question == Some(Source::Store));
                self.processes[at].question = question.map(|source| (now, source));
            }
            if (self.steps + at).is_multiple_of(HEARTBEAT_STEPS) {
                self.send(at);
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }
}

/// Longest time until version 2 is in force at all processes that `counts` selects.
fn longest_time(fleet: &mut Fleet, counts: impl Fn(usize) -> bool) -> Duration {
    fleet.store = 2;
    let changed_at = fleet.now;
    for _ in 0..1_000 {
        fleet.step();
        let mut processes = fleet.processes.iter().enumerate();
        if processes.all(|(at, process)| !counts(at) || process.version == 2) {
            break;
        }
    }
    fleet.now.saturating_duration_since(changed_at)
}

fn assert_in_force_in_time(
    name: &str,
    break_fleet: impl Fn(&mut Fleet),
    counts: impl Fn(usize) -> bool,
) {
    for count in [4, 31, 300] {
        let mut fleet = Fleet::new(count);
        break_fleet(&mut fleet);
        let time = longest_time(&mut fleet, &counts);
        assert!(time <= IN_FORCE_MS, "{name}, {count} processes: {time:?}");
        assert!(fleet.processes.iter().all(|process| process.version <= 2));
    }
}

#[test]
fn version_is_in_force_in_time_if_all_polls_are_dead() {
    let no_polls = |fleet: &mut Fleet| {
        for process in &mut fleet.processes {
            process.has_poll = false;
        }
    };
    assert_in_force_in_time("no polls", no_polls, |_| true);
}

#[test]
fn version_is_in_force_in_time_if_the_first_processes_are_paused() {
    let paused = |fleet: &mut Fleet| {
        for process in &mut fleet.processes {
            process.has_poll = false;
        }
        for process in &mut fleet.processes[..3] {
            process.is_paused = true;
        }
    };
    assert_in_force_in_time("first paused", paused, |at| at >= 3);
}

#[test]
fn version_is_in_force_in_time_where_only_peers_are_reached() {
    let cut_off = |fleet: &mut Fleet| {
        let reached = fleet.processes.len() / 4;
        for process in &mut fleet.processes[reached..] {
            process.reaches_store = false;
        }
    };
    assert_in_force_in_time("store away for most", cut_off, |_| true);
}

#[test]
fn version_is_in_force_in_time_where_only_the_store_is_reached() {
    let alone = |fleet: &mut Fleet| {
        fleet.is_cut = Box::new(|_, _| true);
        for process in &mut fleet.processes {
            process.has_poll = false;
        }
    };
    assert_in_force_in_time("no peers", alone, |_| true);
}

#[test]
fn version_is_in_force_in_time_on_one_way_and_lossy_links() {
    let one_way = |fleet: &mut Fleet| {
        fleet.loss = 0.3;
        // Every third process hears nobody, and every fourth is heard by nobody.
        fleet.is_cut = Box::new(|from, to| to % 3 == 1 || from % 4 == 2);
        for process in &mut fleet.processes {
            process.has_poll = false;
        }
    };
    assert_in_force_in_time("one-way", one_way, |_| true);
}

// With a dead store, each of 300 processes asked it several times a second.
#[test]
fn unavailable_store_gets_a_bounded_number_of_questions_from_all_processes() {
    for count in [31, 300] {
        let mut fleet = Fleet::new(count);
        for process in &mut fleet.processes {
            process.reaches_store = false;
        }
        fleet.run(Duration::from_secs(2));
        fleet.questions_to_store = 0;
        fleet.run(Duration::from_secs(4));
        let per_s = fleet.questions_to_store / 4;
        assert!(per_s <= 110, "{count} processes: {per_s} a second");
    }
}

#[test]
fn sound_fleet_checks_the_store_a_few_times_a_second() {
    for count in [4, 31, 300] {
        let mut fleet = Fleet::new(count);
        fleet.questions_to_store = 0;
        fleet.run(Duration::from_secs(4));
        let per_s = fleet.questions_to_store / 4;
        assert!(per_s <= 4, "{count} processes: {per_s} a second");
    }
}
