//! Output as a table for people or as JSON for programs.

use std::str::FromStr;

use serde::Serialize;

/// Form of the output.
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

/// Rows of text in aligned columns.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with the given column heads.
    pub fn with_heads(heads: &[&str]) -> Self {
        Self {
            rows: vec![heads.iter().map(|head| (*head).to_owned()).collect()],
        }
    }

    /// Adds a row; it has as many cells as there are heads.
    pub fn add(&mut self, row: Vec<String>) {
        debug_assert_eq!(row.len(), self.rows[0].len(), "one cell per column");
        self.rows.push(row);
    }

    /// The table as text.
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

/// JSON text of a value.
pub fn render_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
