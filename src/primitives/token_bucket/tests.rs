use super::*;

#[test]
fn a_bucket_is_refilled_up_to_its_capacity() {
    let mut bucket = TokenBucket::new(1.0);
    bucket.add_tokens(5.0, 3.0);
    assert!(bucket.has_tokens(3.0) && !bucket.has_tokens(3.1));
}

#[test]
fn more_tokens_than_there_are_can_be_taken_and_must_be_refilled_first() {
    let mut bucket = TokenBucket::new(1.0);
    bucket.consume_tokens(3.0);
    bucket.add_tokens(2.0, 10.0);
    assert!(bucket.has_tokens(0.0) && !bucket.has_tokens(0.1));
}
