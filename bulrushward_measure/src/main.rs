//! Measures the decision code of the fleet against in-memory models.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use bulrushward_measure::{
    Figure, FigureError, Size, draw_plots, measure_control, measure_runs, measure_slopes,
    write_csv, write_json,
};
use bulrushward_policy::load_bound::LoadBound;
use snafu::{Snafu, ensure};
use strum::{Display, EnumString};

/// Parts of the measurement.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum Part {
    /// Everything but the slopes.
    All,
    /// Cache reuse, load skew, time to first token and refusals.
    Runs,
    /// Control traffic and propagation times.
    Control,
    /// Memory and processor time by size.
    Slopes,
}

impl Part {
    fn includes(self, part: Self) -> bool {
        self == part || (self == Self::All && part != Self::Slopes)
    }
}

/// Measures the decision code of the fleet against in-memory models
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the workload and of all random choices
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Measure shorter virtual times, which takes less than 30 s
    quick: bool,
    /// Measure only the size with this name
    #[bpaf(argument("NAME"))]
    size: Option<String>,
    /// Multiple of the mean load that agents use as their load bound
    #[bpaf(argument("RATIO"), fallback(1.25), display_fallback)]
    multiple: f64,
    /// Load that an engine may always carry, in work units; the default is that of a chat service
    #[bpaf(argument("UNITS"), fallback_with(default_floor))]
    floor: u64,
    /// Write the figures as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Write the figures as CSV
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// Draw a chart of each measure into this directory
    #[bpaf(argument("DIR"))]
    plots: Option<PathBuf>,
    /// all, runs, control or slopes; all leaves out the slopes
    #[bpaf(positional("PART"), fallback(Part::All))]
    part: Part,
}

/// Returns the default load floor of a service in the configuration text.
fn default_floor() -> Result<u64, String> {
    let text = "[[service]]\nname = \"chat\"\nprotocol = \"chat\"\n";
    let cfg = bulrushward_config::parse(text).map_err(|errors| errors.to_string())?;
    let service = cfg
        .services
        .first()
        .ok_or("the configuration text has no service")?;
    Ok(service.load_floor)
}

/// An error that ends the measurement.
#[derive(Debug, Snafu)]
enum MeasureError {
    /// No fleet size has the given name.
    #[snafu(display("no size is named {name:?}, expected one of {known}"))]
    UnknownSize { name: String, known: String },
    /// The figures could not be written.
    #[snafu(transparent)]
    Write { source: FigureError },
}

fn main() -> ExitCode {
    let options = options().run();
    match measure(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushward-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(options: &Options) -> Result<(), MeasureError> {
    let sizes = selected_sizes(options)?;
    let bound = LoadBound {
        multiple: options.multiple,
        floor: options.floor,
    };
    let mut figures = Vec::new();
    if options.part.includes(Part::Runs) {
        figures.extend(measure_runs(&sizes, bound, options.seed));
    }
    if options.part.includes(Part::Control) {
        let control = |size| measure_control(size, options.seed);
        figures.extend(sizes.iter().flat_map(control));
    }
    if options.part.includes(Part::Slopes) {
        figures.extend(measure_slopes());
    }
    report(options, &figures)?;
    Ok(())
}

fn selected_sizes(options: &Options) -> Result<Vec<Size>, MeasureError> {
    let mut sizes = Size::all(options.quick);
    let Some(name) = &options.size else {
        return Ok(sizes);
    };
    let names: Vec<&str> = sizes.iter().map(|size| size.name).collect();
    let known = names.join(", ");
    sizes.retain(|size| size.name == name);
    ensure!(!sizes.is_empty(), UnknownSizeSnafu { name, known });
    Ok(sizes)
}

fn report(options: &Options, figures: &[Figure]) -> Result<(), FigureError> {
    for figure in figures {
        println!("{figure}");
    }
    if let Some(path) = &options.json {
        write_json(path, figures)?;
    }
    if let Some(path) = &options.csv {
        write_csv(path, figures)?;
    }
    if let Some(dir) = &options.plots {
        draw_plots(dir, figures)?;
    }
    Ok(())
}
