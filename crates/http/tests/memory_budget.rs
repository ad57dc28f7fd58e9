//! The budget of a process for bodies: what fits, what is given up, and when memory returns.

use bytes::Bytes;
use courseshunt_http::{
    BodyLimits, BodyProblem, BodyReader, BodySender, BodySource, BudgetLimits, MemoryBudget,
    NotReserved, SMALL_BODY_BYTES, STOPPED_AFTER_MS, channel_body, full_body,
};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const KIB: usize = 1024;
const MAX_BODY_BYTES: usize = 64 * KIB;
/// A body has stopped after this.
const STOPPED: Duration = Duration::from_millis(STOPPED_AFTER_MS + 100);
/// Longer than anything takes here.
const LONG: Duration = Duration::from_secs(30);

fn budget(large_bytes: usize) -> MemoryBudget {
    MemoryBudget::new(BudgetLimits {
        large_bytes,
        small_bytes: 32 * KIB,
    })
}

fn limits(idle_timeout: Duration) -> BodyLimits {
    BodyLimits {
        source: BodySource::Client,
        max_bytes: MAX_BODY_BYTES,
        deadline: Instant::now() + LONG,
        idle_timeout,
    }
}

type Reading = JoinHandle<Result<Bytes, BodyProblem>>;

/// A body of which this much has arrived and no more does.
async fn stopped_body(budget: &MemoryBudget, bytes: usize) -> (BodySender, Reading) {
    let (mut sender, body) = channel_body();
    let mut reader = BodyReader::new(body, limits(LONG), budget);
    let reading = tokio::spawn(async move { reader.read().await });
    let piece = Bytes::from(vec![0; bytes]);
    sender.send_data(piece).await.expect("it is read");
    let arrived = async {
        while budget.usage().large_bytes + budget.usage().small_bytes < bytes {
            tokio::task::yield_now().await;
        }
    };
    arrived.await;
    (sender, reading)
}

#[tokio::test]
async fn a_single_body_of_any_size_fits() {
    let budget = budget(KIB);
    let whole = full_body(vec![1; MAX_BODY_BYTES]);
    let read = BodyReader::new(whole, limits(LONG), &budget).read().await;
    assert_eq!(read.expect("it fits").len(), MAX_BODY_BYTES);
}

#[tokio::test]
async fn memory_returns_with_the_last_use_of_the_bytes() {
    let budget = budget(128 * KIB);
    let whole = full_body(vec![1; MAX_BODY_BYTES]);
    let read = BodyReader::new(whole, limits(LONG), &budget).read().await;
    let first = read.expect("it fits");
    let part = first.slice(1..2);
    drop(first);
    assert_eq!(budget.usage().large_bytes, MAX_BODY_BYTES);
    drop(part);
    assert_eq!(budget.usage().large_bytes, 0);
}

#[tokio::test]
async fn a_body_in_pieces_of_one_byte_occupies_little_more_than_its_length() {
    let budget = budget(128 * KIB);
    let (mut sender, body) = channel_body();
    let sending = tokio::spawn(async move {
        // Each piece is a part of a larger buffer, which it keeps in memory.
        let buffer = Bytes::from(vec![7; KIB]);
        for _ in 0..10_000 {
            let piece = buffer.slice(..1);
            sender.send_data(piece).await.expect("it is read");
        }
    });
    let read = BodyReader::new(body, limits(LONG), &budget).read().await;
    sending.await.expect("all is sent");
    let read = read.expect("it fits");
    assert_eq!(read.len(), 10_000);
    let usage = budget.usage();
    assert!(usage.small_bytes + usage.large_bytes <= 20_000, "{usage:?}");
}

#[tokio::test]
async fn small_bodies_fit_beside_large_ones() {
    let budget = budget(64 * KIB);
    let mut large = budget.reservation();
    large.grow_to(64 * KIB).expect("it fits");
    let mut other = budget.reservation();
    let refused = other.grow_to(SMALL_BODY_BYTES + 1);
    assert_eq!(refused, Err(NotReserved::Exhausted));
    other.grow_to(SMALL_BODY_BYTES).expect("a small one fits");
}

#[tokio::test]
async fn a_body_that_moves_is_not_given_up() {
    let budget = budget(64 * KIB);
    let (_sender, reading) = stopped_body(&budget, 48 * KIB).await;
    let mut other = budget.reservation();
    assert_eq!(other.grow_to(48 * KIB), Err(NotReserved::Exhausted));
    assert!(!reading.is_finished());
}

#[tokio::test]
async fn the_body_that_stopped_first_is_given_up_first() {
    let budget = budget(96 * KIB);
    let (_first_sender, first) = stopped_body(&budget, 40 * KIB).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (_second_sender, second) = stopped_body(&budget, 40 * KIB).await;
    tokio::time::sleep(STOPPED).await;
    let mut other = budget.reservation();
    other.grow_to(40 * KIB).expect("memory is freed");
    let given_up = first.await.expect("it ends");
    assert_eq!(given_up, Err(BodyProblem::GivenUp));
    assert!(!second.is_finished());
    let usage = budget.usage();
    assert_eq!((usage.given_up, usage.arriving), (1, 1));
    second.abort();
    let _ = second.await;
    drop(other);
    let usage = budget.usage();
    assert_eq!((usage.large_bytes, usage.small_bytes), (0, 0));
}

#[tokio::test]
async fn a_body_that_stops_for_the_idle_timeout_is_reported() {
    let budget = budget(64 * KIB);
    let (mut sender, body) = channel_body();
    let mut reader = BodyReader::new(body, limits(Duration::from_millis(50)), &budget);
    sender
        .send_data(Bytes::from_static(b"x"))
        .await
        .expect("it is read");
    assert_eq!(reader.read().await, Err(BodyProblem::Stopped));
    drop(sender);
    let read = reader.read().await;
    assert_eq!(read.expect("reading goes on"), Bytes::from_static(b"x"));
}

#[tokio::test]
async fn a_body_over_its_limit_is_refused() {
    let budget = budget(128 * KIB);
    let whole = full_body(vec![1; MAX_BODY_BYTES + 1]);
    let read = BodyReader::new(whole, limits(LONG), &budget).read().await;
    let max_bytes = MAX_BODY_BYTES;
    assert_eq!(read, Err(BodyProblem::TooLong { max_bytes }));
}
