//! Machines with links of 10 Mbit/s, and a configuration of many routes.

use std::{
    fmt::Write as _,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::common::*;

/// `LinkMbps` of the machines, in bytes a second.
const LINK: f64 = 10e6 / 8.0;
/// Routes that the configuration grows by.
pub const ADDED_ROUTES: usize = 1_400;
/// `ValueBytes` of the store.
pub const VALUE_BYTES: usize = 1_048_576;

/// What passes a machine's link towards it, from any number of connections.
struct Link {
    free_at: Mutex<Instant>,
}

impl Link {
    /// Waits as long as these bytes take on the link.
    fn pass(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().unwrap();
        *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / LINK);
        let until = *free_at;
        drop(free_at);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Starts a proxy to the store with the rate of a machine's link.
pub fn start_link(store: SocketAddr, host: u8) -> SocketAddr {
    let listener = listen(ip(host));
    let address = listener.local_addr().unwrap();
    let link = Arc::new(Link {
        free_at: Mutex::new(Instant::now()),
    });
    serve_each(listener, move |router| {
        let Ok(store) = TcpStream::connect(store) else {
            return;
        };
        let (Ok(to_store), Ok(from_router)) = (store.try_clone(), router.try_clone()) else {
            return;
        };
        thread::spawn(move || copy(&from_router, &to_store, None));
        copy(&store, &router, Some(&link));
    });
    address
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, link: Option<&Link>) {
    let mut buf = [0; 4_096];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        if let Some(link) = link {
            link.pass(len);
        }
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _closed = from.shutdown(std::net::Shutdown::Both);
    let _closed = to.shutdown(std::net::Shutdown::Both);
}

/// Returns a configuration with the first route and so many added ones, and the keys of the only tenant, without any white space.
pub fn large_config(version: u64, added: usize, keys: &[&str]) -> String {
    let mut routes = format!(
        "{{\"Name\":\"lookup\",\"Host\":\"{HOST}\",\"Prefix\":\"/lookup/\",\"Kind\":\"safe\",\"TimeoutMs\":600,\
         \"TargetLatencyMs\":120,\"Priority\":1,\"Service\":\"registry-app\",\"Attempts\":2,\"Public\":false,\
         \"StickySessions\":false,\"Resumable\":false,\"GapAimMs\":300}}"
    );
    for index in 0..added {
        let _written = write!(
            routes,
            ",{{\"Name\":\"portfolio-review-for-the-workshops-of-organisation-{index:04}\",\
             \"Host\":\"organisation-{index:04}.portfolio-review.assessments.technicians.kathmandu-valley.accreditation.example\",\
             \"Prefix\":\"/api/v1/organisations/shrestha-motor-trades-accreditation/members/organisation-{index:04}/workshops/\
             portfolio-reviews/assessments/by-examiners-of-the-region/\",\"Kind\":\"safe\",\"TimeoutMs\":600,\
             \"TargetLatencyMs\":120,\"Priority\":1,\"TrafficSplit\":[{{\"Service\":\"registry-app\",\"Weight\":75}},\
             {{\"Service\":\"registry-app-next\",\"Weight\":25}}],\"Attempts\":2,\"Public\":false,\
             \"StickySessions\":false,\"Resumable\":false,\"GapAimMs\":300}}"
        );
    }
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let service = |name| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthCheckPath\":\"/health\",\"ConnectionLimit\":210,\"Protocol\":\"h1\",\"Tls\":false}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant-a\",\"AccessKeys\":[{keys}]}}]}}",
        service("registry-app"),
        service("registry-app-next")
    )
}
