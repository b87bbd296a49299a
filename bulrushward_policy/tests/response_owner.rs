//! A copy of another response is never accepted for the request that waits.

use bulrushward_policy::response_owner::ArrivedHead;
use proptest::{collection::vec, prelude::*};

/// What a faulty server sends on one connection.
#[derive(Clone, Debug)]
enum Step {
    /// It receives a request with an id, or one without, which needs a new connection.
    Receive { has_id: bool },
    /// It responds to the latest request.
    Respond { is_refusal: bool, names_it: bool },
    /// It sends one of its responses once more.
    Copy { index: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    vec(
        prop_oneof![
            2 => (0..8_u8).prop_map(|draw| Step::Receive { has_id: draw > 0 }),
            2 => (any::<bool>(), any::<bool>())
                .prop_map(|(is_refusal, names_it)| Step::Respond { is_refusal, names_it }),
            2 => (0..8_usize).prop_map(|index| Step::Copy { index }),
        ],
        1..40,
    )
}

#[derive(Clone, Debug)]
struct Sent {
    request: usize,
    named: Option<String>,
    is_refusal: bool,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// A copy of a refusal made a request that had run count as one that had not.
    #[test]
    fn a_copy_is_not_taken_for_the_response_of_another_request(steps in steps()) {
        let mut requests: Vec<String> = Vec::new();
        let mut sent: Vec<Sent> = Vec::new();
        let mut carried = 0;
        let mut is_waiting = false;
        for step in steps {
            let head = match step {
                Step::Receive { has_id } => {
                    if is_waiting {
                        continue;
                    }
                    if !has_id || requests.last().is_some_and(String::is_empty) {
                        // A new connection, on which no copy arrives.
                        carried = 0;
                        sent.clear();
                    }
                    carried += 1;
                    is_waiting = true;
                    let id = if has_id { format!("r-{}", requests.len()) } else { String::new() };
                    requests.push(id);
                    continue;
                }
                Step::Respond { is_refusal, names_it } if is_waiting => {
                    let id = requests.last().expect("one waits");
                    let named = (names_it && !id.is_empty()).then(|| id.clone());
                    sent.push(Sent { request: requests.len() - 1, named, is_refusal });
                    sent.last().cloned()
                }
                Step::Respond { .. } => continue,
                Step::Copy { index } => sent.get(index % sent.len().max(1)).cloned(),
            };
            let Some(head) = head.filter(|_| is_waiting) else { continue };
            let awaited = requests.last().expect("one waits");
            let arrived = ArrivedHead {
                awaited,
                named: head.named.as_deref(),
                is_refusal: head.is_refusal,
                is_reused: carried > 1,
            };
            if arrived.is_awaited() {
                prop_assert_eq!(head.request, requests.len() - 1);
            } else {
                // The router closes the connection.
                carried = 0;
                sent.clear();
            }
            is_waiting = false;
        }
    }
}

/// Guards the test above against a rule that takes no response.
#[test]
fn the_response_of_the_request_is_taken() {
    let taken = |awaited, named, is_refusal, is_reused| {
        ArrivedHead {
            awaited,
            named,
            is_refusal,
            is_reused,
        }
        .is_awaited()
    };
    for is_reused in [false, true] {
        for is_refusal in [false, true] {
            assert!(taken("r-1", Some("r-1"), is_refusal, is_reused));
            assert!(!taken("r-1", Some("r-0"), is_refusal, is_reused));
            assert!(!taken("", Some("r-0"), is_refusal, is_reused));
            assert_eq!(taken("", None, is_refusal, is_reused), !is_reused);
            assert_eq!(
                taken("r-1", None, is_refusal, is_reused),
                is_refusal && !is_reused
            );
        }
    }
}
