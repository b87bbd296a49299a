//! Bad control messages: a process refuses them, counts them and goes on serving.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
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
    Fleet, Process, counter, eventually, exchange_with, probe_exchange, revision_of, text,
};

/// The metric that counts refused messages.
const BAD_MESSAGES: &str = "bulrushward_control_bad_messages_total";
/// Revision that a bad peer claims to have.
const CLAIMED: u64 = 99;
/// Seed of the random messages.
const SEED: u64 = 7;

/// Sends bytes over a connection of their own and returns whether there was an answer.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> bool {
    let socket = Socket::new(Protocol::Req0).expect("a socket");
    let timeout = Some(Duration::from_millis(300));
    socket.set_opt::<RecvTimeout>(timeout).expect("a timeout");
    socket.dial(&format!("tcp://{address}")).expect("dials");
    socket
        .send(bytes)
        .map_err(|(_, error)| error)
        .expect("sends");
    socket.recv().is_ok()
}

fn a_message(process: &Process) -> Vec<u8> {
    encode(&probe_exchange(process)).expect("encodes")
}

fn truncated(message: &[u8]) -> Vec<u8> {
    message[..message.len() / 2].to_vec()
}

fn with_bytes_left_over(message: &[u8]) -> Vec<u8> {
    [message, &[0]].concat()
}

fn of_another_version(message: &[u8]) -> Vec<u8> {
    [&[message[0] + 1], &message[1..]].concat()
}

/// A whole message of the right type that is larger than allowed.
fn oversized(message: &[u8]) -> Vec<u8> {
    let mut exchange: Exchange = decode(message).expect("decodes");
    let chunk = Chunk {
        digest: [0; 16],
        text: "x".repeat(MAX_MESSAGE_BYTES),
    };
    exchange.configuration = Some(ConfigurationMessage::Chunks(vec![chunk]));
    encode(&exchange).expect("encodes")
}

fn empty(_message: &[u8]) -> Vec<u8> {
    Vec::new()
}

/// A message of the right version that claims a list far longer than itself.
fn with_a_long_list(message: &[u8]) -> Vec<u8> {
    [
        &message[..message.len() - 4],
        &[0xff, 0xff, 0xff, 0xff, 0x0f],
    ]
    .concat()
}

#[rstest]
#[case::truncated(truncated)]
#[case::left_over(with_bytes_left_over)]
#[case::version(of_another_version)]
#[case::oversized(oversized)]
#[case::empty(empty)]
#[case::long_list(with_a_long_list)]
#[tokio::test]
async fn a_bad_message_is_counted_and_changes_nothing(#[case] damage: fn(&[u8]) -> Vec<u8>) {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    let before = counter(&fleet, router, BAD_MESSAGES).await;
    let bytes = damage(&a_message(router));
    assert!(
        !send_raw(router.control, &bytes),
        "a bad message has no answer"
    );
    eventually("the message is counted", async || {
        counter(&fleet, router, BAD_MESSAGES).await == before + 1
    })
    .await;
    assert_eq!(revision_of(router).await, Some(1), "the router goes on");
}

#[tokio::test]
async fn random_bytes_and_huge_messages_do_no_harm() {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..20 {
        let mut bytes = vec![0; rng.random_range(1..2_000)];
        rng.fill(bytes.as_mut_slice());
        // Half of them pass the check of the version.
        if rng.random_bool(0.5) {
            bytes[0] = a_message(router)[0];
        }
        assert!(!send_raw(router.control, &bytes));
    }
    eventually("each message is counted", async || {
        counter(&fleet, router, BAD_MESSAGES).await == 20
    })
    .await;
    // nng itself ends a connection with a message far above the limit.
    assert!(!send_raw(router.control, &vec![0; 64 * MAX_MESSAGE_BYTES]));
    assert_eq!(revision_of(router).await, Some(1), "the router goes on");
}

/// How a peer lies about the revision that it offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lie {
    /// Its manifest is cut short.
    TruncatedManifest,
    /// Its manifest is of an older revision than it claims.
    OldManifest,
    /// Its manifest names more text than is allowed.
    HugeManifest,
    /// It sends chunks with other content.
    OtherContent,
    /// It sends no chunks.
    NoChunks,
    /// It answers a question for chunks with a manifest.
    OtherAnswer,
    /// Its text is not a valid configuration.
    InvalidText,
}

