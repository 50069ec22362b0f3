use super::*;
use crate::api::{Class, Plan};

/// Location to which attempts are sent.
const LOCATION: Location = Location { zone: 2, cell: 5 };

fn request(id: RequestId) -> Request {
    Request {
        id,
        customer: 1,
        plan: 0,
        class: 0,
        units: 1.0,
        timeout_ms: 300.0,
        gateway_set_size: 1.0,
        is_retry: false,
    }
}

fn try_open(request: Request) -> Result<OpenRequest, InvalidRequest> {
    let classes = vec![Class {
        latency_objective_ms: 500.0,
        ..Class::default()
    }];
    let settings = Settings {
        classes,
        plans: vec![Plan::default()],
        ..Settings::default()
    };
    OpenRequest::new(request, &settings, 1000.0)
}

fn new_open_request(request: Request) -> OpenRequest {
    try_open(request).unwrap_or_else(|invalid| panic!("{invalid:?}"))
}

fn open_request_with_attempt() -> OpenRequest {
    let mut open_request = new_open_request(request(1));
    open_request.attempts.push(Attempt {
        endpoint: 7,
        location: LOCATION,
        started_at: 1000.0,
        endpoint_in_flight: 1.0,
        in_flight: true,
    });
    open_request
}

fn attempt_end(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        id: 1,
        attempt: 0,
        endpoint: 7,
        outcome,
        request_answered: false,
        actual_units: None,
        elapsed_ms: 5.0,
    }
}

#[test]
fn a_request_is_opened_only_if_its_class_and_plan_are_known_and_time_is_left() {
    let valid = new_open_request(request(1));
    assert_eq!((valid.deadline, valid.objective_deadline), (1300.0, 1300.0));
    let unknown_class = Request {
        class: 1,
        ..request(1)
    };
    let unknown_plan = Request {
        plan: 1,
        ..request(1)
    };
    let no_time_left = Request {
        timeout_ms: f64::NAN,
        ..request(1)
    };
    for (request, expected) in [
        (unknown_class, InvalidRequest::UnknownClass),
        (unknown_plan, InvalidRequest::UnknownPlan),
        (no_time_left, InvalidRequest::NoTimeLeft),
    ] {
        assert_eq!(try_open(request).err(), Some(expected));
    }
    let infinite_units = Request {
        units: f64::INFINITY,
        ..request(1)
    };
    assert_eq!(new_open_request(infinite_units).request.units, 0.0);
}

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let mut open_request = open_request_with_attempt();
    assert!(open_request
        .end_attempt(&attempt_end(Outcome::Timeout))
        .is_some());
    assert!(open_request
        .end_attempt(&attempt_end(Outcome::Timeout))
        .is_none());
    assert!(open_request
        .end_attempt(&AttemptEnd {
            attempt: 9,
            ..attempt_end(Outcome::Timeout)
        })
        .is_none());
    assert_eq!(
        open_request
            .first_possible_execution
            .map(|first| first.location),
        Some(LOCATION)
    );
}

#[test]
fn an_attempt_that_was_not_sent_counts_neither_as_sent_nor_as_executed() {
    let mut open_request = open_request_with_attempt();
    open_request.end_attempt(&attempt_end(Outcome::NotSent));
    assert!(open_request.was_never_sent() && open_request.first_possible_execution.is_none());
}

#[test]
fn a_request_is_removed_once_it_is_closed_and_its_attempts_have_ended() {
    let mut requests = OpenRequests::default();
    requests.insert(open_request_with_attempt());
    requests.update(1, |open_request| open_request.closed = true);
    assert!(requests.contains(1));
    requests.update(1, |open_request| {
        open_request.end_attempt(&attempt_end(Outcome::Cancelled));
    });
    assert!(!requests.contains(1));
}
