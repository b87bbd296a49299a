//! Tests of the proxy and its faults, on plain TCP.

use std::{net::SocketAddr, time::Duration};

use bulrushward_fakes::{Direction, FaultyProxy, NetworkFault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, timeout},
};

/// Period in which no bytes may arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Connections that are opened after another one; closing them takes longer than it takes to read an end.
const NEWER_CONNECTIONS: usize = 60;

/// Starts an echo server and a proxy to it.
async fn start() -> FaultyProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = connection.split();
                let _copied = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    FaultyProxy::start(target).unwrap()
}

async fn connect(address: SocketAddr) -> TcpStream {
    let mut connection = TcpStream::connect(address).await.unwrap();
    echo(&mut connection).await;
    connection
}

async fn echo(connection: &mut TcpStream) {
    connection.write_all(b"ping").await.unwrap();
    let mut response = [0; 4];
    connection.read_exact(&mut response).await.unwrap();
    assert_eq!(&response, b"ping");
}

async fn assert_nothing_received(connection: &mut TcpStream) {
    connection.write_all(b"ping").await.unwrap();
    let read = timeout(QUIET_PERIOD, connection.read_u8()).await;
    assert!(read.is_err(), "{read:?}");
}

#[tokio::test]
async fn stall_affects_existing_connections_only() {
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let proxy = start().await;
        let mut old = connect(proxy.address()).await;
        proxy.stall(direction);
        assert_nothing_received(&mut old).await;
        let mut new = connect(proxy.address()).await;
        proxy.restore().await;
        assert_nothing_received(&mut old).await;
        echo(&mut new).await;
        assert_eq!((proxy.connections(), proxy.accepted()), (2, 2));
    }
}

#[tokio::test]
async fn hang_holds_back_bytes_until_it_ends() {
    let proxy = start().await;
    let mut connection = connect(proxy.address()).await;
    proxy
        .set_fault(NetworkFault {
            hang: true,
            ..NetworkFault::default()
        })
        .await;
    assert_nothing_received(&mut connection).await;
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert_nothing_received(&mut new).await;
    proxy.restore().await;
    for connection in [&mut connection, &mut new] {
        let mut response = [0; 4];
        connection.read_exact(&mut response).await.unwrap();
        echo(connection).await;
    }
}

#[tokio::test]
async fn proxy_listens_on_the_same_port_after_refusing_connections() {
    let proxy = start().await;
    let mut old = connect(proxy.address()).await;
    for _ in 0..3 {
        proxy
            .set_fault(NetworkFault {
                refuse: true,
                ..NetworkFault::default()
            })
            .await;
        let error = TcpStream::connect(proxy.address()).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
        echo(&mut old).await;
        proxy.restore().await;
        connect(proxy.address()).await;
    }
}

#[tokio::test]
async fn close_connections_ends_existing_connections() {
    let proxy = start().await;
    let mut old = connect(proxy.address()).await;
    proxy.close_connections();
    assert_eq!(old.read(&mut [0; 4]).await.unwrap(), 0);
    connect(proxy.address()).await;
}

/// Guards against ends of connections that no killed process makes: a reset, or a close before the listener is closed.
#[tokio::test]
async fn connections_of_a_proxy_that_is_taken_down_are_closed_in_order() {
    let proxy = start().await;
    let mut old = [
        connect(proxy.address()).await,
        connect(proxy.address()).await,
    ];
    proxy.take_down().await;
    for connection in &mut old {
        assert_eq!(connection.read(&mut [0; 4]).await.unwrap(), 0);
    }
    let error = TcpStream::connect(proxy.address()).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}

/// Guards against a cut that looks like the end of one response: who reads it must find the other connections closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_closes_newer_connections_first() {
    let proxy = start().await;
    let mut old = connect(proxy.address()).await;
    let mut newer = Vec::new();
    for _ in 0..NEWER_CONNECTIONS {
        newer.push(connect(proxy.address()).await.into_std().unwrap());
    }
    let reader = tokio::spawn(async move {
        let count = old.read(&mut [0; 4]).await.unwrap();
        let open = newer
            .iter()
            .filter(|other| other.peek(&mut [0; 4]).is_err());
        (count, open.count())
    });
    // Lets the reader wait first.
    tokio::task::yield_now().await;
    proxy.close_connections();
    assert_eq!(reader.await.unwrap(), (0, 0));
}

