//! Tests an endpoint that closes its connection between the choice of the connection and the first byte of the request.

use super::{
    Connection, EncodedRequest, MemoryBudget, OpenConnections, OutgoingRequest, WriteResult,
};
use crate::socket::{PeekResult, Socket};
use crate::upstream::Preparation;
use quota_gateway::Outcome;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use tokio::net::TcpStream;

/// A request whose endpoint closes the connection while the request is being prepared.
struct ClosedWhilePreparing {
    endpoint: RefCell<Option<std::net::TcpStream>>,
    connection: Socket,
}

impl OutgoingRequest for ClosedWhilePreparing {
    fn prepare(&self) -> Option<Preparation<'_>> {
        Some(Box::pin(async {
            drop(self.endpoint.take());
            while self.connection.peek() != PeekResult::EndOfStream {
                tokio::task::yield_now().await;
            }
        }))
    }

    fn check_before_write(&self) -> Option<Outcome> {
        None
    }

    fn encode(&self) -> EncodedRequest {
        EncodedRequest {
            head: b"POST / HTTP/1.1\r\n\r\n".to_vec(),
            body: Rc::default(),
        }
    }
}

/// An endpoint closes an idle connection while a request is being prepared for it. If the request were written on that
/// connection, its attempt would end as a reset and might have been executed, so a request that is not idempotent would
/// fail. Nothing must be written.
#[tokio::test]
async fn nothing_is_written_on_a_connection_closed_during_preparation() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (endpoint, _) = listener.accept().unwrap();
    let socket = Socket::new(stream);
    let permit = OpenConnections::default().acquire();
    let connection = Connection::new(socket.clone(), permit, MemoryBudget::new(usize::MAX));
    let request = ClosedWhilePreparing {
        endpoint: RefCell::new(Some(endpoint)),
        connection: socket,
    };
    let written = connection.write(&request).await;
    assert!(
        !matches!(written, Ok(WriteResult::Complete)),
        "the request was written on a closed connection"
    );
}
