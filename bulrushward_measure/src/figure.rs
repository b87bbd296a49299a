//! Measured figures and their output as text lines, JSON and CSV.

use std::{
    fmt::{self, Display, Formatter},
    fs::File,
    path::{Path, PathBuf},
};

use serde::Serialize;
use snafu::{ResultExt, Snafu};

/// An error in writing figures.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FigureError {
    /// The file cannot be created.
    #[snafu(display("cannot create {}: {source}", path.display()))]
    Create {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The figures cannot be written as JSON.
    #[snafu(display("cannot write JSON to {}: {source}", path.display()))]
    Json {
        /// The file.
        path: PathBuf,
        /// The serialiser's error.
        source: serde_json::Error,
    },
    /// The figures cannot be written as CSV.
    #[snafu(display("cannot write CSV to {}: {source}", path.display()))]
    Csv {
        /// The file.
        path: PathBuf,
        /// The serialiser's error.
        source: csv::Error,
    },
    /// A chart cannot be drawn.
    #[snafu(display("cannot draw {}: {message}", path.display()))]
    Plot {
        /// The file.
        path: PathBuf,
        /// The plotting library's error.
        message: String,
    },
}

/// A measured value with its description.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// Name of the measure.
    pub measure: String,
    /// Name of the policy; `product` for measures that compare no policies.
    pub policy: String,
    /// Name of the fleet size.
    pub size: String,
    /// Name of the case.
    pub case: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// Whether the value meets its target, if it has one.
    pub target_met: Option<bool>,
}

impl Display for Figure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            measure,
            policy,
            size,
            case,
            value,
            unit,
            target_met,
        } = self;
        write!(
            f,
            "measure={measure} policy={policy} size={size} case={case}"
        )?;
        write!(f, " value={value:.4} unit={unit}")?;
        match target_met {
            Some(true) => write!(f, " target=met"),
            Some(false) => write!(f, " target=missed"),
            None => Ok(()),
        }
    }
}

/// Writes figures as a JSON array.
///
/// # Errors
///
/// Returns [`FigureError`] if the file cannot be written.
pub fn write_json(path: &Path, figures: &[Figure]) -> Result<(), FigureError> {
    let file = File::create(path).context(CreateSnafu { path })?;
    serde_json::to_writer_pretty(file, figures).context(JsonSnafu { path })
}

/// Writes figures as CSV with a header.
///
/// # Errors
///
/// Returns [`FigureError`] if the file cannot be written.
pub fn write_csv(path: &Path, figures: &[Figure]) -> Result<(), FigureError> {
    let file = File::create(path).context(CreateSnafu { path })?;
    let mut writer = csv::Writer::from_writer(file);
    for figure in figures {
        writer.serialize(figure).context(CsvSnafu { path })?;
    }
    writer.flush().context(CreateSnafu { path })
}
