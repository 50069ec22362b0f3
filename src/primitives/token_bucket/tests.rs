use super::*;

#[test]
fn tokens_are_added_up_to_the_capacity() {
    let mut bucket = TokenBucket::new(1.0);
    bucket.add_tokens(5.0, 3.0);
    assert!(bucket.has_tokens(3.0) && !bucket.has_tokens(3.1));
}

#[test]
fn tokens_may_be_consumed_beyond_the_balance_and_must_be_added_first() {
    let mut bucket = TokenBucket::new(1.0);
    bucket.consume_tokens(3.0);
    bucket.add_tokens(2.0, 10.0);
    assert!(bucket.has_tokens(0.0) && !bucket.has_tokens(0.1));
}
