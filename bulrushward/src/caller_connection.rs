//! Connections of callers, which are reset where a caller of HTTP/1.0 could not tell that the end of a response is missing.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use salvo::{
    conn::{
        Accepted, Acceptor, ConnCtrl, Holding, StraightStream,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    fuse::{ArcFusePolicy, FuseConfig},
    http::uri::Scheme,
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Beginning of a response to a caller of HTTP/1.0, which has no chunks.
const OLD_STATUS_LINE: &[u8] = b"HTTP/1.0 ";

/// Accepts connections of callers with limits of its own, whatever policy the server has.
#[derive(Debug)]
pub(crate) struct CallerAcceptor {
    acceptor: TcpAcceptor,
    limits: FuseConfig,
}

impl CallerAcceptor {
    pub(crate) fn new(acceptor: TcpAcceptor, limits: FuseConfig) -> Self {
        Self { acceptor, limits }
    }
}

impl Acceptor for CallerAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<CallerStream>;

    fn holdings(&self) -> &[Holding] {
        self.acceptor.holdings()
    }

    async fn accept(
        &mut self,
        _policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (stream, remote_addr) = self.acceptor.inner().accept().await?;
        let limits = Some(self.limits);
        let conn_ctrl = ConnCtrl::new();
        let stream = CallerStream::new(stream);
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StraightStream::new(stream, limits, conn_ctrl.clone(), None),
            fuse_config: limits,
            conn_ctrl,
            local_addr: self.acceptor.local_addr()?.into(),
            remote_addr: remote_addr.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}

/// A connection of a caller, on which the first response tells the version that the caller speaks.
///
/// With HTTP/1.0 the end of a stream is the close of the connection. The HTTP library shuts the connection down only after
/// complete responses, so each close without a shutdown is a reset, also if the process is killed.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    has_sent: bool,
    /// Whether the system resets the socket when it is closed.
    is_reset_on_close: bool,
}

impl CallerStream {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            has_sent: false,
            is_reset_on_close: false,
        }
    }

    /// Prepares the socket for a write that begins with these bytes.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the socket cannot be set to be reset when it closes.
    fn begin_write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !self.has_sent && bytes.starts_with(OLD_STATUS_LINE) {
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            self.is_reset_on_close = true;
        }
        self.has_sent = true;
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write(buf)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write(bufs.first().map_or(&[], |buf| &**buf))?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_reset_on_close {
            // All bytes are in the send queue of the socket, which the system delivers after the close too.
            SockRef::from(&self.stream).set_linger(None)?;
            self.is_reset_on_close = false;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
