//! Tests of what several processes together send to a target that names a limit, in virtual time
//! and with faults between them.

use std::time::Duration;
use std::time::Instant;

use limits::Limits;
use limits::NamedRate;
use limits::Notice;
use limits::Rate;
use limits::Room;
use limits::SPAN_MS;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TARGET: u64 = 7;
const STEP_MS: Duration = Duration::from_millis(20);
/// Time from the first answer with a limit until it has to hold; required by the users.
const CONTACT_MS: Duration = Duration::from_secs(3);

/// Processes that call one target as often as they may, and the times of their calls.
struct World {
    now: Instant,
    random: StdRng,
    members: Vec<Limits>,
    /// Partition of each process; those in different ones do not hear each other.
    sides: Vec<usize>,
    is_running: Vec<bool>,
    has_requests: Vec<bool>,
    loss: f64,
    /// Notices on their way: time of arrival, sender and receiver.
    notices: Vec<(Instant, usize, usize, Notice)>,
    rate: Option<f64>,
    calls: Vec<Instant>,
    /// Calls of processes that did not know of the limit yet.
    unknowing_calls: usize,
    restarts: usize,
}

impl World {
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            random: StdRng::seed_from_u64(seed),
            members: Vec::new(),
            sides: vec![0; count],
            is_running: vec![true; count],
            has_requests: vec![true; count],
            loss: 0.0,
            notices: Vec::new(),
            rate: None,
            calls: Vec::new(),
            unknowing_calls: 0,
            restarts: 0,
        };
        for _ in 0..count {
            let member = world.new_member();
            world.members.push(member);
        }
        world
    }

    fn new_member(&mut self) -> Limits {
        let mut member = Limits::new(self.now, self.random.random());
        member.tick(self.now, self.sides.len(), |_| true);
        member
    }

    fn restart(&mut self, at: usize) {
        self.restarts += 1;
        self.members[at] = self.new_member();
        self.is_running[at] = true;
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let (now, count) = (self.now, self.members.len());
        for at in 0..count {
            if !self.is_running[at] {
                continue;
            }
            let member = &mut self.members[at];
            member.tick(now, count, |_| true);
            if self.has_requests[at] {
                member.record_demand(now, TARGET);
                let room = member.room(now, TARGET);
                if matches!(room, Room::Unlimited | Room::Now) {
                    member.record_call(now, TARGET);
                    let rate = self.rate.and_then(Rate::per_second);
                    let named = rate.map_or(NamedRate::Absent, NamedRate::Limit);
                    member.record_answer(now, now, TARGET, named);
                    if room == Room::Unlimited && rate.is_some() {
                        self.unknowing_calls += 1;
                    } else {
                        self.calls.push(now);
                    }
                }
            }
            for notice in self.members[at].take_notices(now) {
                for to in 0..count {
                    let delay = Duration::from_millis(self.random.random_range(1..60));
                    if to != at && !self.random.random_bool(self.loss) {
                        self.notices.push((now + delay, at, to, notice.clone()));
                    }
                }
            }
        }
        let (due, later) = std::mem::take(&mut self.notices)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.notices = later;
        let due: Vec<(Instant, usize, usize, Notice)> = due;
        for (_, from, to, notice) in due {
            if self.sides[from] == self.sides[to] && self.is_running[to] {
                let sender = self.members[from].own_id();
                self.members[to].receive(now, sender, &notice);
            }
        }
    }

    fn most_calls(&self, from: Instant, span: Duration) -> usize {
        let calls: Vec<Instant> = self
            .calls
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let counts = calls.iter().enumerate().map(|(first, start)| {
            let span = calls[first..].iter().take_while(|at| **at < *start + span);
            span.count()
        });
        counts.max().unwrap_or(0)
    }

    fn count_since(&self, from: Instant) -> usize {
        self.calls.iter().filter(|at| **at >= from).count()
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // small and positive
fn allowed(rate: f64) -> usize {
    (rate * SPAN_MS.as_secs_f64()).floor().max(1.0) as usize
}

// 40 processes with a share each would use it at the same time.
#[test]
fn limit_holds_for_any_number_of_processes_and_is_used() {
    for count in [1, 4, 40] {
        for rate in [0.4, 1.3, 1.9, 10.0, 60.0] {
            let mut world = World::new(count, 1);
            world.run(CONTACT_MS);
            world.rate = Some(rate);
            world.run(CONTACT_MS);
            let from = world.now;
            world.run(SPAN_MS * 5);
            let most = world.most_calls(from, SPAN_MS);
            assert!(most <= allowed(rate), "{count} at {rate}: {most} calls");
            let used = world.count_since(from);
            assert!(
                used * 2 >= allowed(rate * 5.0),
                "{count} at {rate}: {used} calls"
            );
        }
    }
}

#[test]
fn limit_is_used_where_only_one_process_has_requests() {
    let mut world = World::new(40, 2);
    world.has_requests = (0..40).map(|at| at == 17).collect();
    world.run(CONTACT_MS);
    world.rate = Some(1.3);
    world.run(CONTACT_MS + SPAN_MS);
    let from = world.now;
    world.run(SPAN_MS * 5);
    assert!(world.count_since(from) >= 20, "{}", world.count_since(from));
    assert!(world.most_calls(from, SPAN_MS) <= allowed(1.3));
}

// Each side of a partition took itself for the only user of the limit.
#[test]
fn sides_of_a_partition_keep_to_the_limit_together() {
    for (sides, seed) in [(2, 3), (3, 4), (40, 5)] {
        let mut world = World::new(40, seed);
        world.run(CONTACT_MS);
        world.rate = Some(1.3);
        world.run(CONTACT_MS);
        let from = world.now;
        for _ in 0..4 {
            world.sides = (0..40).map(|at| at % sides).collect();
            world.run(SPAN_MS * 2);
            world.sides = vec![0; 40];
            world.run(SPAN_MS);
        }
        let most = world.most_calls(from, SPAN_MS);
        assert!(most <= allowed(1.3), "{sides} sides: {most} calls");
        let used = world.count_since(from);
        assert!(used > 15, "{sides} sides: {used} calls");
    }
}

// A process that starts does not know what the one before it has lent.
#[test]
fn restarts_and_pauses_do_not_multiply_the_limit() {
    for seed in 0..20 {
        let mut world = World::new(8, seed);
        world.loss = 0.1;
        world.run(CONTACT_MS);
        world.rate = Some(2.0);
        world.run(CONTACT_MS);
        let from = world.now;
        for _ in 0..20 {
            let at = world.random.random_range(0..8);
            if world.random.random_bool(0.5) {
                world.is_running[at] = !world.is_running[at];
            } else {
                world.restart(at);
            }
            let pause = Duration::from_millis(world.random.random_range(200..2_000));
            world.run(pause);
        }
        let most = world.most_calls(from, SPAN_MS);
        assert!(most <= allowed(2.0), "seed {seed}: {most} calls");
        // Each learns of the limit from its first answer, if not from the others before.
        assert!(world.unknowing_calls <= 8 + world.restarts, "seed {seed}");
    }
}

#[test]
fn limits_that_change_or_end_are_followed() {
    let mut world = World::new(8, 6);
    world.run(CONTACT_MS);
    world.rate = Some(4.0);
    world.run(CONTACT_MS * 2);
    world.rate = Some(0.8);
    world.run(CONTACT_MS);
    let from = world.now;
    world.run(SPAN_MS * 3);
    assert!(world.most_calls(from, SPAN_MS) <= allowed(0.8));
    world.rate = None;
    world.run(SPAN_MS * 2);
    let from = world.now;
    world.run(SPAN_MS);
    assert!(world.count_since(from) > 100, "the limit has ended");
}
