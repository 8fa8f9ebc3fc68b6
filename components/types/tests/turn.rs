//! A task whose operations never wait.

use futures_lite::future;
use futures_lite::future::or;
use futures_lite::future::yield_now;
use types::Turn;

/// Times that another task runs while one handles `operations` of `bytes` each.
fn turns_of_another_task(operations: usize, bytes: usize) -> usize {
    let mut others = 0;
    let busy = async {
        let mut turn = Turn::default();
        for _ in 0..operations {
            turn.proceed(bytes).await;
        }
    };
    let other = async {
        loop {
            yield_now().await;
            others += 1;
        }
    };
    future::block_on(or(busy, other));
    others
}

// A task that is always ready kept the thread to itself.
#[test]
fn task_that_never_waits_gives_way_after_a_bounded_amount_of_work() {
    assert_eq!(turns_of_another_task(4, 16 << 10), 0);
    assert!(turns_of_another_task(1_000, 16 << 10) >= 200);
    assert!(turns_of_another_task(6_400, 1) >= 90);
    assert!(turns_of_another_task(100, 1 << 20) >= 90);
}

#[test]
fn task_that_waits_anyway_begins_a_new_turn() {
    let mut turn = Turn::default();
    for _ in 0..1_000 {
        turn.spend(16 << 10);
        turn.renew();
    }
    future::block_on(async {
        assert!(future::poll_once(turn.proceed(0)).await.is_some());
    });
}
