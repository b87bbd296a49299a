//! Measured figures and their output as text lines and JSON.

use std::{
    fmt::{self, Display, Formatter},
    fs::File,
    path::{Path, PathBuf},
};

use serde::Serialize;
use snafu::{ResultExt, Snafu};

/// An error in writing figures.
#[derive(Debug, Snafu)]
pub enum FigureError {
    /// The file cannot be created.
    #[snafu(display("cannot create {}: {source}", path.display()))]
    Create {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The figures cannot be written.
    #[snafu(display("cannot write JSON to {}: {source}", path.display()))]
    Json {
        /// The file.
        path: PathBuf,
        /// The serialiser's error.
        source: serde_json::Error,
    },
}

/// A measured value with its description.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// Name of the measure.
    pub measure: String,
    /// Name of the fleet size.
    pub size: String,
    /// Name of the case, such as the kind of work.
    pub case: String,
    /// The value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Whether the value meets its target, if it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_met: Option<bool>,
}

impl Display for Figure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            measure,
            size,
            case,
            value,
            unit,
            target_met,
        } = self;
        write!(
            f,
            "measure={measure} size={size} case={case} value={value:.3} unit={unit}"
        )?;
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
