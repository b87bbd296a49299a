//! Bodies of callers share memory by service.

use bulrushward_policy::body_budget::BodyBudget;
use proptest::{collection::vec, prelude::*};

const MB: usize = 1_000_000;
/// Bytes of a body that are not counted.
const FREE: usize = 64 << 10;

#[test]
fn a_service_leaves_as_much_as_it_uses() {
    let mut budget = BodyBudget::new(100 * MB);
    let body = 3 * MB + FREE;
    let mut accept = |service: u64| (0..100).filter(|_| budget.resize(service, 0, body)).count();
    // Each service stops at what the others leave.
    assert_eq!(accept(1), 16);
    assert_eq!(accept(2), 8);
    assert_eq!(accept(3), 4);
    assert_eq!(accept(1), 0);
}

#[test]
fn small_bodies_are_always_accepted() {
    let mut budget = BodyBudget::new(MB);
    assert!(!budget.resize(1, 0, MB));
    for _ in 0..1_000 {
        assert!(budget.resize(1, 0, FREE));
    }
    assert!(budget.resize(1, 0, MB / 2));
    assert!(!budget.resize(1, FREE, FREE + MB / 2));
}

proptest! {
    /// Bodies took more memory than a process has, or what they took was never free again.
    #[test]
    fn the_bodies_fit_into_the_memory_and_it_is_free_after_them(
        sizes in vec((0..4_u64, 0..8 * MB, 0..8 * MB), 1..60),
    ) {
        let capacity = 20 * MB;
        let mut budget = BodyBudget::new(capacity);
        let mut held = Vec::new();
        for (service, first, second) in sizes {
            let mut size = 0;
            for next in [first, second] {
                if budget.resize(service, size, next) {
                    size = next;
                }
            }
            held.push((service, size));
            let counted: usize = held.iter().map(|(_, size)| size.saturating_sub(FREE)).sum();
            prop_assert!(counted <= capacity, "{counted}");
        }
        for (service, size) in held {
            prop_assert!(budget.resize(service, size, 0));
        }
        prop_assert!(budget.resize(0, 0, capacity / 2));
    }
}
