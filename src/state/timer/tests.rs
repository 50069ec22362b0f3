use super::*;

#[test]
fn a_token_decodes_to_the_timer_it_was_made_from() {
    for timer in [
        Timer::Housekeeping,
        Timer::CounterWait(0),
        Timer::CounterWait(99),
        Timer::Gossip,
    ] {
        assert_eq!(Timer::from_token(timer.token()), timer);
    }
}

#[test]
fn an_unknown_token_counts_as_housekeeping() {
    assert_eq!(Timer::from_token(u64::MAX), Timer::Housekeeping);
}
