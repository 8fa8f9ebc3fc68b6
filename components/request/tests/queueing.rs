//! Order of the admission queue, and the retry budget.

use std::time::Duration;
use std::time::Instant;

use request::budget::RetryBudget;
use request::queue::Queue;

const AGING_INTERVAL: Duration = Duration::from_secs(3);

fn dispatch_all(queue: &mut Queue, now: Instant) -> Vec<u128> {
    let mut order = Vec::new();
    while let Some((_, _, request)) = queue.first(now) {
        queue.record_dispatch(now, request, Duration::ZERO);
        order.push(request);
    }
    order
}

/// Guards against urgent requests that wait behind others, and against requests lost in the queue.
#[test]
fn serves_by_priority_and_then_deadline() {
    fn property(items: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut queue = Queue::default();
        let mut expected = Vec::new();
        for (index, (priority, deadline)) in items.into_iter().enumerate() {
            let (priority, request) = (priority % 10, index as u128);
            let deadline = now + Duration::from_secs(u64::from(deadline));
            queue.push(now, request, priority, deadline, now);
            expected.push((priority, deadline, request));
        }
        expected.sort_unstable();
        let expected: Vec<u128> = expected.into_iter().map(|(_, _, id)| id).collect();
        dispatch_all(&mut queue, now) == expected && queue.is_empty()
    }
    seeded::check().quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against requests of low priority that are starved by a steady stream of more urgent ones.
#[test]
fn ages_the_lowest_priority_to_the_highest() {
    let start = Instant::now();
    let mut queue = Queue::default();
    let far = start + Duration::from_hours(1);
    queue.push(start, 1, 9, far, start);
    let now = start + AGING_INTERVAL * 9;
    queue.push(now, 2, 0, far + AGING_INTERVAL, now);
    assert_eq!(dispatch_all(&mut queue, now), vec![1, 2]);
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn allows_retries_for_a_tenth_of_the_requests_and_at_least_twenty() {
    fn property(requests: u16) -> bool {
        let now = Instant::now();
        let mut budget = RetryBudget::default();
        for _ in 0..requests {
            budget.count_request(now);
        }
        let allowed = (u32::from(requests) / 10).max(20);
        let taken = (0..=allowed).filter(|_| budget.try_take(now)).count();
        let later = now + Duration::from_secs(11);
        taken == allowed as usize && budget.try_take(later)
    }
    seeded::check().quickcheck(property as fn(u16) -> bool);
}
