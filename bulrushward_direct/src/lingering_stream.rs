//! A caller's connection that is closed without losing the end of a response, and reset where that end is missing.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
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
///
/// A response that ends only with the connection is the exception: until its [`CloseHandle`] says that it is complete, each
/// way of closing is a reset, also if the process is killed.
#[derive(Debug)]
pub(crate) struct LingeringStream {
    stream: TcpStream,
    close: CloseHandle,
    /// Whether the system resets the socket when it is closed.
    is_reset_on_close: bool,
    /// Whether a response was sent, the end of which may still have to be delivered.
    has_sent: bool,
    /// Timer of the shutdown; `None` until it begins.
    linger: Option<Pin<Box<Sleep>>>,
}

/// Decides how a [`LingeringStream`] is closed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CloseHandle {
    is_reset_required: Arc<AtomicBool>,
}

impl CloseHandle {
    /// Makes each close a reset, from before the next byte that is written.
    pub(crate) fn require_reset(&self) {
        self.is_reset_required.store(true, Ordering::Relaxed);
    }

    /// Makes the connection close in order once all that was sent is written to the socket.
    pub(crate) fn allow_close_in_order(&self) {
        self.is_reset_required.store(false, Ordering::Relaxed);
    }

    fn is_reset_required(&self) -> bool {
        self.is_reset_required.load(Ordering::Relaxed)
    }
}

impl LingeringStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream) -> (Self, CloseHandle) {
        let close = CloseHandle::default();
        let stream = Self {
            stream,
            close: close.clone(),
            is_reset_on_close: false,
            has_sent: false,
            linger: None,
        };
        (stream, close)
    }

    /// Prepares the socket for bytes of a response.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the socket cannot be set to be reset when it closes.
    fn begin_write(&mut self) -> io::Result<()> {
        if self.close.is_reset_required() && !self.is_reset_on_close {
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            self.is_reset_on_close = true;
        }
        self.has_sent = true;
        Ok(())
    }

    /// Lets the socket close in order if it was set to be reset.
    fn allow_close_in_order(&mut self) -> io::Result<()> {
        if self.is_reset_on_close {
            SockRef::from(&self.stream).set_linger(None)?;
            self.is_reset_on_close = false;
        }
        Ok(())
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
        self.begin_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.close.is_reset_required() {
            // The socket is closed right after it, by a reset.
            return Poll::Ready(Ok(()));
        }
        if self.linger.is_none() {
            // All bytes are in the send queue of the socket, which the system delivers after the close too.
            self.allow_close_in_order()?;
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
