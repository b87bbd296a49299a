//! Runs one case of the review: `harness CASE FOLDER`.
//!
//! Exit code 1: the rule was broken, 0: it held, 2: the case could not run. `TROUBLE=0` runs it without the disruption.

mod client;
mod http;
mod large_bodies;
mod lost_watch;
mod router;
mod server;
mod store;
mod store_drill;
mod unread_bodies;
mod util;

use std::{
    fs,
    net::IpAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};

use router::Router;
use store::Store;
use util::Record;

/// What a case has: routers, a store and the record.
pub struct Fleet {
    pub routers: Vec<Arc<Router>>,
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
}

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

impl Fleet {
    /// Starts routers with a configuration, after `servers` have registered.
    pub fn start<S>(
        folder: &Path,
        count: usize,
        config: &str,
        more_settings: &str,
        servers: impl FnOnce(&Store, &Record) -> std::io::Result<S>,
    ) -> std::io::Result<(Self, S)> {
        let record = Record::create(folder)?;
        let store = Store::default();
        let address = store.serve()?;
        store.write("op/config", config);
        let started = servers(&store, &record)?;
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary)?;
        let ips: Vec<IpAddr> = util::free_addresses(count);
        let routers =
            (0..count).map(|index| Router::new(index, &ips, address, more_settings, &temporary));
        let routers = routers.collect::<Result<Vec<_>, _>>()?;
        for router in &routers {
            router.start()?;
        }
        let fleet = Self {
            routers,
            store,
            record,
            folder: temporary,
        };
        if !fleet.routers.iter().all(|router| router.wait_ready()) {
            return Err(std::io::Error::other("a router is not ready"));
        }
        // Routers learn of each other in the first seconds.
        thread::sleep(Duration::from_secs(4));
        Ok((fleet, started))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &self.routers {
            router.end();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn main() -> ExitCode {
    util::elapsed();
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "large-bodies" => large_bodies::run(folder, is_troubled),
        "store-drill" => store_drill::run(folder, is_troubled),
        "unread-bodies" => unread_bodies::run(folder, is_troubled),
        "lost-watch" => lost_watch::run(folder, is_troubled),
        _ => Ok(Verdict::CouldNotRun(format!("no case {case}"))),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(text)) => (1, format!("the rule was broken: {text}")),
        Ok(Verdict::CouldNotRun(text)) => (2, format!("the case could not run: {text}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    println!("{text}");
    if let Ok(mut file) = fs::File::options()
        .append(true)
        .open(folder.join("record.txt"))
    {
        use std::io::Write;
        let _ = writeln!(file, "{text}");
    }
    ExitCode::from(code)
}
