//! Invalid control messages: a process rejects and counts them and keeps serving.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Chunk, ConfigurationMessage, Exchange, decode, encode};
use bulrushward_revisions::{AcceptedRevision, Manifest};
use bulrushward_transport::{Listener, MAX_MESSAGE_BYTES};
use nng::{
    Protocol, Socket,
    options::{Options, RecvTimeout},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{
    Fleet, Process, config_text, counter, eventually, exchange_with, organisations, probe_exchange,
    revision_of,
};

/// Metric that counts rejected messages.
const BAD_MESSAGES: &str = "bulrushward_control_bad_messages_total";
/// Revision that a faulty peer claims to have.
const CLAIMED_REVISION: u64 = 99;
/// Largest number of bytes of chunks in one message, more than one chunk has.
const MAX_CHUNK_BYTES: usize = 48 << 10;
/// Longest time until a router has read an invalid revision.
const READING_TIME: Duration = Duration::from_secs(3);
/// Seed of the random messages.
const SEED: u64 = 7;

/// Sends bytes over a new connection and returns whether there was a response.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> bool {
    let socket = Socket::new(Protocol::Req0).expect("the socket opens");
    let timeout = Some(Duration::from_millis(300));
    socket
        .set_opt::<RecvTimeout>(timeout)
        .expect("the timeout is set");
    socket
        .dial(&format!("tcp://{address}"))
        .expect("the socket connects");
    socket
        .send(bytes)
        .map_err(|(_, error)| error)
        .expect("the socket sends");
    socket.recv().is_ok()
}

fn valid_message(process: &Process) -> Vec<u8> {
    encode(&probe_exchange(process)).expect("the message encodes")
}

fn truncated(message: &[u8]) -> Vec<u8> {
    message[..message.len() / 2].to_vec()
}

fn with_trailing_byte(message: &[u8]) -> Vec<u8> {
    [message, &[0]].concat()
}

fn with_other_version(message: &[u8]) -> Vec<u8> {
    [&[message[0] + 1], &message[1..]].concat()
}

/// Returns a valid message that exceeds the size limit.
fn oversized(message: &[u8]) -> Vec<u8> {
    let mut exchange: Exchange = decode(message).expect("the message decodes");
    let chunk = Chunk {
        digest: [0; 16],
        text: "x".repeat(MAX_MESSAGE_BYTES),
    };
    exchange.configuration = Some(ConfigurationMessage::Chunks(vec![chunk]));
    encode(&exchange).expect("the message encodes")
}

fn empty(_message: &[u8]) -> Vec<u8> {
    Vec::new()
}

/// Returns a message of the right version that announces a list longer than the message.
fn with_oversized_length(message: &[u8]) -> Vec<u8> {
    [
        &message[..message.len() - 4],
        &[0xff, 0xff, 0xff, 0xff, 0x0f],
    ]
    .concat()
}

#[rstest]
#[case::truncated(truncated)]
#[case::trailing_byte(with_trailing_byte)]
#[case::version(with_other_version)]
#[case::oversized(oversized)]
#[case::empty(empty)]
#[case::oversized_length(with_oversized_length)]
#[tokio::test]
async fn a_bad_message_is_counted_and_changes_nothing(#[case] damage: fn(&[u8]) -> Vec<u8>) {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    let before = counter(&fleet, router, BAD_MESSAGES).await;
    let bytes = damage(&valid_message(router));
    assert!(
        !send_raw(router.control, &bytes),
        "an invalid message gets no response"
    );
    eventually("the message is counted", async || {
        counter(&fleet, router, BAD_MESSAGES).await == before + 1
    })
    .await;
    assert_eq!(
        revision_of(router).await,
        Some(1),
        "the router keeps serving"
    );
}

