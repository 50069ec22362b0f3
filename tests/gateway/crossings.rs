//! What happens between two steps: the played peer stops exactly there.

use crate::stand_ins::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A backend to which no connection comes up until `let_in`: its queue is full.
struct Stalled {
    socket: Socket,
    addr: SocketAddr,
    _filler: TcpStream,
}

impl Stalled {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let addr = socket.local_addr().unwrap().as_socket().unwrap();
        Stalled { socket, addr, _filler: TcpStream::connect(addr).unwrap() }
    }

    /// Connections that wait to come up, as the system has it.
    fn waiting(&self) -> usize {
        let port = format!(":{:04X}", self.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
        rows.filter(|row| row[2].ends_with(&port) && row[3] == "02").count()
    }

    fn wait_for(&self, number: usize) {
        let start = Instant::now();
        while self.waiting() != number {
            assert!(start.elapsed() < TEST_TIMEOUT, "{} connections wait", self.waiting());
            std::thread::yield_now();
        }
    }

    /// Lets the next connection come up.
    fn let_in(&self) -> TcpStream {
        drop(self.socket.accept().unwrap());
        self.socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.socket.accept().unwrap().0.into()
    }
}

/// Connections come up whenever they like, here.
fn patient(backends: &[SocketAddr], discovery: SocketAddr) -> serde_json::Value {
    let mut config = config(backends, start_counter(Arc::default()), discovery);
    config["settings"]["limits"]["connect-timeout-ms"] = 20_000.into();
    config["settings"]["categories"][2]["aim-ms"] = 4000.into();
    config
}

/// Told to drain while the connection comes up, a backend gets nothing on it; another one does.
#[test]
fn a_drain_told_while_connecting_is_kept() {
    let stalled = Stalled::new();
    let (two, _) = healthy_endpoint();
    let discovery = Discovery::new();
    let gateway = Gateway::new(&patient(&[stalled.addr], discovery.addr));
    let (_, mut watch) = discovery.next_watch();
    let mut open = gateway.connect();
    open.get_mut().write_all(post_request("once", "", "x").as_bytes()).unwrap();
    stalled.wait_for(1);
    let bad = serde_json::json!({"id": 7});
    let servers =
        serde_json::json!([bad, list_entry(0, stalled.addr, "Terminating"), list_entry(1, two, "Ready")]);
    push_update(
        &mut watch,
        &serde_json::json!({"version": 8, "full": false, "servers": servers}).to_string(),
    );
    gateway.wait_for_log("an entry of the list");
    let mut late = stalled.let_in();
    assert_eq!(read_message(&mut open).unwrap().body, b"stock: 12");
    late.set_nonblocking(true).unwrap();
    assert!(late.read(&mut [0]).map_or(true, |bytes| bytes == 0), "sent to a draining backend");
}

/// Bytes that the system has not handed over yet.
fn queued(client: &TcpStream) -> usize {
    let port = format!(":{:04X}", client.local_addr().unwrap().port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row[1].ends_with(&port)).expect("the client's connection");
    usize::from_str_radix(row[4].split(':').next().unwrap(), 16).unwrap()
}