impl Lie {
    fn answer(
        self,
        question: &ConfigurationMessage,
        claimed: &AcceptedRevision,
    ) -> ConfigurationMessage {
        let mut manifest = claimed.manifest();
        match (question, self) {
            (ConfigurationMessage::ManifestRequest, Self::TruncatedManifest) => {
                let bytes = manifest.encode().expect("encodes");
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
            (ConfigurationMessage::ManifestRequest, _) | (_, Self::OtherAnswer) => {
                manifest_message(&manifest)
            }
            (ConfigurationMessage::ChunkRequest(_), Self::NoChunks) => {
                ConfigurationMessage::Chunks(Vec::new())
            }
            (ConfigurationMessage::ChunkRequest(digests), _) => {
                let chunks = digests.iter().map(|digest| Chunk {
                    digest: *digest,
                    text: self.text_of(claimed.chunk(digest).expect("it is held")),
                });
                ConfigurationMessage::Chunks(chunks.collect())
            }
            (other, _) => panic!("a process asked {other:?}"),
        }
    }

    fn text_of(self, chunk: &str) -> String {
        match self {
            Self::OtherContent => chunk.replace("1.25", "9.99"),
            _ => chunk.to_owned(),
        }
    }
}

fn manifest_message(manifest: &Manifest) -> ConfigurationMessage {
    ConfigurationMessage::Manifest(manifest.encode().expect("encodes"))
}

/// A peer that answers the questions of processes that fetch from it.
struct BadPeer {
    asked: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BadPeer {
    fn start(address: SocketAddr, lie: Lie, claimed: AcceptedRevision, own_side: Exchange) -> Self {
        let listener = Listener::bind(address).expect("the peer listens");
        let asked = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (count, stopped) = (Arc::clone(&asked), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let mut answer = |exchange: Exchange| {
                    let mut own = own_side.clone();
                    if let Some(question) = exchange.configuration {
                        count.fetch_add(1, Ordering::Relaxed);
                        own.configuration = Some(lie.answer(&question, &claimed));
                    }
                    own
                };
                let _served = listener.serve_one(Duration::from_millis(50), &mut answer);
            }
        });
        Self {
            asked,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for BadPeer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

/// A revision that no operator submitted.
fn claimed_revision(text: &str) -> AcceptedRevision {
    let accepted = serde_json::json!({
        "revision": CLAIMED, "text": text, "author": "nobody", "why": "none", "at": 0,
        "submission": 9,
    });
    let accepted: AcceptedRevision = serde_json::from_value(accepted).expect("a revision");
    // Decoding names the chunks of the text.
    AcceptedRevision::decode(&accepted.encode().expect("encodes")).expect("decodes")
}

#[rstest]
#[case(Lie::TruncatedManifest, true)]
#[case(Lie::OldManifest, true)]
#[case(Lie::HugeManifest, true)]
#[case(Lie::OtherContent, true)]
#[case(Lie::OtherAnswer, true)]
#[case(Lie::NoChunks, false)]
#[case(Lie::InvalidText, false)]
#[tokio::test]
async fn a_lying_peer_changes_nothing(#[case] lie: Lie, #[case] counted: bool) {
    let fleet = Fleet::start(1, 0, 0).await;
    let router = &fleet.routers[0];
    let before = counter(&fleet, router, BAD_MESSAGES).await;
    let text_claimed = match lie {
        Lie::InvalidText => "no configuration".to_owned(),
        _ => text(""),
    };
    // The text differs from the one in force, so that its chunk has to be fetched.
    let claimed = claimed_revision(&format!("# claimed\n{text_claimed}"));
    let mut own_side = probe_exchange(router);
    own_side.own.node = "bad-peer".to_owned();
    own_side.own.control_address = support::unused_address();
    own_side.revision = CLAIMED;
    let address = own_side.own.control_address;
    let peer = BadPeer::start(address, lie, claimed, own_side.clone());
    let answer = exchange_with(router.control, own_side).await;
    assert_eq!(answer.map(|answer| answer.own.revision), Some(1));
    let questions = match lie {
        Lie::TruncatedManifest | Lie::OldManifest | Lie::HugeManifest => 1,
        _ => 2,
    };
    eventually("the router asks", async || {
        peer.asked.load(Ordering::Relaxed) >= questions
    })
    .await;
    if counted {
        eventually("the lie is counted", async || {
            counter(&fleet, router, BAD_MESSAGES).await > before
        })
        .await;
    }
    // A text is read after those before it, so that the claimed one was refused by then.
    let (status, answer) = fleet.submit(0, 1, &text("# next\n")).await;
    assert_eq!(status, 200, "{answer}");
    eventually("the next revision is in force", async || {
        revision_of(router).await == Some(2)
    })
    .await;
}
