//! Every submission is accepted at most once, in order and completely, even if calls to the
//! key-value service fail or lose their responses.

mod fake_kv;

use std::{
    collections::HashMap,
    fmt::Write,
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use bulrushward_clients::KeyValue;
use bulrushward_protocol::{Outcome, Revision, codec::VERSION, encode};
use bulrushward_revisions::{
    AcceptedRevision, AssembleError, Digest, Manifest, RevisionStore, RevisionsError, Submission,
    SubmitOutcome,
};
use fake_kv::{FakeKv, WriteFault};
use proptest::prelude::*;
use tokio::task::yield_now;

fn store() -> (Arc<FakeKv>, RevisionStore) {
    let kv = Arc::new(FakeKv::default());
    let store = new_store(&kv);
    (kv, store)
}

fn new_store(kv: &Arc<FakeKv>) -> RevisionStore {
    let kv: Arc<dyn KeyValue> = Arc::<FakeKv>::clone(kv);
    RevisionStore::new(kv)
}

fn submission(base: Revision, text: &str, submission: u128) -> Submission {
    Submission {
        base,
        text: text.into(),
        author: "asha".to_owned(),
        why: format!("change {submission}"),
        submission,
        at: UNIX_EPOCH + Duration::from_millis(1_700_000_000_123),
    }
}

async fn accept(store: &RevisionStore, base: Revision, text: &str, id: u128) -> AcceptedRevision {
    match store.submit(submission(base, text, id)).await {
        Ok(SubmitOutcome::Accepted(accepted)) => accepted,
        other => panic!("expected an accepted submission, got {other:?}"),
    }
}

/// Returns a text with the given number of organisations, about 100 bytes each.
fn large_text(organisations: usize) -> String {
    let mut text = String::new();
    for index in 0..organisations {
        writeln!(text, "[[organisation]]\nname = \"org-{index}\"")
            .expect("writing to a string succeeds");
        writeln!(text, "key_sha256 = [\"{index:064x}\"]\n").expect("writing to a string succeeds");
    }
    text
}

#[tokio::test(start_paused = true)]
async fn an_empty_service_has_no_revision() {
    let (_, store) = store();
    assert_eq!(store.current().await.expect("the service responds"), None);
    assert_eq!(store.history(10).await.expect("the service responds"), []);
    assert_eq!(store.revision(1).await.expect("the service responds"), None);
}

#[tokio::test(start_paused = true)]
async fn revisions_are_numbered_from_one_and_recorded_in_the_history() {
    let (kv, store) = store();
    let first = accept(&store, 0, "a = 1\n", 10).await;
    let second = accept(&store, 1, "a = 2\n", 11).await;
    assert_eq!((first.revision, second.revision), (1, 2));
    let reader = new_store(&kv);
    assert_eq!(
        reader.current().await.expect("the service responds"),
        Some(second)
    );
    assert_eq!(
        reader.revision(1).await.expect("the service responds"),
        Some(first)
    );
    let history = reader.history(10).await.expect("the service responds");
    let revisions: Vec<_> = history.iter().map(|entry| entry.revision).collect();
    assert_eq!(revisions, [2, 1]);
    assert_eq!(history[0].author, "asha");
    assert_eq!(history[0].why, "change 11");
    assert!(history[0].diff.contains("-a = 1\n+a = 2\n"));
    assert_eq!(
        reader.history(1).await.expect("the service responds").len(),
        1
    );
}

#[tokio::test(start_paused = true)]
async fn submission_with_an_outdated_base_conflicts_with_the_newest_revision() {
    let (_, store) = store();
    accept(&store, 0, "a = 1\n", 1).await;
    let newest = accept(&store, 1, "a = 2\n", 2).await;
    let outcome = store.submit(submission(1, "a = 3\n", 3)).await;
    assert_eq!(
        outcome.expect("the submission has an outcome"),
        SubmitOutcome::Conflict(newest)
    );
}

#[tokio::test(start_paused = true)]
async fn unknown_base_is_an_error() {
    let (_, store) = store();
    let error = store.submit(submission(4, "a = 1\n", 1)).await;
    let error = error.expect_err("the call is refused");
    assert_eq!(
        error.to_string(),
        "base revision 4 does not exist; the newest is 0"
    );
    assert!(error.is_invalid_submission());
    assert_eq!(error.outcome(), Outcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn a_submission_sent_twice_is_accepted_once() {
    let (kv, store) = store();
    let first = accept(&store, 0, "a = 1\n", 1).await;
    assert_eq!(accept(&store, 0, "a = 1\n", 1).await, first);
    for base in 1..40 {
        accept(
            &store,
            base,
            &format!("a = {base}0\n"),
            u128::from(base) + 100,
        )
        .await;
    }
    let reads = kv.reads();
    assert_eq!(accept(&new_store(&kv), 0, "a = 1\n", 1).await, first);
    assert!(kv.reads() - reads < 16, "the search uses skip pointers");
    assert_eq!(
        store
            .history(100)
            .await
            .expect("the service responds")
            .len(),
        40
    );
}

#[tokio::test(start_paused = true)]
async fn unchanged_text_is_not_written() {
    let (kv, store) = store();
    let first = accept(&store, 0, "a = 1\n", 1).await;
    let writes = kv.writes();
    let outcome = store.submit(submission(1, "a = 1\n", 2)).await;
    assert_eq!(
        outcome.expect("the submission has an outcome"),
        SubmitOutcome::Unchanged(first)
    );
    assert_eq!(kv.writes(), writes);
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_by_reading_back() {
    let (kv, store) = store();
    kv.set_head_write_faults(&[WriteFault::ResponseLost]);
    assert_eq!(accept(&store, 0, "a = 1\n", 1).await.revision, 1);
    kv.set_head_write_faults(&[WriteFault::Lost, WriteFault::ResponseLost]);
    assert_eq!(accept(&store, 1, "a = 2\n", 2).await.revision, 2);
    assert_eq!(
        store.history(10).await.expect("the service responds").len(),
        2
    );
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_from_the_history_after_a_newer_revision() {
    let (kv, store) = store();
    accept(&store, 0, "a = 1\n", 1).await;
    let delayed = submission(1, "a = 2\n", 2);
    kv.set_head_write_faults(&[WriteFault::ResponseLost]);
    let mut submitting = Box::pin(store.submit(delayed));
    // The write takes effect during the first poll, before the backoff and the read that follows.
    let other = new_store(&kv);
    tokio::select! {
        biased;
        _ = &mut submitting => panic!("the submission backs off after the lost response"),
        () = yield_now() => {},
    }
    accept(&other, 2, "a = 3\n", 3).await;
    let outcome = submitting.await.expect("the submission has an outcome");
    let SubmitOutcome::Accepted(accepted) = outcome else {
        panic!("expected an accepted submission, got {outcome:?}");
    };
    assert_eq!((accepted.revision, &*accepted.text), (2, "a = 2\n"));
}

#[tokio::test(start_paused = true)]
async fn errors_say_whether_the_submission_may_have_been_accepted() {
    let (kv, store) = store();
    kv.set_down(true);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    assert!(matches!(error, Err(RevisionsError::Read { .. })));
    kv.set_down(false);
    kv.set_head_write_faults(&[WriteFault::Refused]);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    assert!(matches!(error, Err(RevisionsError::NotAccepted { .. })));
    kv.set_head_write_faults(&[WriteFault::Lost; 8]);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    assert!(matches!(
        error,
        Err(RevisionsError::Unknown { submission: 1, .. })
    ));
    let (kv, store) = self::store();
    kv.set_head_write_faults(&[WriteFault::Lost, WriteFault::Refused]);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    let error = error.expect_err("the response is lost");
    assert!(matches!(
        error,
        RevisionsError::Unknown { submission: 1, .. }
    ));
    assert!(!error.is_invalid_submission());
    assert_eq!(error.outcome(), Outcome::Unknown);
}

#[tokio::test(start_paused = true)]
async fn fields_of_invalid_size_are_errors() {
    let (kv, store) = store();
    let mut without_author = submission(0, "a = 1\n", 1);
    without_author.author = String::new();
    let error = store
        .submit(without_author)
        .await
        .expect_err("the call is refused");
    assert_eq!(error.to_string(), "author has 0 bytes, expected 1 to 4096");
    let huge = "#".repeat(bulrushward_revisions::MAX_TEXT_BYTES + 1);
    let error = store.submit(submission(0, &huge, 1)).await;
    assert_eq!(
        error.expect_err("the call is refused").to_string(),
        "text has 8388609 bytes, expected 1 to 8388608"
    );
    assert_eq!(kv.writes(), 0);
}

#[tokio::test(start_paused = true)]
async fn damaged_records_are_errors() {
    let (kv, store) = store();
    accept(&store, 0, "a = 1\n", 1).await;
    kv.damage("/blob/");
    let reader = new_store(&kv);
    let error = reader.current().await;
    assert!(matches!(error, Err(RevisionsError::Damaged { .. })));
    kv.damage("/head");
    let error = reader
        .current()
        .await
        .expect_err("the call is refused")
        .to_string();
    assert!(error.contains("bulrushward/config/head"), "{error}");
}

#[tokio::test(start_paused = true)]
async fn a_watch_returns_newer_revisions_only() {
    let (kv, writer) = store();
    let reader = new_store(&kv);
    let nothing = reader.watch(0, Duration::from_secs(5)).await;
    assert_eq!(nothing.expect("the service responds"), None);
    let first = accept(&writer, 0, "a = 1\n", 1).await;
    let seen = reader.watch(0, Duration::from_secs(5)).await;
    assert_eq!(seen.expect("the service responds"), Some(first));
    let nothing = reader.watch(1, Duration::from_secs(5)).await;
    assert_eq!(nothing.expect("the service responds"), None);
    // A service that has lost writes must not return a process to an older revision.
    let nothing = new_store(&kv).watch(7, Duration::from_secs(5)).await;
    assert_eq!(nothing.expect("the service responds"), None);
    let (seen, second) = tokio::join!(
        reader.watch(1, Duration::from_secs(5)),
        accept(&writer, 1, "a = 2\n", 2),
    );
    assert_eq!(seen.expect("the service responds"), Some(second));
    kv.set_down(true);
    let error = reader.watch(2, Duration::from_secs(5)).await;
    assert!(matches!(error, Err(RevisionsError::Read { .. })));
}

#[tokio::test(start_paused = true)]
async fn small_change_of_a_large_text_needs_few_calls() {
    let (kv, store) = store();
    let text = large_text(32_000);
    accept(&store, 0, &text, 1).await;
    assert!(kv.largest_value() < 1 << 20);
    let reader = new_store(&kv);
    reader.current().await.expect("the service responds");
    let (writes, reads, bytes) = (kv.writes(), kv.reads(), kv.written_bytes());
    let changed = text.replace("\"org-16000\"", "\"org-sixteen-thousand\"");
    let start = Instant::now();
    let second = accept(&store, 1, &changed, 2).await;
    let elapsed = start.elapsed().as_micros();
    let writes = kv.writes() - writes;
    let reads_of_submit = kv.reads() - reads;
    let bytes = kv.written_bytes() - bytes;
    let reads = kv.reads();
    assert_eq!(
        reader.current().await.expect("the service responds"),
        Some(second.clone())
    );
    let reads_of_reader = kv.reads() - reads;
    println!(
        "text_bytes={} chunks={} head_bytes={} submit_us={elapsed} submit_writes={writes} \
         submit_reads={reads_of_submit} submit_written_bytes={bytes} reader_reads={reads_of_reader}",
        changed.len(),
        second.manifest().chunks.len(),
        kv.head_bytes()
    );
    assert!(writes <= 6, "{writes} writes");
    assert!(reads_of_submit <= 6, "{reads_of_submit} reads");
    assert!(reads_of_reader <= 4, "{reads_of_reader} reads");
}

#[tokio::test(start_paused = true)]
async fn peers_transfer_only_changed_chunks() {
    let (_, store) = store();
    let text = large_text(2_000);
    let first = accept(&store, 0, &text, 1).await;
    let second = accept(&store, 1, &text.replace("org-77\"", "org-x\""), 2).await;
    let bytes = second.manifest().encode().expect("encoding succeeds");
    let manifest = Manifest::decode(&bytes).expect("decoding succeeds");
    let missing = manifest.chunks_missing_from(Some(&first));
    assert!(!missing.is_empty() && missing.len() <= 2);
    let error = AcceptedRevision::assemble(&manifest, &|digest| first.chunk(digest).map(Arc::from));
    assert!(matches!(
        error,
        Err(AssembleError::Missing { revision: 2, .. })
    ));
    let wrong = AcceptedRevision::assemble(&manifest, &|_| Some("wrong".into()));
    assert!(matches!(wrong, Err(AssembleError::Mismatch { .. })));
    let assembled = AcceptedRevision::assemble(&manifest, &|digest| {
        first.chunk(digest).or(second.chunk(digest)).map(Arc::from)
    });
    assert_eq!(assembled.expect("all chunks are available"), second);
    let decoded = AcceptedRevision::decode(&second.encode().expect("encoding succeeds"));
    assert_eq!(decoded.expect("decoding succeeds"), second);
    assert!(AcceptedRevision::decode(&bytes[..bytes.len() / 2]).is_err());
}

#[test]
fn out_of_range_times_never_panic() {
    for at in [i64::MIN, -1, 0, i64::MAX] {
        let chunks: [(Digest, u32); 0] = [];
        let bytes = encode(&(7_u64, "asha", "why", at, 1_u128, chunks)).expect("encoding succeeds");
        if let Ok(manifest) = Manifest::decode(&bytes) {
            assert_eq!(
                Manifest::decode(&manifest.encode().expect("encoding succeeds")).ok(),
                Some(manifest)
            );
        }
    }
}

/// A step of a generated sequence of submissions.
#[derive(Clone, Debug)]
enum Step {
    /// A submission whose base is `behind` revisions older than the newest one.
    Submit {
        behind: u64,
        faults: Vec<WriteFault>,
    },
    /// The submission before the last one is retried.
    Resend,
    /// Two submissions with the same base run concurrently.
    Race { faults: Vec<WriteFault> },
}

fn faults() -> impl Strategy<Value = Vec<WriteFault>> {
    let fault = prop_oneof![
        3 => Just(WriteFault::None),
        2 => Just(WriteFault::Lost),
        2 => Just(WriteFault::ResponseLost),
        1 => Just(WriteFault::Refused),
    ];
    prop::collection::vec(fault, 0..6)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u64..3, faults()).prop_map(|(behind, faults)| Step::Submit { behind, faults }),
        1 => Just(Step::Resend),
        2 => faults().prop_map(|faults| Step::Race { faults }),
    ];
    prop::collection::vec(step, 1..24)
}

/// Runs the steps, then compares the history with the outcomes that the submitters received.
async fn check_history(steps: Vec<Step>) {
    let (kv, store) = store();
    let other = new_store(&kv);
    let mut reported = Vec::new();
    let mut sent: Vec<Submission> = Vec::new();
    let mut id = 0;
    let mut next = |base: Revision| {
        id += 1;
        submission(base, &format!("a = {id}\n"), id)
    };
    for step in steps {
        let newest = store
            .current()
            .await
            .expect("the service responds")
            .map_or(0, |newest| newest.revision);
        match step {
            Step::Submit { behind, faults } => {
                kv.set_head_write_faults(&faults);
                let submission = next(newest.saturating_sub(behind));
                reported.push((
                    submission.submission,
                    store.submit(submission.clone()).await,
                ));
                sent.push(submission);
            }
            Step::Resend => {
                if let Some(submission) = sent.iter().rev().nth(1).cloned() {
                    reported.push((submission.submission, other.submit(submission).await));
                }
            }
            Step::Race { faults } => {
                kv.set_head_write_faults(&faults);
                let (one, two) = (next(newest), next(newest));
                let (first, second) =
                    tokio::join!(store.submit(one.clone()), other.submit(two.clone()));
                reported.push((one.submission, first));
                reported.push((two.submission, second));
                sent.extend([one, two]);
            }
        }
    }
    let history = new_store(&kv)
        .history(usize::MAX)
        .await
        .expect("the service responds");
    let revisions: Vec<_> = history.iter().rev().map(|entry| entry.revision).collect();
    assert_eq!(revisions, (1..=history.len() as u64).collect::<Vec<_>>());
    let accepted_count = |id: u128| {
        history
            .iter()
            .filter(|entry| entry.submission == id)
            .count()
    };
    for submission in &sent {
        assert!(accepted_count(submission.submission) <= 1);
    }
    let mut last_reported = HashMap::new();
    for (id, outcome) in &reported {
        if let Ok(SubmitOutcome::Accepted(accepted)) = outcome {
            let entry = &history[history.len() - accepted.revision as usize];
            assert_eq!(entry.submission, *id);
        }
        last_reported.insert(*id, outcome);
    }
    for (id, outcome) in last_reported {
        let refused = matches!(
            outcome,
            Ok(SubmitOutcome::Conflict(_)) | Err(RevisionsError::NotAccepted { .. })
        );
        assert!(
            !refused || accepted_count(id) == 0,
            "submission {id} was refused but is in the history"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn reported_outcomes_match_the_history(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("the runtime starts");
        runtime.block_on(check_history(steps));
    }

    #[test]
    fn arbitrary_bytes_never_panic(mut bytes: Vec<u8>) {
        bytes.insert(0, VERSION);
        let _ = AcceptedRevision::decode(&bytes);
        let Ok(manifest) = Manifest::decode(&bytes) else {
            return Ok(());
        };
        let _ = AcceptedRevision::assemble(&manifest, &|_| Some("x".into()));
    }
}
