//! Measures how memory and processor time grow with size, for capacity planning.

use std::{
    fmt::Write as _,
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionRequest},
    load_bound::LoadBound,
    membership::MemberTable,
    placement::{Candidate, PlacementTable, rank},
};
use bulrushward_protocol::{AttemptId, encode};

use crate::{Figure, Limits, MAX_CANDIDATES, backend::admission_settings, control::member_record};

/// Numbers of backend servers for which placement is timed.
const PLACEMENT_SIZES: [usize; 3] = [20, 600, 5_000];
/// Target for one placement among 600 backend servers.
const PLACEMENT_TARGET: Duration = Duration::from_micros(10);
/// Numbers of organisations for which parsing of the configuration text is timed.
const TEXT_SIZES: [usize; 3] = [320, 3_200, 32_000];
/// Maximum size of a value in the key-value service, in bytes.
const VALUE_LIMIT: usize = 1_000_000;
/// Number of members of the planned fleet.
const MEMBERS: usize = 1_010;
/// Number of member tables held at once, so that their memory stands out from noise.
const TABLE_COPIES: usize = 20;
/// Number of attempts that one agent holds when its memory is measured.
const ATTEMPTS: usize = 100_000;

/// Measures all slopes.
#[must_use]
pub fn measure_slopes() -> Vec<Figure> {
    let mut figures = Vec::new();
    // Memory is measured first: once memory has been freed, the allocator reuses it and the
    // resident memory grows by less than what is allocated.
    measure_member_table(&mut figures);
    measure_admission(&mut figures);
    measure_config_parsing(&mut figures);
    measure_placement(&mut figures);
    figures
}

fn measure_placement(figures: &mut Vec<Figure>) {
    for size in PLACEMENT_SIZES {
        let names: Vec<String> = (0..size)
            .map(|index| format!("engine-{index:04}"))
            .collect();
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .map(|name| Candidate { name, weight: 1.0 })
            .collect();
        let mut chat = 0;
        let time = mean_time(|| {
            chat += 1;
            black_box(rank(chat, &candidates));
        });
        push_figure(
            figures,
            "placement-time-whole-order",
            &format!("{size}-backends"),
            micros(time),
            "us",
            None,
        );
        let table = PlacementTable::new(&candidates);
        let time = mean_time(|| {
            chat += 1;
            black_box(table.top(chat, MAX_CANDIDATES));
        });
        let met = (size == 600).then(|| time <= PLACEMENT_TARGET);
        push_figure(
            figures,
            "placement-time",
            &format!("{size}-backends"),
            micros(time),
            "us",
            met,
        );
    }
}

fn measure_config_parsing(figures: &mut Vec<Figure>) {
    for size in TEXT_SIZES {
        let case = format!("{size}-organisations");
        let text = configuration_text(size);
        let met = (size == 32_000).then_some(text.len() <= VALUE_LIMIT);
        push_figure(
            figures,
            "text-bytes",
            &case,
            text.len() as f64,
            "bytes",
            met,
        );
        let started = Instant::now();
        let before = resident_bytes();
        let parsed = bulrushward_config::parse(&text);
        push_figure(
            figures,
            "text-parse-time",
            &case,
            started.elapsed().as_secs_f64() * 1e3,
            "ms",
            None,
        );
        if let Err(errors) = &parsed {
            eprintln!("the configuration text of {size} organisations has errors: {errors}");
        }
        let memory = resident_bytes().saturating_sub(before);
        push_figure(
            figures,
            "text-parse-resident",
            &case,
            memory as f64,
            "bytes",
            None,
        );
        black_box(parsed.is_ok());
    }
}

fn measure_member_table(figures: &mut Vec<Figure>) {
    let records: Vec<_> = (0..MEMBERS)
        .map(|index| member_record(index, index < 600))
        .collect();
    let encoded = encode(&records[0]).map_or(0, |bytes| bytes.len());
    push_figure(
        figures,
        "member-record-bytes",
        "agent",
        encoded as f64,
        "bytes",
        None,
    );
    let now = Instant::now();
    let before = resident_bytes();
    let tables: Vec<MemberTable> = (0..TABLE_COPIES)
        .map(|index| {
            let mut table = MemberTable::new(records[index].clone(), now);
            table.merge(&records, now);
            table
        })
        .collect();
    let memory = resident_bytes().saturating_sub(before) / TABLE_COPIES;
    let case = format!("{MEMBERS}-members");
    push_figure(
        figures,
        "member-table-memory",
        &case,
        memory as f64,
        "bytes",
        None,
    );
    let live_time = mean_time(|| {
        black_box(tables[0].live(now).len());
    });
    push_figure(
        figures,
        "member-table-live-time",
        &case,
        micros(live_time),
        "us",
        None,
    );
}

fn measure_admission(figures: &mut Vec<Figure>) {
    let bound = LoadBound {
        multiple: 1.25,
        floor: u64::MAX,
    };
    let now = Instant::now();
    let before = resident_bytes();
    let mut queue = AdmissionQueue::new(admission_settings(Limits::Unlimited, bound));
    let mut attempt: AttemptId = 0;
    let started = Instant::now();
    for _ in 0..ATTEMPTS {
        attempt += 1;
        black_box(queue.submit(&admission_request(attempt, now), 0.0, now));
    }
    let time = started.elapsed() / ATTEMPTS as u32;
    let memory = resident_bytes().saturating_sub(before) / ATTEMPTS;
    push_figure(figures, "admission-time", "offer", micros(time), "us", None);
    push_figure(
        figures,
        "admission-memory",
        "attempt",
        memory as f64,
        "bytes",
        None,
    );
}

fn admission_request(attempt: AttemptId, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        attempt,
        organisation: "organisation-1".to_owned(),
        kind: "answer".to_owned(),
        work: 300,
        deadline: now + Duration::from_mins(1),
    }
}

/// Returns a configuration text like that of a large fleet.
fn configuration_text(organisations: usize) -> String {
    let mut text = String::from("[[service]]\nname = \"chat\"\nprotocol = \"chat\"\n");
    text.push_str("models = [\"model-1\"]\n");
    for index in 0..organisations {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[[organisation]]\nname = \"organisation-{index:05}\"\n\
             key_sha256 = [\"{index:064x}\"]\n"
        );
    }
    text
}

/// Returns the mean duration of a call.
fn mean_time(mut call: impl FnMut()) -> Duration {
    const CALLS: u32 = 2_000;
    let started = Instant::now();
    for _ in 0..CALLS {
        call();
    }
    started.elapsed() / CALLS
}

/// Returns the resident memory of this process, or 0 if it is not available.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next());
    kibibytes
        .and_then(|number| number.parse::<usize>().ok())
        .unwrap_or(0)
        * 1_024
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn push_figure(
    figures: &mut Vec<Figure>,
    measure: &str,
    case: &str,
    value: f64,
    unit: &'static str,
    target_met: Option<bool>,
) {
    figures.push(Figure {
        measure: measure.to_owned(),
        policy: "product".to_owned(),
        size: "slope".to_owned(),
        case: case.to_owned(),
        value,
        unit,
        target_met,
    });
}
