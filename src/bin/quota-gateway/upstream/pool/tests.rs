//! Tests when a connection is reused.

use super::{Connection, ConnectionPool, Instance, MemoryBudget, Socket, Target};
use std::time::Duration;
use tokio::net::TcpStream;

/// An endpoint sends two responses to one request, the second some milliseconds late. If it were read as the response
/// to the next request, it would reach another client. The connection must stay unused until the second response would
/// have arrived. The clock is paused, and only the test advances it.
#[tokio::test(start_paused = true)]
async fn a_connection_is_not_reused_until_a_late_second_response_would_have_arrived() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let memory = MemoryBudget::new(usize::MAX);
    let pool = ConnectionPool::new(8, 250.0, 30_000.0, memory.clone());
    let instance = Instance {
        addr,
        started_ms: 0.0,
    };
    pool.set_instance(1, instance);
    let stream = std::net::TcpStream::connect(addr).unwrap();
    stream.set_nonblocking(true).unwrap();
    let connection = Connection::new(
        Socket::new(TcpStream::from_std(stream).unwrap()),
        pool.open.acquire(),
        memory,
    );
    pool.put_back(
        Target {
            endpoint: 1,
            instance,
        },
        connection,
    );
    tokio::time::advance(Duration::from_millis(8)).await;
    assert!(
        pool.take_idle(1).is_none(),
        "a second response may still be on its way"
    );
    tokio::time::advance(Duration::from_millis(4)).await;
    assert!(pool.take_idle(1).is_some());
}
