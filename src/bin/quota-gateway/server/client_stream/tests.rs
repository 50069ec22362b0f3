//! The end of a client's connection is seen behind bytes that nobody reads.

use super::{ClientStream, ReadAheadBudget, DISCONNECT_POLL_INTERVAL};
use crate::server::client::Client;
use crate::server::read_ahead::MAX_TOTAL_BYTES;
use crate::socket::Socket;
use std::future::poll_fn;
use std::io::Write;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A client, and its stream here, with no room left for what it sends ahead.
fn connect_without_room() -> (std::net::TcpStream, ClientStream, ReadAheadBudget) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let budget = ReadAheadBudget::default();
    budget.add(MAX_TOTAL_BYTES);
    let socket = Socket::new(TcpStream::from_std(stream).unwrap());
    let stream = ClientStream::new(socket, Rc::new(Client::new(None)), budget.clone());
    (client, stream, budget)
}

/// With no room for what it sent ahead, a client that closes its side or breaks off is seen to go, and one that
/// stays is not. On the paused clock; what a socket has sent on loopback has arrived.
#[tokio::test(start_paused = true)]
async fn a_disconnect_is_seen_behind_bytes_that_nobody_reads() {
    for reset in [false, true] {
        let (mut client, stream, budget) = connect_without_room();
        client.write_all(b"GET /look").unwrap();
        let disconnected = || poll_fn(|cx| stream.poll_disconnected(cx));
        assert!(
            timeout(20 * DISCONNECT_POLL_INTERVAL, disconnected())
                .await
                .is_err(),
            "it has not gone"
        );
        if reset {
            socket2::SockRef::from(&client)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            drop(client);
        } else {
            client.shutdown(Shutdown::Write).unwrap();
        }
        timeout(3 * DISCONNECT_POLL_INTERVAL, disconnected())
            .await
            .expect("it has gone");
        assert_eq!(budget.used(), MAX_TOTAL_BYTES, "nothing was read");
    }
}

/// Also behind more than the system's buffers hold, where the system itself can't know of the end.
#[tokio::test]
async fn a_disconnect_is_seen_behind_megabytes_though_the_budget_is_used_up() {
    let (mut client, stream, budget) = connect_without_room();
    let sending = std::thread::spawn(move || client.write_all(&vec![b'x'; 4 << 20]));
    let disconnected = poll_fn(|cx| stream.poll_disconnected(cx));
    timeout(Duration::from_secs(10), disconnected)
        .await
        .expect("it has gone");
    assert!(sending.join().unwrap().is_ok(), "all of it was read");
    assert_eq!(budget.used(), MAX_TOTAL_BYTES, "nothing was kept");
}
