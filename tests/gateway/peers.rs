//! Gossip between gateways.

use crate::stand_ins::*;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Datagrams reach the gossip port from addresses that are not gateways, or exceed the maximum message size. If they
/// were accepted, anyone could get customers rejected for units that they never used. Both must be dropped: only the
/// customer that a configured gateway reported must be rejected.
#[test]
fn gossip_from_unknown_addresses_and_oversized_messages_are_dropped() {
    let (endpoint, _) = healthy_endpoint();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gossip_addr = {
        // A free port: the socket is closed again at the end of this block.
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    };
    let mut config = config_with_silent_discovery(&[endpoint]);
    config["settings"]["balancers"] = 2.into();
    config["peer_listen"] = gossip_addr.to_string().into();
    config["peers"] = serde_json::json!([gossip_addr, peer.local_addr().unwrap()]);
    config["peers_all"] = peer.local_addr().unwrap().to_string().into();
    let gateway = Gateway::new(&config);
    // The message says that the shared counter was short of capacity, and that the customer used four units at the
    // sender.
    let message = |customer: u64| {
        [
            &[2, 1],
            &customer.to_le_bytes()[..5],
            &[0],
            &400i16.to_le_bytes()[..],
        ]
        .concat()
    };
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    unknown_sender.send_to(&message(1), gossip_addr).unwrap();
    peer.send_to(&[message(2), vec![0; 300]].concat(), gossip_addr)
        .unwrap();
    peer.send_to(&message(3), gossip_addr).unwrap();
    // A shortage of the counter makes the gateway gossip as well, so a message from the gateway shows that the peer's
    // message was handled.
    let start = Instant::now();
    peer.set_nonblocking(true).unwrap();
    let mut customer = 100;
    while peer.recv(&mut [0; 300]).is_err() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the gateway sends no gossip"
        );
        customer += 1;
        assert_eq!(gateway.get(customer, 1).status(), 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        [1, 2, 3].map(|customer| gateway.get(customer, 2).status()),
        [200, 200, 429]
    );
}
