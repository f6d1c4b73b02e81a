//! Worker threads that come with demand and go when idle.

use std::{
    sync::{
        Arc, Barrier,
        mpsc::{channel, sync_channel},
    },
    time::Duration,
};

use basilbank::pool::{Pool, PoolFull};

use crate::responder::PATIENCE;

#[test]
fn jobs_run_at_the_same_time_up_to_the_bound() {
    let pool = Pool::new("test", 3, 0);
    let together = Arc::new(Barrier::new(4));
    for _ in 0..3 {
        let together = Arc::clone(&together);
        pool.run(move || {
            together.wait();
        })
        .unwrap();
    }
    assert_eq!(pool.run(|| {}), Err(PoolFull));
    together.wait();
}

#[test]
fn jobs_wait_in_order_up_to_the_bound() {
    let pool = Pool::new("test", 1, 2);
    let (release, held) = sync_channel::<()>(0);
    let (done, order) = channel();
    pool.run(move || held.recv().unwrap()).unwrap();
    // The worker may not have taken its first job yet, which counts as waiting then.
    let mut accepted = 0;
    while accepted < 2 {
        let done = done.clone();
        if pool.run(move || done.send(accepted).unwrap()).is_ok() {
            accepted += 1;
        }
    }
    assert_eq!(pool.run(|| {}), Err(PoolFull));
    release.send(()).unwrap();
    assert_eq!(order.recv_timeout(PATIENCE), Ok(0));
    assert_eq!(order.recv_timeout(PATIENCE), Ok(1));
}

/// Symptom: after some time no call to an endpoint starts any more. Sequence: jobs panic, each takes
/// its worker along, and the pool still counts them. Cause: the panic ends the thread uncounted.
#[test]
fn a_panic_does_not_cost_a_worker() {
    // The worker may not have taken the first job yet, so there is room for both.
    let pool = Pool::new("test", 1, 2);
    pool.run(|| panic!("on purpose")).unwrap();
    let (done, is_done) = channel();
    pool.run(move || done.send(()).unwrap()).unwrap();
    assert_eq!(is_done.recv_timeout(PATIENCE), Ok(()));
}

#[test]
fn an_idle_pool_has_done_all_its_jobs() {
    let pool = Pool::new("test", 2, 8);
    let (release, held) = sync_channel::<()>(0);
    pool.run(move || held.recv().unwrap()).unwrap();
    assert!(!pool.wait_idle(Duration::from_millis(10)));
    release.send(()).unwrap();
    assert!(pool.wait_idle(PATIENCE));
}

#[test]
fn a_dropped_pool_does_its_waiting_jobs_and_ends() {
    let pool = Pool::new("test", 1, 8);
    let (done, is_done) = channel();
    for i in 0..4 {
        let done = done.clone();
        pool.run(move || done.send(i).unwrap()).unwrap();
    }
    drop((pool, done));
    assert_eq!(is_done.iter().collect::<Vec<_>>(), [0, 1, 2, 3]);
}
