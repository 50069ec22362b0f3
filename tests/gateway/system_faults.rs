//! System calls that fail for a moment, as Linux documents it.

use crate::stand_ins::*;
use std::io::Write;
use std::time::Duration;

/// A connection that the system has accepted stays in its queue when accepting it fails, and is served after that,
/// also at the end of the listener.
#[test]
fn a_failure_to_accept_at_the_end_of_the_listener_loses_no_client() {
    for faults in ["accept_abort=500", "accept_full=500", "accept_abort=700,accept_full=300,seed=7"] {
        let (endpoint, _) = healthy_endpoint();
        let mut gateway = Gateway::with_faults(&config_with_silent_discovery(&[endpoint]), faults);
        gateway.signal("-TERM");
        let mut unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        while unready.status() == 200 {
            unready = gateway.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        // Suspended beyond the end of the accept period, the program finds waiting clients when that has passed.
        gateway.signal("-STOP");
        let mut opens: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
        for (customer, open) in opens.iter_mut().enumerate() {
            open.get_mut().write_all(get_request(customer as u64, 1, 3000).as_bytes()).unwrap();
        }
        std::thread::sleep(Duration::from_millis(800));
        gateway.signal("-CONT");
        let statuses: Vec<_> =
            opens.iter_mut().map(|open| read_message(open).map(|answer| answer.status())).collect();
        assert_eq!(statuses, [Some(200); 40], "{faults}");
        assert!(gateway.child.wait().unwrap().success());
    }
}
