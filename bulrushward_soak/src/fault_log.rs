//! A file that lists the injected faults with their times and targets.

use std::{
    fmt,
    fs::{self, File},
    io::{self, Write},
    path::Path,
    sync::{Mutex, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

const MS_PER_DAY: u128 = 24 * 60 * 60 * 1_000;

/// The file `faults.log` in the directory of the routers' logs.
#[derive(Debug)]
pub(crate) struct FaultLog {
    file: Mutex<File>,
}

/// A fault that has not ended; its end is logged when this is dropped.
#[derive(Debug)]
pub(crate) struct FaultGuard<'a> {
    log: &'a FaultLog,
    description: String,
}

/// Formats a time as the time of day in UTC, as in the routers' logs.
pub(crate) fn time_of_day(at: Instant) -> String {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let ms = since_epoch.saturating_sub(at.elapsed()).as_millis() % MS_PER_DAY;
    let (seconds, ms) = (ms / 1_000, ms % 1_000);
    let (minutes, seconds) = (seconds / 60, seconds % 60);
    let (hours, minutes) = (minutes / 60, minutes % 60);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{ms:03}")
}

impl FaultLog {
    /// Opens the file and appends to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory or the file cannot be created.
    pub(crate) fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let file = File::options()
            .create(true)
            .append(true)
            .open(folder.join("faults.log"))?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Logs the start of a fault.
    pub(crate) fn begin(
        &self,
        fault: impl fmt::Display,
        target: impl fmt::Display,
    ) -> FaultGuard<'_> {
        let description = format!("fault={fault} {target}");
        self.write("fault-began", &description);
        FaultGuard {
            log: self,
            description,
        }
    }

    fn write(&self, event: &str, description: &str) {
        let time = time_of_day(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writeln!(file, "time={time} event={event} {description}") {
            eprintln!("cannot write the log of faults: {error}");
        }
    }
}

impl Drop for FaultGuard<'_> {
    fn drop(&mut self) {
        self.log.write("fault-ended", &self.description);
    }
}
