//! Output of the commands as a table for people or as JSON for programs.

use std::str::FromStr;

use serde::Serialize;

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Aligned columns.
    #[default]
    Table,
    /// One JSON document.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is no output format; use table or json")),
        }
    }
}

/// Text table with aligned columns.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the given column titles.
    pub fn with_header(titles: &[&str]) -> Self {
        Self {
            rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()],
        }
    }

    /// Adds a row, which has one cell per column title.
    pub fn add_row(&mut self, row: Vec<String>) {
        debug_assert_eq!(row.len(), self.rows[0].len(), "one cell per column");
        self.rows.push(row);
    }

    /// Renders the table as text.
    pub fn render(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].len()).max();
        let widths: Vec<usize> = (0..columns).filter_map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Renders a value as JSON text.
pub fn render_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
