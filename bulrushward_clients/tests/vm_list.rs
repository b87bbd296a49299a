//! Tests of the VM list client against a fake VM list.

mod common;

use std::time::Duration;

use bulrushward_clients::{HttpVmList, TargetGroup, TargetLabels, Vm, VmList, VmState};
use bulrushward_fakes::{Addresses, FakeVmList, NetworkFault, ResponseFault, VmListFaults};
use common::{respond_with, stall_after_head};

/// Timeout that no call without a fault exceeds.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of calls that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

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

fn vm(node: &str, state: VmState) -> Vm {
    Vm {
        node: node.to_owned(),
        control_address: "127.0.0.1:7001".parse().unwrap(),
        state,
    }
}

async fn error_of(client: &HttpVmList) -> String {
    client.list().await.unwrap_err().to_string()
}

#[tokio::test]
async fn list_is_read_completely() {
    let fake = FakeVmList::start().await.unwrap();
    let client = HttpVmList::new(&fake.url(), TIMEOUT);
    assert_eq!(client.list().await.unwrap(), []);
    fake.set(vec![
        group("r1", VmState::Live),
        group("r2", VmState::Leaving),
    ]);
    let expected = [vm("r1", VmState::Live), vm("r2", VmState::Leaving)];
    assert_eq!(client.list().await.unwrap(), expected);
}

#[tokio::test]
async fn stale_list_is_returned_unchanged() {
    let fake = FakeVmList::start().await.unwrap();
    let client = HttpVmList::new(&fake.url(), TIMEOUT);
    fake.set(vec![group("r1", VmState::Live)]);
    fake.faults().update(|faults| faults.stale = true);
    fake.set(vec![group("r1", VmState::Leaving)]);
    assert_eq!(client.list().await.unwrap(), [vm("r1", VmState::Live)]);
    fake.faults().set(VmListFaults::default());
    assert_eq!(client.list().await.unwrap(), [vm("r1", VmState::Leaving)]);
}

#[tokio::test]
async fn faults_are_errors_and_the_next_read_succeeds() {
    let fake = FakeVmList::start().await.unwrap();
    let client = HttpVmList::new(&fake.url(), SHORT_TIMEOUT);
    let cases = [
        (ResponseFault::Malformed, "could not be parsed"),
        (ResponseFault::Truncated, "connection failed"),
        (ResponseFault::Oversized, "larger than"),
    ];
    for (fault, message) in cases {
        fake.faults().update(|faults| faults.answer = Some(fault));
        let error = error_of(&client).await;
        assert!(
            error.contains(message) && error.contains(&fake.url()),
            "{fault:?}: {error}"
        );
        fake.faults().set(VmListFaults::default());
        assert_eq!(client.list().await.unwrap(), []);
    }

    fake.faults().update(|faults| faults.slow = TIMEOUT);
    assert!(
        error_of(&client)
            .await
            .contains("no response within 1000 ms")
    );
    fake.faults().set(VmListFaults::default());
    fake.network()
        .set_fault(NetworkFault {
            hang: true,
            ..NetworkFault::default()
        })
        .await;
    assert!(
        error_of(&client)
            .await
            .contains("no response within 1000 ms")
    );
    fake.network().take_down().await;
    assert!(error_of(&client).await.contains("refused"));
    fake.network().restore().await;
    assert_eq!(client.list().await.unwrap(), []);
}

#[tokio::test]
async fn list_without_a_body_times_out() {
    let client = HttpVmList::new(&stall_after_head().await, Duration::from_millis(200));
    assert!(
        error_of(&client)
            .await
            .contains("no response within 200 ms")
    );
}

#[tokio::test]
async fn malformed_list_is_rejected() {
    let no_state = r#"[{"targets":["127.0.0.1:1"],"labels":{"node":"r1"}}]"#;
    let bad_state = r#"[{"targets":["127.0.0.1:1"],"labels":{"node":"r1","state":"gone"}}]"#;
    let bad_address = r#"[{"targets":["r1:80"],"labels":{"node":"r1","state":"live"}}]"#;
    let no_target = r#"[{"targets":[],"labels":{"node":"r1","state":"live"}}]"#;
    let cases = [
        ("{}", "could not be parsed"),
        (no_state, "missing field `state`"),
        (bad_state, "unknown variant `gone`"),
        (bad_address, "invalid socket address"),
        (no_target, "node \"r1\" has 0 targets, expected 1"),
    ];
    for (body, message) in cases {
        let client = HttpVmList::new(&respond_with(body).await, TIMEOUT);
        let error = error_of(&client).await;
        assert!(error.contains(message), "{body}: {error}");
    }
}

#[tokio::test]
async fn list_file_is_read_for_every_call() {
    let path = std::env::temp_dir().join(format!("bulrushward-vm-list-{}", std::process::id()));
    let fake = FakeVmList::start_at(Addresses::default(), Some(path.clone()))
        .await
        .unwrap();
    let client = HttpVmList::new(&fake.url(), TIMEOUT);
    assert!(error_of(&client).await.contains("status 500"));
    let text = serde_json::to_vec(&[group("r1", VmState::Live)]).unwrap();
    std::fs::write(&path, text).unwrap();
    let listed = client.list().await;
    std::fs::remove_file(&path).unwrap();
    assert_eq!(listed.unwrap(), [vm("r1", VmState::Live)]);
}
