//! Charts of the three main measures.

use std::path::Path;

use plotters::prelude::*;

use crate::{Figure, FigureError, figure::PlotSnafu};

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (1_400, 640);
/// Height of the area for labels below the bars, in pixels.
const LABEL_AREA_HEIGHT: u32 = 260;

/// Description of the chart of one measure.
struct Plot {
    file: &'static str,
    measure: &'static str,
    title: &'static str,
    axis: &'static str,
    /// Target values, drawn as lines.
    targets: &'static [f64],
}

const PLOTS: [Plot; 3] = [
    Plot {
        file: "reuse.svg",
        measure: "reuse-of-oracle",
        title: "Cache reuse",
        axis: "share of the oracle's reuse",
        targets: &[0.85, 0.95],
    },
    Plot {
        file: "skew.svg",
        measure: "skew-max",
        title: "Load skew at admission, maximum above the floor",
        axis: "load over mean load",
        targets: &[1.25],
    },
    Plot {
        file: "control.svg",
        measure: "control-bytes",
        title: "Control traffic of one process, sent and received",
        axis: "bytes per second",
        targets: &[3_000.0],
    },
];

/// Draws a chart for each measure into a directory.
///
/// # Errors
///
/// Returns [`FigureError::Plot`] if a chart cannot be drawn.
pub fn draw_plots(dir: &Path, figures: &[Figure]) -> Result<(), FigureError> {
    for plot in &PLOTS {
        let bars: Vec<&Figure> = figures
            .iter()
            .filter(|figure| figure.measure == plot.measure)
            .collect();
        if bars.is_empty() {
            continue;
        }
        let path = dir.join(plot.file);
        draw(&path, plot, &bars).map_err(|error| {
            PlotSnafu {
                path,
                message: error.to_string(),
            }
            .build()
        })?;
    }
    Ok(())
}

fn draw(path: &Path, plot: &Plot, bars: &[&Figure]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let highest = bars
        .iter()
        .map(|bar| bar.value)
        .chain(plot.targets.iter().copied());
    let top = highest.fold(0.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(plot.title, ("sans-serif", 24))
        .margin(12)
        .x_label_area_size(LABEL_AREA_HEIGHT)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..top)?;
    let label = |x: &f64| {
        let bar = bars.get(*x as usize).filter(|_| x.fract() < 0.01);
        bar.map_or(String::new(), |bar| {
            format!("{} {} {}", bar.size, bar.case, bar.policy)
        })
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len() + 1)
        .x_label_formatter(&label)
        .x_label_style(
            ("sans-serif", 12)
                .into_font()
                .transform(FontTransform::Rotate90),
        )
        .y_label_style(("sans-serif", 14))
        .y_desc(plot.axis)
        .axis_desc_style(("sans-serif", 16))
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, bar)| {
        let color = if bar.policy == "product" {
            BLUE
        } else {
            RGBColor(120, 120, 120)
        };
        let left = index as f64;
        Rectangle::new([(left + 0.1, 0.0), (left + 0.9, bar.value)], color.filled())
    }))?;
    for target in plot.targets {
        let ends = [(0.0, *target), (bars.len() as f64, *target)];
        chart.draw_series(LineSeries::new(ends, RED.stroke_width(2)))?;
    }
    root.present()?;
    Ok(())
}
