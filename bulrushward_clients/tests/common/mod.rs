//! HTTP servers that give one fixed answer.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a server that answers every request with a body, and returns its URL.
pub async fn answer_with(body: &str) -> String {
    let length = body.len();
    serve(
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"),
        false,
    )
    .await
}

/// Starts a server whose answers stop after their head, and returns its URL.
pub async fn stall_after_head() -> String {
    serve(
        "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n".to_owned(),
        true,
    )
    .await
}

async fn serve(answer: String, stay_open: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut connection, _)) = listener.accept().await {
            if write(&mut connection, &answer).await.is_ok() && stay_open {
                open.push(connection);
            }
        }
    });
    url
}

async fn write(connection: &mut TcpStream, answer: &str) -> std::io::Result<()> {
    let mut request = [0; 4096];
    let _count = connection.read(&mut request).await?;
    connection.write_all(answer.as_bytes()).await
}
