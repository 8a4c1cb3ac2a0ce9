//! Both ways of taking from a token bucket, and its refill.

use super::TokenBucket;
use crate::limits::SECOND;
use crate::time::Timestamp;
use std::time::Duration;

#[test]
fn refill_and_take_grants_up_to_the_capacity_and_refills_at_the_rate() {
    let mut bucket = TokenBucket::new(2.0, 4.0, Timestamp::ZERO);
    assert!(bucket.refill_and_take(Timestamp::ZERO, 3.0));
    assert!(!bucket.refill_and_take(Timestamp::ZERO, 2.0));
    // A refused request takes nothing.
    assert!(bucket.refill_and_take(Timestamp::ZERO, 1.0));
    assert!(!bucket.refill_and_take(Timestamp::ZERO + SECOND / 2 - Duration::from_micros(1), 1.0));
    assert!(bucket.refill_and_take(Timestamp::ZERO + SECOND / 2, 1.0));
    assert!(!bucket.refill_and_take(Timestamp::ZERO + SECOND / 2, 1.0));
}

#[test]
fn refill_and_take_never_grants_more_than_the_capacity() {
    let mut bucket = TokenBucket::new(2.0, 4.0, Timestamp::ZERO);
    assert!(!bucket.refill_and_take(Timestamp::from_secs(100), 4.5));
    assert!(bucket.refill_and_take(Timestamp::from_secs(100), 4.0));
    assert!(!bucket.refill_and_take(Timestamp::from_secs(100), 0.5));
}

#[test]
fn take_allowing_debt_does_not_refill() {
    let mut bucket = TokenBucket::new(2.0, 4.0, Timestamp::ZERO);
    assert!(bucket.take_allowing_debt(4.0));
    assert!(!bucket.take_allowing_debt(1.0));
    bucket.refill(Timestamp::from_secs(1));
    assert!(bucket.take_allowing_debt(2.0));
    assert!(!bucket.take_allowing_debt(1.0));
}

#[test]
fn take_allowing_debt_grants_more_than_the_capacity_from_a_full_bucket_only() {
    let mut bucket = TokenBucket::new(2.0, 4.0, Timestamp::ZERO);
    assert!(bucket.take_allowing_debt(1.0));
    assert!(!bucket.take_allowing_debt(10.0));
    bucket.refill(Timestamp::from_secs(1));
    assert!(bucket.take_allowing_debt(10.0));
    // A debt of six is paid by three seconds; nothing is granted before.
    bucket.refill(Timestamp::from_secs(4));
    assert!(!bucket.take_allowing_debt(1.0));
    bucket.refill(Timestamp::ZERO + 4 * SECOND + SECOND / 2);
    assert!(bucket.take_allowing_debt(1.0));
}

#[test]
fn a_time_before_the_last_refill_adds_nothing() {
    let mut bucket = TokenBucket::new(2.0, 4.0, Timestamp::from_secs(10));
    assert!(bucket.refill_and_take(Timestamp::from_secs(10), 4.0));
    assert!(!bucket.refill_and_take(Timestamp::from_secs(9), 0.5));
}

#[test]
fn an_empty_bucket_fills_at_its_rate_and_spending_may_leave_a_debt() {
    let mut bucket = TokenBucket::empty(2.0, 4.0, Timestamp::ZERO);
    assert!(!bucket.may_take_allowing_debt(1.0));
    bucket.refill(Timestamp::from_secs(2));
    assert_eq!(bucket.available(), 4.0);
    assert!(bucket.may_take_allowing_debt(6.0));
    bucket.spend(6.0);
    assert_eq!(bucket.available(), -2.0);
    bucket.refill(Timestamp::from_secs(10));
    assert_eq!(bucket.available(), 4.0);
}
