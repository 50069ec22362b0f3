use super::*;

#[test]
fn an_id_is_free_again_only_if_its_request_may_be_repeated() {
    let mut transactions = Transactions::default();
    assert!(transactions.claim(1).is_ok());
    assert!(transactions.claim(1).is_err(), "the request is open");
    transactions.release(1);
    assert!(transactions.claim(1).is_ok());
    assert_eq!(transactions.open(), [1]);
    transactions.remember(1);
    assert!(transactions.claim(1).is_err(), "the request may have run");
    assert!(transactions.open().is_empty());
}

/// Guards against memory that grows with each request.
#[test]
fn the_oldest_ids_are_forgotten() {
    let mut transactions = Transactions::default();
    for id in 0..=MAX_REMEMBERED as u64 {
        transactions.remember(id);
        transactions.remember(id);
    }
    assert_eq!(transactions.executed.len(), MAX_REMEMBERED);
    assert_eq!(transactions.executed_order.len(), MAX_REMEMBERED);
    assert!(transactions.claim(0).is_ok());
    assert!(transactions.claim(1).is_err());
}
