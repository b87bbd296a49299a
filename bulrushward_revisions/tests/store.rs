//! Revisions are accepted once, in order and whole, whatever the key-value service does.

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

/// A text of `organisations` tables, about 100 bytes each.
fn large_text(organisations: usize) -> String {
    let mut text = String::new();
    for index in 0..organisations {
        writeln!(text, "[[organisation]]\nname = \"org-{index}\"").expect("a string takes all");
        writeln!(text, "key_sha256 = [\"{index:064x}\"]\n").expect("a string takes all");
    }
    text
}

#[tokio::test(start_paused = true)]
async fn an_empty_service_has_no_revision() {
    let (_, store) = store();
    assert_eq!(store.current().await.expect("reads"), None);
    assert_eq!(store.history(10).await.expect("reads"), []);
    assert_eq!(store.revision(1).await.expect("reads"), None);
}

#[tokio::test(start_paused = true)]
async fn revisions_count_from_one_and_keep_their_trail() {
    let (kv, store) = store();
    let first = accept(&store, 0, "a = 1\n", 10).await;
    let second = accept(&store, 1, "a = 2\n", 11).await;
    assert_eq!((first.revision, second.revision), (1, 2));
    let reader = new_store(&kv);
    assert_eq!(reader.current().await.expect("reads"), Some(second));
    assert_eq!(reader.revision(1).await.expect("reads"), Some(first));
    let history = reader.history(10).await.expect("reads");
    let revisions: Vec<_> = history.iter().map(|entry| entry.revision).collect();
    assert_eq!(revisions, [2, 1]);
    assert_eq!(history[0].author, "asha");
    assert_eq!(history[0].why, "change 11");
    assert!(history[0].diff.contains("-a = 1\n+a = 2\n"));
    assert_eq!(reader.history(1).await.expect("reads").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_late_submission_is_a_conflict_with_the_newest() {
    let (_, store) = store();
    accept(&store, 0, "a = 1\n", 1).await;
    let newest = accept(&store, 1, "a = 2\n", 2).await;
    let outcome = store.submit(submission(1, "a = 3\n", 3)).await;
    assert_eq!(outcome.expect("settles"), SubmitOutcome::Conflict(newest));
}

#[tokio::test(start_paused = true)]
async fn an_unknown_base_is_named() {
    let (_, store) = store();
    let error = store.submit(submission(4, "a = 1\n", 1)).await;
    let error = error.expect_err("is refused");
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
    assert!(kv.reads() - reads < 16, "the trail is walked by jumps");
    assert_eq!(store.history(100).await.expect("reads").len(), 40);
}

#[tokio::test(start_paused = true)]
async fn an_identical_text_is_reported_and_not_written() {
    let (kv, store) = store();
    let first = accept(&store, 0, "a = 1\n", 1).await;
    let writes = kv.writes();
    let outcome = store.submit(submission(1, "a = 1\n", 2)).await;
    assert_eq!(outcome.expect("settles"), SubmitOutcome::Unchanged(first));
    assert_eq!(kv.writes(), writes);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_by_reading_back() {
    let (kv, store) = store();
    kv.next_head_writes(&[WriteFault::AnswerLost]);
    assert_eq!(accept(&store, 0, "a = 1\n", 1).await.revision, 1);
    kv.next_head_writes(&[WriteFault::Lost, WriteFault::AnswerLost]);
    assert_eq!(accept(&store, 1, "a = 2\n", 2).await.revision, 2);
    assert_eq!(store.history(10).await.expect("reads").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_in_the_history_after_others_went_on() {
    let (kv, store) = store();
    accept(&store, 0, "a = 1\n", 1).await;
    let late = submission(1, "a = 2\n", 2);
    kv.next_head_writes(&[WriteFault::AnswerLost]);
    let mut submitting = Box::pin(store.submit(late));
    // The write takes effect during the first poll; the settling read has to wait.
    let other = new_store(&kv);
    tokio::select! {
        biased;
        _ = &mut submitting => panic!("the submission pauses after the lost answer"),
        () = yield_now() => {},
    }
    accept(&other, 2, "a = 3\n", 3).await;
    let outcome = submitting.await.expect("settles");
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
    kv.next_head_writes(&[WriteFault::Refused]);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    assert!(matches!(error, Err(RevisionsError::NotAccepted { .. })));
    kv.next_head_writes(&[WriteFault::Lost; 8]);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    assert!(matches!(
        error,
        Err(RevisionsError::Unknown { submission: 1, .. })
    ));
    let (kv, store) = self::store();
    kv.next_head_writes(&[WriteFault::Lost, WriteFault::Refused]);
    let error = store.submit(submission(0, "a = 1\n", 1)).await;
    let error = error.expect_err("no answer arrives");
    assert!(matches!(
        error,
        RevisionsError::Unknown { submission: 1, .. }
    ));
    assert!(!error.is_invalid_submission());
    assert_eq!(error.outcome(), Outcome::Unknown);
}

#[tokio::test(start_paused = true)]
async fn fields_out_of_size_are_named() {
    let (kv, store) = store();
    let mut nobody = submission(0, "a = 1\n", 1);
    nobody.author = String::new();
    let error = store.submit(nobody).await.expect_err("is refused");
    assert_eq!(error.to_string(), "author has 0 bytes, expected 1 to 4096");
    let huge = "#".repeat(bulrushward_revisions::MAX_TEXT_BYTES + 1);
    let error = store.submit(submission(0, &huge, 1)).await;
    assert_eq!(
        error.expect_err("is refused").to_string(),
        "text has 8388609 bytes, expected 1 to 8388608"
    );
    assert_eq!(kv.writes(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_damaged_record_is_an_error_and_not_a_text() {
    let (kv, store) = store();
    accept(&store, 0, "a = 1\n", 1).await;
    kv.damage("/blob/");
    let reader = new_store(&kv);
    let error = reader.current().await;
    assert!(matches!(error, Err(RevisionsError::Damaged { .. })));
    kv.damage("/head");
    let error = reader.current().await.expect_err("is refused").to_string();
    assert!(error.contains("bulrushward/config/head"), "{error}");
}

#[tokio::test(start_paused = true)]
async fn a_watch_returns_newer_revisions_only() {
    let (kv, writer) = store();
    let reader = new_store(&kv);
    let nothing = reader.watch(0, Duration::from_secs(5)).await;
    assert_eq!(nothing.expect("reads"), None);
    let first = accept(&writer, 0, "a = 1\n", 1).await;
    let seen = reader.watch(0, Duration::from_secs(5)).await;
    assert_eq!(seen.expect("reads"), Some(first));
    let nothing = reader.watch(1, Duration::from_secs(5)).await;
    assert_eq!(nothing.expect("reads"), None);
    // A service that lost writes must not take a process back.
    let nothing = new_store(&kv).watch(7, Duration::from_secs(5)).await;
    assert_eq!(nothing.expect("reads"), None);
    let (seen, second) = tokio::join!(
        reader.watch(1, Duration::from_secs(5)),
        accept(&writer, 1, "a = 2\n", 2),
    );
    assert_eq!(seen.expect("reads"), Some(second));
    kv.set_down(true);
    let error = reader.watch(2, Duration::from_secs(5)).await;
    assert!(matches!(error, Err(RevisionsError::Read { .. })));
}

#[tokio::test(start_paused = true)]
async fn a_large_text_costs_few_calls_for_a_small_change() {
    let (kv, store) = store();
    let text = large_text(32_000);
    accept(&store, 0, &text, 1).await;
    assert!(kv.largest_value() < 1 << 20);
    let reader = new_store(&kv);
    reader.current().await.expect("reads");
    let (writes, reads, bytes) = (kv.writes(), kv.reads(), kv.written_bytes());
    let changed = text.replace("\"org-16000\"", "\"org-sixteen-thousand\"");
    let start = Instant::now();
    let second = accept(&store, 1, &changed, 2).await;
    let elapsed = start.elapsed().as_micros();
    let writes = kv.writes() - writes;
    let reads_of_submit = kv.reads() - reads;
    let bytes = kv.written_bytes() - bytes;
    let reads = kv.reads();
    assert_eq!(reader.current().await.expect("reads"), Some(second.clone()));
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
async fn peers_exchange_only_the_chunks_that_changed() {
    let (_, store) = store();
    let text = large_text(2_000);
    let first = accept(&store, 0, &text, 1).await;
    let second = accept(&store, 1, &text.replace("org-77\"", "org-x\""), 2).await;
    let bytes = second.manifest().encode().expect("encodes");
    let manifest = Manifest::decode(&bytes).expect("decodes");
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
    assert_eq!(assembled.expect("is whole"), second);
    let decoded = AcceptedRevision::decode(&second.encode().expect("encodes"));
    assert_eq!(decoded.expect("decodes"), second);
    assert!(AcceptedRevision::decode(&bytes[..bytes.len() / 2]).is_err());
}

#[test]
fn times_out_of_range_are_errors_or_times_but_no_panic() {
    for at in [i64::MIN, -1, 0, i64::MAX] {
        let chunks: [(Digest, u32); 0] = [];
        let bytes = encode(&(7_u64, "asha", "why", at, 1_u128, chunks)).expect("encodes");
        if let Ok(manifest) = Manifest::decode(&bytes) {
            assert_eq!(
                Manifest::decode(&manifest.encode().expect("encodes")).ok(),
                Some(manifest)
            );
        }
    }
}

/// One step of a generated history.
#[derive(Clone, Debug)]
enum Step {
    /// A submitter edits the text from the newest revision less `behind`.
    Submit {
        behind: u64,
        faults: Vec<WriteFault>,
    },
    /// The submission before the last is sent again.
    Repeat,
    /// Two submitters race.
    Race { faults: Vec<WriteFault> },
}

fn faults() -> impl Strategy<Value = Vec<WriteFault>> {
    let fault = prop_oneof![
        3 => Just(WriteFault::None),
        2 => Just(WriteFault::Lost),
        2 => Just(WriteFault::AnswerLost),
        1 => Just(WriteFault::Refused),
    ];
    prop::collection::vec(fault, 0..6)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u64..3, faults()).prop_map(|(behind, faults)| Step::Submit { behind, faults }),
        1 => Just(Step::Repeat),
        2 => faults().prop_map(|faults| Step::Race { faults }),
    ];
    prop::collection::vec(step, 1..24)
}

/// Drives a history and checks it against what the submitters were told.
async fn check_history(steps: Vec<Step>) {
    let (kv, store) = store();
    let other = new_store(&kv);
    let mut told = Vec::new();
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
            .expect("reads")
            .map_or(0, |newest| newest.revision);
        match step {
            Step::Submit { behind, faults } => {
                kv.next_head_writes(&faults);
                let submission = next(newest.saturating_sub(behind));
                told.push((
                    submission.submission,
                    store.submit(submission.clone()).await,
                ));
                sent.push(submission);
            }
            Step::Repeat => {
                if let Some(submission) = sent.iter().rev().nth(1).cloned() {
                    told.push((submission.submission, other.submit(submission).await));
                }
            }
            Step::Race { faults } => {
                kv.next_head_writes(&faults);
                let (one, two) = (next(newest), next(newest));
                let (first, second) =
                    tokio::join!(store.submit(one.clone()), other.submit(two.clone()));
                told.push((one.submission, first));
                told.push((two.submission, second));
                sent.extend([one, two]);
            }
        }
    }
    let history = new_store(&kv).history(usize::MAX).await.expect("reads");
    let revisions: Vec<_> = history.iter().rev().map(|entry| entry.revision).collect();
    assert_eq!(revisions, (1..=history.len() as u64).collect::<Vec<_>>());
    let times = |id: u128| {
        history
            .iter()
            .filter(|entry| entry.submission == id)
            .count()
    };
    for submission in &sent {
        assert!(times(submission.submission) <= 1);
    }
    let mut last_told = HashMap::new();
    for (id, outcome) in &told {
        if let Ok(SubmitOutcome::Accepted(accepted)) = outcome {
            let entry = &history[history.len() - accepted.revision as usize];
            assert_eq!(entry.submission, *id);
        }
        last_told.insert(*id, outcome);
    }
    for (id, outcome) in last_told {
        let refused = matches!(
            outcome,
            Ok(SubmitOutcome::Conflict(_)) | Err(RevisionsError::NotAccepted { .. })
        );
        assert!(
            !refused || times(id) == 0,
            "{id} was refused and is in force"
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
    fn told_outcomes_match_the_history(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime starts");
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
