//! HTTP servers that send one fixed response.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a server that responds to every request with `body`, and returns its URL.
pub async fn respond_with(body: &str) -> String {
    let length = body.len();
    serve(
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"),
        false,
    )
    .await
}

/// Starts a server that sends response headers but no body, and returns its URL.
pub async fn stall_after_head() -> String {
    serve(
        "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n".to_owned(),
        true,
    )
    .await
}

async fn serve(response: String, stay_open: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut connection, _)) = listener.accept().await {
            if write(&mut connection, &response).await.is_ok() && stay_open {
                open.push(connection);
            }
        }
    });
    url
}

async fn write(connection: &mut TcpStream, response: &str) -> std::io::Result<()> {
    let mut request = [0; 4096];
    let _count = connection.read(&mut request).await?;
    connection.write_all(response.as_bytes()).await
}
