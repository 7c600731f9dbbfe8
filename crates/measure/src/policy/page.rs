//! Markdown page and plots of the policy measurement.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use flamingowalk_core::prelude::*;

use super::case_run::{CaseResult, PlannerVariant};
use super::case_summary::DurationSummary;
use super::file_error;
use super::workload::SizeClass;
use super::{EXAMPLES, PolicyChoice};
use crate::error::MeasureError;
use crate::plot::{LinePlot, PlotLine, PlotPoint};

const PAGE: &str = "POLICY.md";

const INTRODUCTION: &str = "\
The planner state machine on a virtual clock, with virtual workers that enforce
leases and terms as the stand-in workers do. Arrivals are drawn from a seed and are
the same for every planner: small urgent bursts and ordinary jobs mostly by day, and
batch jobs mostly within two hours in the evening. Three times a day, a customer
drawn at random cancels 40% of its recently submitted jobs. Real run times differ
from the declared ones by a factor between 0.1 and 10 per customer and class, and lie
between 5 s and 6 h. 1% of the jobs fail on every worker, and 1% fit on no worker.
Per zone and day, one worker crashes for 10 minutes and one fails every task for an
hour. Load is the real accelerator time of the jobs as a share of the capacity. Each
run continues for up to 12 hours after the last arrival; a job that is still open
then counts with its age, so times near the length of a run are lower bounds. Home
zones are drawn at random, with a preference for zones in which a guaranteed block of
the customer holds the job.

*FCFS first fit* is strict: the oldest job blocks all others. It does not receive the
jobs that no worker can hold. *First version* is first fit that skips jobs that do
not fit. Not measured here: usage reports, lost responses, a change of the leader,
draining workers, and the choice of zone.

";

const LEGEND: &str = "\
- *urgent*, *17-32 wait*: from acceptance to the start of all members.
- *claim wait*: the same, for jobs that arrived while all open jobs of their customer
  in the zone, the new one included, fitted into its guaranteed blocks; *in bound* is
  the share that started within the reclaim bound.
- *block*: ratio of the largest adjacent free block to the largest that the same
  number of free accelerators could form, mean over the minutes with at least 8 free.
- *one rack*: share of gangs of 16 and more that started on one rack.
- *use*: mean share of accelerators that ran a task while jobs arrived.
- *broken*: gangs incomplete in two consecutive samples / repeated ends of jobs /
  repeated starts of non-idempotent jobs. All must be zero.

";

/// Writes the page with its plots into `output`.
pub fn write(
    results: &[CaseResult],
    choice: &PolicyChoice,
    output: &Path,
) -> Result<(), MeasureError> {
    fs::create_dir_all(output).map_err(|source| file_error(output, source))?;
    let mut page = String::from("# Placement policy\n\n");
    page += "Made by `cargo run --release --bin flamingowalk-measure -- policy";
    let PolicyChoice { seed, days, .. } = choice;
    writeln!(page, " --seed {seed} --days {days}`.\n").expect("text takes any line");
    page += INTRODUCTION;
    for example in EXAMPLES {
        let cases: Vec<_> = results
            .iter()
            .filter(|r| r.key.example == example)
            .collect();
        writeln!(page, "## {example}\n").expect("text takes any line");
        page += &example_tables(&cases);
        page += &plots(example, &cases, output)?;
    }
    page += "## Columns\n\n";
    page += LEGEND;
    let path = output.join(PAGE);
    fs::write(&path, page.trim_end().to_owned() + "\n").map_err(|source| file_error(&path, source))
}

/// Returns the tables alone, for a selection of cases.
pub fn tables(results: &[CaseResult]) -> String {
    let mut text = String::new();
    for example in EXAMPLES {
        let cases: Vec<_> = results
            .iter()
            .filter(|r| r.key.example == example)
            .collect();
        if !cases.is_empty() {
            writeln!(text, "## {example}\n").expect("text takes any line");
            text += &example_tables(&cases);
        }
    }
    text
}

fn example_tables(cases: &[&CaseResult]) -> String {
    completion_table(cases) + &policy_table(cases) + &endings_table(cases)
}