#[tokio::test]
async fn random_bytes_and_oversized_messages_are_rejected() {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..20 {
        let mut bytes = vec![0; rng.random_range(1..2_000)];
        rng.fill(bytes.as_mut_slice());
        // Half of the messages have the right version.
        if rng.random_bool(0.5) {
            bytes[0] = valid_message(router)[0];
        }
        assert!(!send_raw(router.control, &bytes));
    }
    eventually("each message is counted", async || {
        counter(&fleet, router, BAD_MESSAGES).await == 20
    })
    .await;
    // nng itself closes a connection on a message far above the limit.
    assert!(!send_raw(router.control, &vec![0; 64 * MAX_MESSAGE_BYTES]));
    assert_eq!(
        revision_of(router).await,
        Some(1),
        "the router keeps serving"
    );
}

/// Fault of a peer that offers a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerFault {
    /// The manifest is truncated.
    TruncatedManifest,
    /// The manifest is of an older revision than the peer claims to have.
    OldManifest,
    /// The manifest announces more text than is allowed.
    HugeManifest,
    /// The chunks have content that does not match their digests.
    OtherContent,
    /// The response to a request for chunks contains none.
    NoChunks,
    /// The response to a request for chunks is a manifest.
    OtherResponse,
    /// The text is not a valid configuration.
    InvalidText,
}

impl PeerFault {
    fn response(
        self,
        request: &ConfigurationMessage,
        claimed: &AcceptedRevision,
    ) -> ConfigurationMessage {
        let mut manifest = claimed.manifest();
        match (request, self) {
            (ConfigurationMessage::ManifestRequest, Self::TruncatedManifest) => {
                let bytes = manifest.encode().expect("the message encodes");
                ConfigurationMessage::Manifest(bytes[..bytes.len() - 3].to_vec())
            }
            (ConfigurationMessage::ManifestRequest, Self::OldManifest) => {
                manifest.revision = 1;
                manifest_message(&manifest)
            }
            (ConfigurationMessage::ManifestRequest, Self::HugeManifest) => {
                manifest.chunks[0].bytes = u32::MAX;
                manifest_message(&manifest)
            }
            (ConfigurationMessage::ManifestRequest, _) | (_, Self::OtherResponse) => {
                manifest_message(&manifest)
            }
            (ConfigurationMessage::ChunkRequest(_), Self::NoChunks) => {
                ConfigurationMessage::Chunks(Vec::new())
            }
            (ConfigurationMessage::ChunkRequest(digests), _) => {
                let chunks = digests.iter().map(|digest| Chunk {
                    digest: *digest,
                    text: self.chunk_text(claimed.chunk(digest).expect("the chunk exists")),
                });
                let mut bytes = 0;
                let fits = |chunk: &Chunk| {
                    bytes += chunk.text.len();
                    bytes <= MAX_CHUNK_BYTES
                };
                ConfigurationMessage::Chunks(chunks.take_while(fits).collect())
            }
            (other, _) => panic!("unexpected request {other:?}"),
        }
    }

    fn chunk_text(self, chunk: &str) -> String {
        match self {
            Self::OtherContent => chunk.replace("1.25", "9.99"),
            _ => chunk.to_owned(),
        }
    }
}

/// Returns the newest revision that a process offers to its peers.
async fn newest_of(process: &Process) -> Option<u64> {
    let response = exchange_with(process.control, probe_exchange(process)).await;
    response.map(|response| response.revision)
}

/// Guards against a revision that is lost because it arrived while a newer one was read that turned out to be invalid.
#[tokio::test]
async fn a_revision_that_arrives_while_an_invalid_one_is_read_becomes_active() {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    // Reading it takes much longer than a submission.
    let text = config_text(&organisations(16_000)) + "\nno configuration";
    let claimed = claimed_revision(&text);
    let mut base_exchange = probe_exchange(router);
    base_exchange.own.node = "bad-peer".to_owned();
    base_exchange.own.control_address = support::unused_address();
    base_exchange.revision = CLAIMED_REVISION;
    let address = base_exchange.own.control_address;
    let fault = PeerFault::InvalidText;
    let _peer = FaultyPeer::start(address, fault, claimed, base_exchange.clone());
    exchange_with(router.control, base_exchange).await;
    // A router offers a revision to its peers while it reads it. A busy machine may miss that moment.
    let begun = Instant::now();
    while newest_of(router).await != Some(CLAIMED_REVISION) && begun.elapsed() < READING_TIME {}
    let (status, response) = fleet.submit(0, 1, &config_text("# next\n")).await;
    assert_eq!(status, 200, "{response}");
    eventually("the submitted revision is active", async || {
        revision_of(router).await == Some(2)
    })
    .await;
}

