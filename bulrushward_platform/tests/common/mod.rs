//! HTTP server that gives one fixed answer.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that answers every request with a body, and returns its URL.
pub async fn answer_with(body: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _count = connection.read(&mut request).await;
            let _sent = connection.write_all(answer.as_bytes()).await;
            // The next request comes on a new connection.
            let _closed = connection.shutdown().await;
        }
    });
    url
}
