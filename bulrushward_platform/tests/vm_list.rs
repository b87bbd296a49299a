//! The client of the VM list against its stand-in.

use std::time::Duration;

use bulrushward_fakes::FakeVmList;
use bulrushward_platform::{HttpVmList, TargetGroup, TargetLabels, Vm, VmList, VmState};

const TIMEOUT: Duration = Duration::from_secs(5);

fn group(node: &str, state: VmState) -> TargetGroup {
    let labels = TargetLabels {
        node: node.to_owned(),
        state,
        failure_domain: "ktm-1".to_owned(),
    };
    TargetGroup {
        targets: vec!["127.0.0.1:7001".parse().unwrap()],
        labels,
    }
}

#[tokio::test]
async fn list_is_read_whole() {
    let fake = FakeVmList::start().await.unwrap();
    let client = HttpVmList::new(&fake.url(), TIMEOUT);
    assert_eq!(client.list().await.unwrap(), []);

    fake.set(vec![
        group("r1", VmState::Live),
        group("r2", VmState::Leaving),
    ]);
    let control_address = "127.0.0.1:7001".parse().unwrap();
    let expected = [("r1", VmState::Live), ("r2", VmState::Leaving)].map(|(node, state)| Vm {
        node: node.to_owned(),
        control_address,
        state,
    });
    assert_eq!(client.list().await.unwrap(), expected);
}
