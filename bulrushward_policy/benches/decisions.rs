//! Benchmarks of the decisions made for each request and each control message.

use std::{
    collections::HashMap,
    hint::black_box,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionRequest, AdmissionSettings, KindSettings},
    load_bound::LoadBound,
    membership::MemberTable,
    placement::{Candidate, PlacementTable, rank, rank_top},
};
use bulrushward_protocol::{Exchange, MemberRecord, MemberState, Role, decode, encode};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_pcg::Pcg64;

fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement");
    for count in [20, 600, 5_000] {
        let names: Vec<String> = (0..count).map(|n| format!("engine-{n:04}")).collect();
        let candidates: Vec<_> = names
            .iter()
            .map(|name| Candidate { name, weight: 1.0 })
            .collect();
        let mut chat = 0;
        group.bench_function(BenchmarkId::new("rank", count), |b| {
            b.iter(|| {
                chat += 1;
                rank(black_box(chat), &candidates)
            });
        });
        group.bench_function(BenchmarkId::new("rank_top of 4", count), |b| {
            b.iter(|| {
                chat += 1;
                rank_top(black_box(chat), &candidates, 4)
            });
        });
        let table = PlacementTable::new(&candidates);
        group.bench_function(BenchmarkId::new("table, top 4", count), |b| {
            b.iter(|| {
                chat += 1;
                table.top(black_box(chat), 4)
            });
        });
    }
    group.finish();
}

fn admission(c: &mut Criterion) {
    let now = Instant::now();
    let settings = AdmissionSettings {
        concurrency: 16,
        queue: 64,
        bound: LoadBound {
            multiple: 1.25,
            floor: 1_000_000,
        },
        kinds: ["quick", "note", "long"]
            .into_iter()
            .zip([9, 5, 1])
            .map(|(name, priority)| KindSettings {
                name: name.to_owned(),
                priority,
                reserved_share: 0.25,
                deadline: Duration::from_hours(1),
            })
            .collect(),
        weights: HashMap::new(),
    };
    let request = |attempt: u128| AdmissionRequest {
        attempt,
        organisation: format!("org-{}", attempt % 10),
        kind: ["quick", "note", "long"][attempt as usize % 3].to_owned(),
        work: 100 + attempt as u64 % 400,
        deadline: now + Duration::from_hours(1),
    };
    for (name, waiting) in [("idle", 0), ("queue of 32", 48)] {
        let mut queue = AdmissionQueue::new(settings.clone());
        for attempt in 0..waiting {
            queue.submit(&request(attempt), 0.0, now);
        }
        let new_request = request(1_000);
        c.bench_function(&format!("admission/offer and cancel, {name}"), |b| {
            b.iter(|| {
                let decision = queue.submit(black_box(&new_request), 0.0, now);
                queue.cancel(new_request.attempt, now);
                decision
            });
        });
    }
}

fn record(node: usize) -> MemberRecord {
    MemberRecord {
        node: format!("agent-{node:04}"),
        incarnation: 1_800_000_000_000,
        version: 3_000,
        role: Role::Agent,
        state: MemberState::Live,
        control_address: ([10, 0, 1, 1], 7_000).into(),
        data_address: ([10, 0, 1, 1], 7_001).into(),
        failure_domain: "domain-1".to_owned(),
        service: Some("chat".to_owned()),
        backend: Some(format!("engine-{node:04}")),
        load: 7_000,
        queued: 3,
        revision: 1_500,
    }
}

fn control(c: &mut Criterion) {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut table = MemberTable::new(record(0), now);
    let records: Vec<_> = (1..1_010).map(record).collect();
    table.merge(&records, now);
    c.bench_function("control/exchange_out of 1010", |b| {
        b.iter(|| table.outgoing_records(now, 450, &mut rng));
    });
    let exchange = Exchange {
        own: record(0),
        members: table.outgoing_records(now, 450, &mut rng),
        suspects: Vec::new(),
        quarantine: Vec::new(),
        revision: 1_500,
        configuration: None,
    };
    let bytes = encode(&exchange).expect("the exchange can be encoded");
    println!(
        "control: {} records take {} bytes",
        exchange.members.len() + 1,
        bytes.len()
    );
    c.bench_function("control/encode", |b| {
        b.iter(|| encode(black_box(&exchange)));
    });
    c.bench_function("control/decode", |b| {
        b.iter(|| decode::<Exchange>(black_box(&bytes)));
    });
    c.bench_function("control/merge", |b| {
        b.iter(|| table.merge(black_box(&exchange.members), now));
    });
}

criterion_group!(decisions, placement, admission, control);
criterion_main!(decisions);
