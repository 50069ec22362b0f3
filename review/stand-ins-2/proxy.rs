//! A network between two rooms: each byte arrives some time after it was sent.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{serve, spawn};

/// Starts a proxy to `target` that delays the bytes of both directions.
pub fn start(target: SocketAddr, one_way: Duration) -> io::Result<SocketAddr> {
    serve(move |client| {
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let _ = server.set_nodelay(true);
        let copies = (
            client
                .try_clone()
                .and_then(|client| Ok((client, server.try_clone()?))),
            server
                .try_clone()
                .and_then(|server| Ok((server, client.try_clone()?))),
        );
        if let (Ok((from_client, to_server)), Ok((from_server, to_client))) = copies {
            spawn(move || delay(from_client, to_server, one_way));
            delay(from_server, to_client, one_way);
        }
    })
}

/// Copies one direction of a connection.
fn delay(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    let writer = spawn(move || {
        for (sent_at, bytes) in receiver {
            thread::sleep((sent_at + one_way).saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if sender
            .send((Instant::now(), buffer[..count].to_vec()))
            .is_err()
            || count == 0
        {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
}
