//! A connection to a server, the store or a peer from which only so much is read as its content allows.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll, ready},
};

use bulrushward_policy::receive_allowance::ReceiveAllowance;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest number of bytes that is read at once, so that little is read ahead of the content.
const MAX_READ_BYTES: usize = 16 << 10;

/// A stream that fails once its peer has sent more than its allowance.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: Arc<TcpStream>,
    allowance: Arc<Mutex<ReceiveAllowance>>,
}

/// The allowance and the socket of a [`BoundedStream`], which it does not keep open.
#[derive(Clone, Debug)]
pub(crate) struct BoundedStreamHandle {
    stream: Weak<TcpStream>,
    allowance: Arc<Mutex<ReceiveAllowance>>,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream) -> (Self, BoundedStreamHandle) {
        let stream = Self {
            stream: Arc::new(stream),
            allowance: Arc::default(),
        };
        let handle = BoundedStreamHandle {
            stream: Arc::downgrade(&stream.stream),
            allowance: Arc::clone(&stream.allowance),
        };
        (stream, handle)
    }
}

impl BoundedStreamHandle {
    /// Locks the allowance.
    pub(crate) fn allowance(&self) -> MutexGuard<'_, ReceiveAllowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes that the peer has not acknowledged; 0 if the connection is closed.
    pub(crate) fn unacknowledged_bytes(&self) -> usize {
        let stream = self.stream.upgrade();
        stream.map_or(0, |stream| {
            bulrushward_net::unacknowledged_bytes(&*stream).unwrap_or(0)
        })
    }

    /// Returns whether the connection is open and nothing has arrived on it that was not read.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let len = buf.remaining().min(MAX_READ_BYTES);
            match self.stream.try_read(buf.initialize_unfilled_to(len)) {
                Ok(len) => {
                    buf.advance(len);
                    let mut allowance = self
                        .allowance
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    return Poll::Ready(if allowance.receive(len) {
                        Ok(())
                    } else {
                        Err(io::Error::new(
                            io::ErrorKind::InvalidData,
                            "too many bytes that are no content",
                        ))
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write_with(&self.stream, cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write_with(&self.stream, cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

fn poll_write_with(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
