//! Gossip exchanges over nng request/reply sockets.

use std::{net::SocketAddr, time::Duration};

use bulrushward_protocol::{CodecError, Exchange, decode, encode};
use nng::{
    Protocol, Socket,
    options::{Options, RecvMaxSize, RecvTimeout, SendTimeout},
};
use snafu::{ResultExt, Snafu};

/// Maximum size of a control message in bytes: room for member records and a few config chunks.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Maximum size in bytes of a message that nng reads; a larger one closes the connection.
///
/// Messages between the two limits are read and then rejected with an error.
const MAX_READ_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// A failed gossip exchange.
#[derive(Debug, Snafu)]
pub enum TransportError {
    /// The socket could not be set up.
    #[snafu(display("the control socket at {address} failed: {source}"))]
    Open {
        /// Address of the listener or peer.
        address: SocketAddr,
        /// Error of nng.
        source: nng::Error,
    },
    /// The message could not be sent.
    #[snafu(display("the message to {address} was not sent: {source}"))]
    Send {
        /// Address of the listener or peer.
        address: SocketAddr,
        /// Error of nng.
        source: nng::Error,
    },
    /// No response arrived in time, or the listener could not receive.
    #[snafu(display("no response from {address}: {source}"))]
    Receive {
        /// Address of the listener or peer.
        address: SocketAddr,
        /// Error of nng.
        source: nng::Error,
    },
    /// The message could not be encoded or decoded.
    #[snafu(display("invalid control message to or from {address}: {source}"))]
    Codec {
        /// Address of the listener or peer.
        address: SocketAddr,
        /// Error of the codec.
        source: CodecError,
    },
}

/// Sends one exchange to a peer over a new connection and returns the peer's response.
///
/// Each exchange uses a new connection, so that an unresponsive connection is never reused. Blocks
/// for at most twice `timeout`: once to send and once to receive. The second value is the total
/// number of bytes sent and received.
///
/// # Errors
///
/// Returns [`TransportError`] if the peer does not respond in time or sends an invalid message.
pub fn call(
    address: SocketAddr,
    exchange: &Exchange,
    timeout: Duration,
) -> Result<(Exchange, usize), TransportError> {
    let open = OpenSnafu { address };
    let request = encode_bounded(exchange).context(CodecSnafu { address })?;
    let sent = request.len();
    let socket = Socket::new(Protocol::Req0).context(open)?;
    socket.set_opt::<SendTimeout>(Some(timeout)).context(open)?;
    socket.set_opt::<RecvTimeout>(Some(timeout)).context(open)?;
    socket
        .set_opt::<RecvMaxSize>(MAX_READ_BYTES)
        .context(open)?;
    socket
        .dial_async(&format!("tcp://{address}"))
        .context(open)?;
    socket
        .send(request.as_slice())
        .map_err(|(_, source)| source)
        .context(SendSnafu { address })?;
    let reply = socket.recv().context(ReceiveSnafu { address })?;
    let response = decode_bounded(&reply).context(CodecSnafu { address })?;
    Ok((response, sent + reply.len()))
}

/// Listening socket that serves the gossip exchanges sent by peers.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    socket: Socket,
}

impl Listener {
    /// Starts to listen on an address.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError::Open`] if the address is in use or not local.
    pub fn bind(address: SocketAddr) -> Result<Self, TransportError> {
        let open = OpenSnafu { address };
        let socket = Socket::new(Protocol::Rep0).context(open)?;
        socket
            .set_opt::<RecvMaxSize>(MAX_READ_BYTES)
            .context(open)?;
        socket.listen(&format!("tcp://{address}")).context(open)?;
        Ok(Self { address, socket })
    }

    /// Waits at most `timeout` for one exchange and responds to it.
    ///
    /// Returns the number of bytes received and sent, or `None` if nothing arrived in time. A
    /// message that cannot be decoded is dropped without a response.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError`] for an invalid message or a response that could not be sent; the
    /// listener can still be used.
    pub fn serve_one(
        &self,
        timeout: Duration,
        respond: &mut dyn FnMut(Exchange) -> Exchange,
    ) -> Result<Option<usize>, TransportError> {
        let address = self.address;
        self.socket
            .set_opt::<RecvTimeout>(Some(timeout))
            .context(OpenSnafu { address })?;
        let request = match self.socket.recv() {
            Ok(request) => request,
            Err(nng::Error::TimedOut) => return Ok(None),
            Err(source) => return Err(TransportError::Receive { address, source }),
        };
        let exchange = decode_bounded(&request).context(CodecSnafu { address })?;
        let reply = encode_bounded(&respond(exchange)).context(CodecSnafu { address })?;
        self.socket
            .send(reply.as_slice())
            .map_err(|(_, source)| source)
            .context(SendSnafu { address })?;
        Ok(Some(request.len() + reply.len()))
    }
}

fn encode_bounded(exchange: &Exchange) -> Result<Vec<u8>, CodecError> {
    let bytes = encode(exchange)?;
    check_size(&bytes)?;
    Ok(bytes)
}

fn decode_bounded(bytes: &[u8]) -> Result<Exchange, CodecError> {
    check_size(bytes)?;
    decode(bytes)
}

fn check_size(message: &[u8]) -> Result<(), CodecError> {
    let bytes = message.len();
    let limit = MAX_MESSAGE_BYTES;
    if bytes > limit {
        return Err(CodecError::TooLarge { bytes, limit });
    }
    Ok(())
}