/// Formats a duration in seconds, minutes or hours, by its length.
fn short(time: Duration) -> String {
    let secs = time.as_secs_f64();
    if secs < 120.0 {
        format!("{secs:.1} s")
    } else if secs < 7_200.0 {
        format!("{:.0} min", secs / 60.0)
    } else {
        format!("{:.1} h", secs / 3_600.0)
    }
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn table(columns: &[&str]) -> String {
    let rule = vec!["---"; columns.len()].join(" | ");
    format!("| {} |\n| {rule} |\n", columns.join(" | "))
}

fn row(text: &mut String, cells: &[String]) {
    writeln!(text, "| {} |", cells.join(" | ")).expect("text takes any line");
}

fn case_cells(case: &CaseResult) -> Vec<String> {
    vec![case.key.load.to_string(), case.key.variant.name().into()]
}

fn completion_table(cases: &[&CaseResult]) -> String {
    let sizes = SizeClass::ALL.map(|size| format!("{} acc.", size.name()));
    let mut columns = vec!["load", "planner"];
    columns.extend(sizes.iter().map(String::as_str));
    let mut text = String::from("Completion time by accelerators of the gang, p50 / p99:\n\n");
    text += &table(&columns);
    for case in cases {
        let mut cells = case_cells(case);
        for size in SizeClass::ALL {
            let completion = case.summary.completion[&size];
            cells.push(format!(
                "{} / {}",
                short(completion.median),
                short(completion.p99)
            ));
        }
        row(&mut text, &cells);
    }
    text + "\n"
}

fn policy_table(cases: &[&CaseResult]) -> String {
    let mut text = String::from("Waits, guarantees and fragmentation:\n\n");
    text += &table(&[
        "load",
        "planner",
        "urgent p99",
        "17-32 wait p50 / longest",
        "claim wait p50 / p99",
        "in bound",
        "block",
        "one rack",
        "use",
    ]);
    for case in cases {
        let summary = &case.summary;
        let mut cells = case_cells(case);
        cells.push(short(summary.urgent_wait.p99));
        cells.push(format!(
            "{} / {}",
            short(summary.huge_wait.median),
            short(summary.huge_wait.longest)
        ));
        cells.push(format!(
            "{} / {}",
            short(summary.claim_wait.median),
            short(summary.claim_wait.p99)
        ));
        cells.push(percent(summary.claims_in_bound));
        cells.push(percent(summary.block_ratio));
        cells.push(percent(summary.one_rack));
        cells.push(percent(summary.utilisation));
        row(&mut text, &cells);
    }
    text + "\n"
}

fn endings_table(cases: &[&CaseResult]) -> String {
    let mut text = String::from("Endings:\n\n");
    text += &table(&[
        "load",
        "planner",
        "arrived",
        "finished",
        "failed",
        "cancelled",
        "refused",
        "open at the end",
        "checkpoints",
        "broken",
    ]);
    for case in cases {
        let summary = &case.summary;
        let ends = summary.ends;
        let mut cells = case_cells(case);
        let counts = [
            ends.arrived,
            ends.finished,
            ends.failed,
            ends.cancelled,
            ends.refused,
            ends.open,
            u64::from(summary.checkpoints),
        ];
        cells.extend(counts.iter().map(ToString::to_string));
        cells.push(format!(
            "{} / {} / {}",
            summary.partial_gangs, summary.repeated_ends, summary.repeated_starts
        ));
        row(&mut text, &cells);
    }
    text + "\n"
}

/// Plot of one metric of every case by load.
struct PlotFigure {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    value: fn(&CaseResult) -> f64,
}

fn p99_minutes(summary: &DurationSummary) -> f64 {
    summary.p99.as_secs_f64() / 60.0
}

const FIGURES: [PlotFigure; 3] = [
    PlotFigure {
        file: "urgent",
        title: "wait of urgent jobs, p99",
        unit: "minutes",
        value: |case| p99_minutes(&case.summary.urgent_wait),
    },
    PlotFigure {
        file: "gang",
        title: "wait of gangs of 17-32 accelerators, p99",
        unit: "minutes",
        value: |case| p99_minutes(&case.summary.huge_wait),
    },
    PlotFigure {
        file: "block",
        title: "largest free block against the best possible",
        unit: "percent",
        value: |case| case.summary.block_ratio * 100.0,
    },
];

fn plots(example: &str, cases: &[&CaseResult], output: &Path) -> Result<String, MeasureError> {
    let mut text = String::new();
    for figure in &FIGURES {
        let file = format!("policy-{example}-{}.svg", figure.file);
        let plot = LinePlot {
            title: format!("{example}: {}", figure.title),
            x_name: "load".into(),
            y_name: figure.unit.into(),
            lines: PlannerVariant::ALL
                .map(|variant| plot_line(variant, cases, figure.value))
                .to_vec(),
        };
        plot.write(&output.join(&file))?;
        writeln!(text, "![{example}: {}]({file})", figure.title).expect("text takes any line");
    }
    Ok(text + "\n")
}

fn plot_line(
    variant: PlannerVariant,
    cases: &[&CaseResult],
    value: fn(&CaseResult) -> f64,
) -> PlotLine {
    let of_variant = cases.iter().filter(|case| case.key.variant == variant);
    let points = of_variant.map(|case| PlotPoint {
        x: case.key.load,
        y: value(case),
    });
    PlotLine {
        name: variant.name().into(),
        points: points.collect(),
    }
}
