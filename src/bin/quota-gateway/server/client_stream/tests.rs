//! A client's disconnect is noticed behind bytes that nobody reads.

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

/// A client and the server's stream of it, with the budget for bytes sent ahead used up.
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

/// The budget for bytes sent ahead is used up, so a client's bytes stay unread, and it closes its side or resets the
/// connection. Unnoticed, its request would be sent on for nobody. The disconnect is noticed without reading, and a
/// client that stays is not taken for one that left. On the paused clock; bytes on loopback arrive at once.
#[tokio::test(start_paused = true)]
async fn a_disconnect_is_noticed_behind_unread_bytes() {
    for reset in [false, true] {
        let (mut client, stream, budget) = connect_without_room();
        client.write_all(b"GET /look").unwrap();
        let disconnected = || poll_fn(|cx| stream.poll_disconnected(cx));
        assert!(
            timeout(20 * DISCONNECT_POLL_INTERVAL, disconnected())
                .await
                .is_err(),
            "it has not disconnected"
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
            .expect("it has disconnected");
        assert_eq!(budget.used(), MAX_TOTAL_BYTES, "nothing was read");
    }
}

/// The same, with more unread than the system's buffers hold: the system itself does not know of the end. The bytes are
/// read and discarded up to the end, and the disconnect is noticed.
#[tokio::test]
async fn a_disconnect_is_noticed_behind_megabytes_though_the_budget_is_used_up() {
    let (mut client, stream, budget) = connect_without_room();
    let sending = std::thread::spawn(move || client.write_all(&vec![b'x'; 4 << 20]));
    let disconnected = poll_fn(|cx| stream.poll_disconnected(cx));
    timeout(Duration::from_secs(10), disconnected)
        .await
        .expect("it has disconnected");
    assert!(sending.join().unwrap().is_ok(), "all of it was read");
    assert_eq!(budget.used(), MAX_TOTAL_BYTES, "nothing was kept");
}
