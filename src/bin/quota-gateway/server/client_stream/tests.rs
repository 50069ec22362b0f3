//! Tests that a client's disconnect is detected after bytes that are not read.

use super::{ClientStream, ReadAheadBudget, DISCONNECT_POLL_INTERVAL};
use crate::memory::MemoryBudget;
use crate::server::client::Client;
use crate::socket::Socket;
use std::future::poll_fn;
use std::io::Write;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Memory limit of the process, and the part of it that pipelined bytes may take.
const MEMORY_LIMIT: usize = 32 << 20;
const MAX_READ_AHEAD: usize = 24 << 20;

/// Returns a client and the server's stream of it, with the read-ahead budget used up.
fn connect_without_budget() -> (std::net::TcpStream, ClientStream, ReadAheadBudget) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let memory = MemoryBudget::new(MEMORY_LIMIT);
    let budget = ReadAheadBudget::new(&memory);
    budget.add(memory.max_read_ahead());
    assert_eq!(budget.used(), MAX_READ_AHEAD);
    let socket = Socket::new(TcpStream::from_std(stream).unwrap());
    let stream = ClientStream::new(socket, Rc::new(Client::new(None)), budget.clone());
    (client, stream, budget)
}

/// Guards against forwarding requests of a client that has closed its side or reset the connection, while the
/// read-ahead budget is used up and bytes of the client are unread. The disconnect is detected without reading, and a
/// client that stays connected is not mistaken for a disconnected one. Uses the paused clock; bytes on loopback arrive
/// at once.
#[tokio::test(start_paused = true)]
async fn a_disconnect_is_detected_after_unread_bytes() {
    for reset in [false, true] {
        let (mut client, stream, budget) = connect_without_budget();
        client.write_all(b"GET /look").unwrap();
        let disconnected = || poll_fn(|cx| stream.poll_disconnected(cx));
        assert!(
            timeout(20 * DISCONNECT_POLL_INTERVAL, disconnected())
                .await
                .is_err(),
            "the client has not disconnected"
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
            .expect("the client has disconnected");
        assert_eq!(budget.used(), MAX_READ_AHEAD, "nothing was read");
    }
}

/// Guards against the same failure with more unread bytes than the system's buffers hold, so that the system itself
/// does not know of the disconnect. The bytes are read and discarded up to the end, and the disconnect is detected.
#[tokio::test]
async fn a_disconnect_is_detected_after_megabytes_with_the_budget_used_up() {
    let (mut client, stream, budget) = connect_without_budget();
    let sending = std::thread::spawn(move || client.write_all(&vec![b'x'; 4 << 20]));
    let disconnected = poll_fn(|cx| stream.poll_disconnected(cx));
    timeout(Duration::from_secs(10), disconnected)
        .await
        .expect("the client has disconnected");
    assert!(sending.join().unwrap().is_ok(), "all bytes were read");
    assert_eq!(budget.used(), MAX_READ_AHEAD, "nothing was buffered");
}