#[tokio::test]
async fn delay_applies_in_both_directions() {
    let proxy = start().await;
    let mut connection = connect(proxy.address()).await;
    let delay = Duration::from_millis(50);
    proxy
        .set_fault(NetworkFault {
            delay,
            ..NetworkFault::default()
        })
        .await;
    let started = Instant::now();
    echo(&mut connection).await;
    assert!(started.elapsed() >= 2 * delay);
}

#[tokio::test]
async fn disconnected_caller_ends_the_connection() {
    let proxy = start().await;
    drop(connect(proxy.address()).await);
    while proxy.connections() > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn bytes_that_are_held_back_are_delivered_late() {
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let proxy = start().await;
        let mut connection = connect(proxy.address()).await;
        proxy.set_fault(hold(direction)).await;
        connection.write_all(b"late").await.unwrap();
        let mut response = [0; 4];
        let early = timeout(QUIET_PERIOD, connection.read_exact(&mut response));
        assert!(early.await.is_err(), "{direction:?}");
        proxy.restore().await;
        connection.read_exact(&mut response).await.unwrap();
        assert_eq!(&response, b"late");
    }
}

/// A network that holds bytes back delivers them after their sender has closed its connection, unless it was reset.
#[tokio::test]
async fn bytes_that_are_held_back_are_discarded_by_a_reset_only() {
    for is_reset in [false, true] {
        let (proxy, received) = start_recorder().await;
        let mut connection = TcpStream::connect(proxy.address()).await.unwrap();
        proxy.set_fault(hold(Direction::ToTarget)).await;
        connection.write_all(b"late").await.unwrap();
        tokio::time::sleep(QUIET_PERIOD).await;
        if is_reset {
            connection.set_zero_linger().unwrap();
        }
        drop(connection);
        tokio::time::sleep(QUIET_PERIOD).await;
        proxy.restore().await;
        let expected: &[u8] = if is_reset { b"" } else { b"late" };
        assert_eq!(received.await.unwrap(), expected);
    }
}

fn hold(direction: Direction) -> NetworkFault {
    NetworkFault {
        hold: Some(direction),
        ..NetworkFault::default()
    }
}

/// Starts a proxy to a server that reads one connection to its end and returns what it has read.
async fn start_recorder() -> (FaultyProxy, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let received = tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        let _reset = connection.read_to_end(&mut bytes).await;
        bytes
    });
    (FaultyProxy::start(target).unwrap(), received)
}

/// A change of the fault never ended if another one followed before the listener had been opened or closed.
#[tokio::test]
async fn changes_that_overlap_all_end() {
    let proxy = FaultyProxy::start(SocketAddr::from(([127, 0, 0, 1], 1))).unwrap();
    let refuse = |refuse| NetworkFault {
        refuse,
        ..NetworkFault::default()
    };
    for last in [true, false] {
        proxy.set_fault(refuse(last)).await;
        let both = async {
            tokio::join!(
                proxy.set_fault(refuse(!last)),
                proxy.set_fault(refuse(last))
            )
        };
        timeout(Duration::from_secs(5), both).await.unwrap();
        assert_eq!(TcpStream::connect(proxy.address()).await.is_err(), last);
    }
}

/// A change of another part of the fault reopened the listener of a server that was taken down at the same time.
#[tokio::test]
async fn a_changed_part_of_the_fault_leaves_the_others() {
    let proxy = FaultyProxy::start(SocketAddr::from(([127, 0, 0, 1], 1))).unwrap();
    proxy.take_down().await;
    proxy.change_fault(|fault| fault.hang = true).await;
    let fault = proxy.fault();
    assert!(fault.refuse && fault.hang);
    assert!(TcpStream::connect(proxy.address()).await.is_err());
}
