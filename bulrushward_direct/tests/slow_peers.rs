//! Tests of routers whose peers send their state slowly.

mod support;

use std::{
    io,
    net::{IpAddr, SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use support::{
    FLEET_STATE_PORT, TestRouter, config,
    platform::MemoryStore,
    server::{Step, TestServer, send_text},
    unique_loopback_ip, wait_until,
};

const DATAGRAM_PORT: u16 = 7_340;
/// Time for which the state of the peer is on its way.
const TRANSFER_TIME: Duration = Duration::from_secs(2);
/// Longest time between two datagrams of a router, whose rounds are 250 ms apart.
const MAX_GAP: Duration = Duration::from_millis(750);

/// A socket that receives and sends the datagrams of a peer.
fn datagram_socket(ip: IpAddr) -> UdpSocket {
    let socket = UdpSocket::bind((ip, DATAGRAM_PORT)).expect("the address is free");
    let timeout = Some(Duration::from_millis(50));
    socket.set_read_timeout(timeout).expect("it can be set");
    socket
}

/// Returns the next datagram if it is there already and comes from a router.
fn receive(socket: &UdpSocket, router: IpAddr) -> Option<Vec<u8>> {
    let mut buf = vec![0; 64 << 10];
    match socket.recv_from(&mut buf) {
        Ok((len, from)) => (from.ip() == router).then(|| buf[..len].to_vec()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        Err(error) => panic!("the datagrams cannot be read: {error}"),
    }
}

/// Returns the bytes of an address in a datagram.
fn octets(ip: IpAddr) -> [u8; 4] {
    match ip {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => unreachable!("tests use loopback addresses of version 4"),
    }
}

// Guards against routers that neither send nor read datagrams while they fetch a large state over a thin link.
#[test]
fn datagrams_are_exchanged_while_the_state_of_a_peer_arrives() {
    let store = MemoryStore::with(config(1));
    let [peer, other, ip] = std::array::from_fn(|_| unique_loopback_ip());
    let socket = datagram_socket(peer);
    // The datagram of another router, told by the peer as its own.
    let mut datagram = {
        let _other = TestRouter::start_at(other, &store, &[peer]);
        let mut received = None;
        wait_until("the other router sends a datagram", || {
            received = receive(&socket, other);
            received.is_some()
        });
        received.expect("it was received")
    };
    for at in 0..datagram.len() - 3 {
        if datagram[at..at + 4] == octets(other) {
            datagram[at..at + 4].copy_from_slice(&octets(peer));
        }
    }
    let state = TestServer::start_at(SocketAddr::new(peer, FLEET_STATE_PORT), "peer", |_| {
        let pause = Duration::from_millis(50);
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n";
        let mut steps = vec![send_text(head)];
        for _ in 0..TRANSFER_TIME.as_millis() / pause.as_millis() {
            steps.extend([Step::Send(vec![0; 20_000]), Step::Pause(pause)]);
        }
        steps.push(Step::Close);
        steps
    });
    let _router = TestRouter::start_at(ip, &store, &[peer]);
    wait_until("the state is asked for", || {
        let to = SocketAddr::new(ip, DATAGRAM_PORT);
        socket.send_to(&datagram, to).expect("it can be sent");
        let _sent = receive(&socket, ip);
        !state.received().is_empty()
    });
    let begun = Instant::now();
    let (mut last, mut longest) = (begun, Duration::ZERO);
    while begun.elapsed() < TRANSFER_TIME {
        if receive(&socket, ip).is_some() {
            last = Instant::now();
        }
        longest = longest.max(last.elapsed());
    }
    assert!(longest < MAX_GAP, "no datagram for {longest:?}");
}