fn manifest_message(manifest: &Manifest) -> ConfigurationMessage {
    ConfigurationMessage::Manifest(manifest.encode().expect("the message encodes"))
}

/// A peer with a fault, from which other processes fetch its revision.
struct FaultyPeer {
    request_count: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FaultyPeer {
    fn start(
        address: SocketAddr,
        fault: PeerFault,
        claimed: AcceptedRevision,
        base_exchange: Exchange,
    ) -> Self {
        let listener = Listener::bind(address).expect("the peer listens");
        let request_count = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (count, stopped) = (Arc::clone(&request_count), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let mut respond = |exchange: Exchange| {
                    let mut reply = base_exchange.clone();
                    if let Some(request) = exchange.configuration {
                        count.fetch_add(1, Ordering::Relaxed);
                        reply.configuration = Some(fault.response(&request, &claimed));
                    }
                    reply
                };
                let _served = listener.serve_one(Duration::from_millis(50), &mut respond);
            }
        });
        Self {
            request_count,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for FaultyPeer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

/// Returns a revision that no operator submitted.
fn claimed_revision(text: &str) -> AcceptedRevision {
    let accepted = serde_json::json!({
        "revision": CLAIMED_REVISION, "text": text, "author": "nobody", "why": "none", "at": 0,
        "submission": 9,
    });
    let accepted: AcceptedRevision = serde_json::from_value(accepted).expect("a revision");
    // Decoding computes the chunks of the text.
    AcceptedRevision::decode(&accepted.encode().expect("the message encodes"))
        .expect("the message decodes")
}

#[rstest]
#[case(PeerFault::TruncatedManifest, true)]
#[case(PeerFault::OldManifest, true)]
#[case(PeerFault::HugeManifest, true)]
#[case(PeerFault::OtherContent, true)]
#[case(PeerFault::OtherResponse, true)]
#[case(PeerFault::NoChunks, false)]
#[case(PeerFault::InvalidText, false)]
#[tokio::test]
async fn an_invalid_revision_of_a_peer_is_not_applied(
    #[case] fault: PeerFault,
    #[case] counted: bool,
) {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    let before = counter(&fleet, router, BAD_MESSAGES).await;
    let claimed_text = match fault {
        PeerFault::InvalidText => "no configuration".to_owned(),
        _ => config_text(""),
    };
    // The text differs from the active one, so that its chunk must be fetched.
    let claimed = claimed_revision(&format!("# claimed\n{claimed_text}"));
    let mut base_exchange = probe_exchange(router);
    base_exchange.own.node = "bad-peer".to_owned();
    base_exchange.own.control_address = support::unused_address();
    base_exchange.revision = CLAIMED_REVISION;
    let address = base_exchange.own.control_address;
    let peer = FaultyPeer::start(address, fault, claimed, base_exchange.clone());
    let response = exchange_with(router.control, base_exchange).await;
    assert_eq!(response.map(|response| response.own.revision), Some(1));
    let expected_requests = match fault {
        PeerFault::TruncatedManifest | PeerFault::OldManifest | PeerFault::HugeManifest => 1,
        _ => 2,
    };
    eventually("the router sends its requests", async || {
        peer.request_count.load(Ordering::Relaxed) >= expected_requests
    })
    .await;
    if counted {
        eventually("the fault is counted", async || {
            counter(&fleet, router, BAD_MESSAGES).await > before
        })
        .await;
    }
    // Revisions are processed in order, so the claimed one has been rejected once this one is
    // active.
    let (status, response) = fleet.submit(0, 1, &config_text("# next\n")).await;
    assert_eq!(status, 200, "{response}");
    eventually("the next revision is active", async || {
        revision_of(router).await == Some(2)
    })
    .await;
}