/// A client that leaves while a connection comes up takes its request along, however it leaves, and though what is
/// sent may not be withdrawn here.
#[test]
fn a_client_that_leaves_while_connecting_ends_its_attempt() {
    let stalled = Stalled::new();
    let discovery = Discovery::new();
    let mut config = patient(&[stalled.addr], discovery.addr);
    config["settings"]["limits"]["cancel"] = false.into();
    let gateway = Gateway::new(&config);
    let close = |client: TcpStream| drop(client);
    let reset = |client: TcpStream| {
        SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    };
    let mut kept = Vec::new();
    let mut half_close = |client: TcpStream| {
        client.shutdown(Shutdown::Write).unwrap();
        kept.push(client);
    };
    let many = |bytes: usize| get_request(1, 1, 3000).repeat(bytes / get_request(1, 1, 3000).len());
    let ahead =
        [get_request(1, 1, 3000), get_request(1, 1, 3000).repeat(200), "noise".to_owned(), many(300_000)];
    let leave: [(&str, &mut dyn FnMut(TcpStream)); 8] = [
        ("", &mut { close }),
        ("", &mut { reset }),
        ("", &mut half_close),
        (&ahead[0], &mut { close }),
        (&ahead[1], &mut { reset }),
        (&ahead[2], &mut { close }),
        (&ahead[3], &mut { close }),
        (&ahead[3], &mut { reset }),
    ];
    for (number, (ahead, leave)) in leave.into_iter().enumerate() {
        let mut client = TcpStream::connect(gateway.addr).unwrap();
        client.write_all((post_request("once", "", "x") + ahead).as_bytes()).unwrap();
        stalled.wait_for(1);
        // What was sent ahead has arrived: a client that goes before it has all been sent is not seen to go.
        let start = Instant::now();
        while queued(&client) > 0 {
            assert!(start.elapsed() < TEST_TIMEOUT, "{number}: {} bytes wait", queued(&client));
            std::thread::yield_now();
        }
        let start = Instant::now();
        leave(client);
        stalled.wait_for(0);
        assert!(start.elapsed() < Duration::from_millis(1500), "{number}: {:?}", start.elapsed());
    }
}

/// Requests sent at once on one connection are answered one after the other, each with its own answer.
#[test]
fn requests_sent_at_once_are_answered_in_turn() {
    let backend = start_server(|m| Reply::Send(response(200, "", &m.headers["x-txn"])));
    let gateway = Gateway::new(&config_with_silent_discovery(&[backend]));
    let mut client = gateway.connect();
    let texts: Vec<_> = (1..=50).map(|customer| get_request(customer, 1, 3000)).collect();
    client.get_mut().write_all(texts.concat().as_bytes()).unwrap();
    for customer in 1..=50 {
        assert_eq!(
            read_message(&mut client).expect("an answer").body,
            format!("0000{customer:012x}").as_bytes()
        );
    }
}

/// A client that leaves while the counter is asked takes its request along: the next one, which waits as long from
/// later on, is all that the backend gets.
#[test]
fn a_client_that_leaves_while_the_counter_is_asked_is_not_sent_for() {
    let (backend, got) = healthy_endpoint();
    let (called, calls) = channel();
    let silent = start_server(move |_| {
        let _ = called.send(());
        Reply::StaySilent(channel().0)
    });
    let discovery = Discovery::new();
    let mut config = config(&[backend], silent, discovery.addr);
    // The longest wait for the counter is a part of the aim.
    config["settings"]["categories"][2]["aim-ms"] = 4000.into();
    config["settings"]["domain"]["counter-timeout-ms"] = 20_000.into();
    let gateway = Gateway::new(&config);
    let mut client = TcpStream::connect(gateway.addr).unwrap();
    client.write_all(post_request("once", "", "left").as_bytes()).unwrap();
    calls.recv_timeout(TEST_TIMEOUT).expect("a call to the counter");
    drop(client);
    let stays = post_request("once", "", "stays").replace("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42");
    assert_eq!(gateway.exchange(&stays).status(), 200);
    let bodies: Vec<_> = got.lock().unwrap().iter().map(|m| m.body.clone()).collect();
    assert_eq!(bodies, [b"stays"]);
}

/// The time that an attempt tells its backend is what is left when it is sent, however late its connection comes up.
#[test]
fn an_attempt_tells_the_time_that_is_left_when_it_is_sent() {
    let stalled = Stalled::new();
    let gateway = Gateway::new(&patient(&[stalled.addr], Discovery::new().addr));
    let mut open = gateway.connect();
    open.get_mut().write_all(post_request("once", "", "x").as_bytes()).unwrap();
    stalled.wait_for(1);
    std::thread::sleep(Duration::from_millis(800));
    let late = stalled.let_in();
    let message = read_message(&mut BufReader::new(late)).expect("a request");
    let left: u64 = message.headers["x-remaining-ms"].parse().unwrap();
    assert!(left <= 2200, "{left} ms of 3000 are left after 800");
}
