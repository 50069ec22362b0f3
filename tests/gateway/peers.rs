//! Gossip between gateways.

use crate::stand_ins::*;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Datagrams reach the gossip port from addresses that are no gateways, or longer than any message may be. Were they
/// believed, anyone could have customers rejected for units that they never used. Both are dropped: only the customer
/// that a gateway reported is rejected.
#[test]
fn gossip_from_strangers_and_oversized_messages_are_dropped() {
    let (endpoint, _) = healthy_endpoint();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = {
        // A port that was free a moment ago.
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    };
    let mut config = config_with_silent_discovery(&[endpoint]);
    config["settings"]["balancers"] = 2.into();
    config["peer_listen"] = at.to_string().into();
    config["peers"] = serde_json::json!([at, peer.local_addr().unwrap()]);
    config["peers_all"] = peer.local_addr().unwrap().to_string().into();
    let gateway = Gateway::new(&config);
    // The counter has no capacity, and the customer used four units at the gateway that sends this.
    let message = |customer: u64| {
        [
            &[2, 1],
            &customer.to_le_bytes()[..5],
            &[0],
            &400i16.to_le_bytes()[..],
        ]
        .concat()
    };
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(&message(1), at).unwrap();
    peer.send_to(&[message(2), vec![0; 300]].concat(), at)
        .unwrap();
    peer.send_to(&message(3), at).unwrap();
    // From then on the gateway gossips, too: the message has been handled once this reply to it arrives.
    let start = Instant::now();
    peer.set_nonblocking(true).unwrap();
    let mut customer = 100;
    while peer.recv(&mut [0; 300]).is_err() {
        assert!(start.elapsed() < TEST_TIMEOUT, "the gateway never gossips");
        customer += 1;
        assert_eq!(gateway.get(customer, 1).status(), 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        [1, 2, 3].map(|customer| gateway.get(customer, 2).status()),
        [200, 200, 429]
    );
}
