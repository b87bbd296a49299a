//! A caller's connection that is closed without losing the end of a response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Longest time between the end of the last response and the close of the socket.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 1 << 10;

/// A stream whose shutdown waits until the peer closes its side, and discards what the peer still sends.
///
/// A socket that is closed earlier is reset by bytes that arrive later, and the reset discards the end of a response
/// that has not been delivered yet.
#[derive(Debug)]
pub(crate) struct LingeringStream {
    stream: TcpStream,
    /// Whether a response was sent, the end of which may still have to be delivered.
    has_sent: bool,
    /// Timer of the shutdown; `None` until it begins.
    linger: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            has_sent: false,
            linger: None,
        }
    }

    /// Discards received bytes; returns whether the peer has closed its side.
    fn discard_received(&mut self, cx: &mut Context<'_>) -> bool {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_closed) => return true,
                Poll::Pending => return false,
            }
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_sent = true;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.has_sent = true;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.has_sent {
                return Poll::Ready(Ok(()));
            }
            self.linger = Some(Box::pin(sleep(LINGER_TIME)));
        }
        if self.discard_received(cx) {
            return Poll::Ready(Ok(()));
        }
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(Ok(()));
        };
        linger.as_mut().poll(cx).map(Ok)
    }
}
