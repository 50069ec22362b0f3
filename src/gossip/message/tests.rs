use super::*;

fn message(usages: Vec<Usage>) -> Message {
    Message {
        has_recent_shortage: true,
        usages,
    }
}

#[test]
fn a_decoded_message_equals_the_encoded_one() {
    let usages = vec![
        Usage {
            customer: 7,
            plan: 1,
            units: 2.25,
        },
        Usage {
            customer: CUSTOMER_LIMIT - 1,
            plan: 0,
            units: -3.0,
        },
    ];
    let body = message(usages.clone()).encode();
    assert_eq!(body[..10], [2, 1, 7, 0, 0, 0, 0, 1, 225, 0]);
    assert_eq!(Message::decode(&body), Ok(message(usages)));
}

#[test]
fn a_message_has_at_most_256_bytes() {
    let usage = Usage {
        customer: 1,
        plan: 0,
        units: 1.0,
    };
    assert_eq!(message(vec![usage; 100]).encode().len(), 250);
}

/// Arbitrary bytes, or a message of another version, can arrive at the gossip port. They must not change any quota.
#[test]
fn each_invalid_message_is_rejected_with_its_error() {
    let valid = message(vec![Usage {
        customer: 7,
        plan: 0,
        units: 1.0,
    }])
    .encode();
    let changed = |at: usize, to: u8| {
        let mut body = valid.clone();
        body[at] = to;
        Message::decode(&body)
    };
    assert_eq!(Message::decode(&[2]), Err(DecodeError::Truncated));
    assert_eq!(changed(0, 3), Err(DecodeError::UnknownVersion(3)));
    assert_eq!(changed(1, 2), Err(DecodeError::InvalidFlag(2)));
    assert_eq!(
        Message::decode(&valid[..9]),
        Err(DecodeError::InvalidLength(7))
    );
    assert_eq!(
        changed(6, 2),
        Err(DecodeError::InvalidCustomer(7 + (2 << 32)))
    );
}

#[test]
fn unsent_usage_is_summed_by_customer_and_split_into_messages() {
    let mut unsent = UnsentUsage::default();
    for customer in 0..40 {
        unsent.add(customer, 0, 1.0);
        unsent.add(customer, 0, 0.5);
    }
    let first = unsent.take_for_message();
    assert_eq!(first.len(), MAX_USAGES);
    assert_eq!(
        first[3],
        Usage {
            customer: 3,
            plan: 0,
            units: 1.5
        }
    );
    assert_eq!(unsent.take_for_message().len(), 40 - MAX_USAGES);
    assert!(unsent.is_empty());
}
