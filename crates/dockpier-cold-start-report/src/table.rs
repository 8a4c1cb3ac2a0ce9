//! The figures as a Parquet file, and the table that is made from it.

use crate::measure::Run;
use parquet::data_type::{BoolType, DataType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::{SerializedFileWriter, SerializedRowGroupWriter};
use parquet::schema::parser::parse_message_type;
use std::fmt::Write;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// Why there is no table.
#[derive(Debug, Error)]
pub enum TableError {
    /// The file could not be written or read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Its content could not be written or read.
    #[error("{0}")]
    Parquet(#[from] ParquetError),
    /// The table could not be put together.
    #[error("{0}")]
    Text(#[from] std::fmt::Error),
}

const SCHEMA: &str = "message cold_start {
    REQUIRED INT64 machines;
    REQUIRED DOUBLE away_s;
    REQUIRED BOOLEAN enabled;
    REQUIRED DOUBLE reconciled_s;
    REQUIRED DOUBLE services_s;
    REQUIRED DOUBLE whole_s;
    REQUIRED INT64 orders;
    REQUIRED INT64 peak_orders;
    REQUIRED INT64 lost;
    REQUIRED INT64 ran_twice;
    REQUIRED INT64 changes;
}";

type RowGroup<'a> = SerializedRowGroupWriter<'a, File>;

/// Writes the figures, a column each, in the order of the schema.
///
/// # Errors
/// The file can't be written.
pub fn write(file: &Path, runs: &[Run]) -> Result<(), TableError> {
    let schema = Arc::new(parse_message_type(SCHEMA)?);
    let properties = Arc::new(WriterProperties::builder().build());
    let mut writer = SerializedFileWriter::new(File::create(file)?, schema, properties)?;
    let mut group = writer.next_row_group()?;
    integers(&mut group, runs, |run| run.machines)?;
    reals(&mut group, runs, |run| run.away_s)?;
    column::<BoolType>(&mut group, runs, |run| run.enabled)?;
    times(&mut group, runs, |run| run.reconciled_s)?;
    times(&mut group, runs, |run| run.services_s)?;
    times(&mut group, runs, |run| run.whole_s)?;
    integers(&mut group, runs, |run| run.orders)?;
    integers(&mut group, runs, |run| run.peak_orders)?;
    integers(&mut group, runs, |run| run.lost)?;
    integers(&mut group, runs, |run| run.ran_twice)?;
    integers(&mut group, runs, |run| run.changes)?;
    group.close()?;
    writer.close()?;
    Ok(())
}

fn integers(group: &mut RowGroup<'_>, runs: &[Run], of: impl Fn(&Run) -> i64) -> Result<(), TableError> {
    column::<Int64Type>(group, runs, of)
}

fn reals(group: &mut RowGroup<'_>, runs: &[Run], of: impl Fn(&Run) -> f64) -> Result<(), TableError> {
    column::<DoubleType>(group, runs, of)
}

/// Times that may be missing; one that is missing is written as not a number.
fn times(group: &mut RowGroup<'_>, runs: &[Run], of: impl Fn(&Run) -> Option<f64>) -> Result<(), TableError> {
    column::<DoubleType>(group, runs, |run| of(run).unwrap_or(f64::NAN))
}

fn column<T: DataType>(
    group: &mut RowGroup<'_>,
    runs: &[Run],
    of: impl Fn(&Run) -> T::T,
) -> Result<(), TableError> {
    let Some(mut column) = group.next_column()? else { return Ok(()) };
    let values: Vec<T::T> = runs.iter().map(of).collect();
    column.typed::<T>().write_batch(&values, None, None)?;
    Ok(column.close()?)
}

/// The table of a file, in Markdown.
///
/// # Errors
/// The file can't be read.
pub fn read(file: &Path) -> Result<String, TableError> {
    let reader = SerializedFileReader::new(File::open(file)?)?;
    let mut text = String::new();
    for (number, row) in reader.get_row_iter(None)?.enumerate() {
        let row = row?;
        if number == 0 {
            let names: Vec<&str> = row.get_column_iter().map(|(name, _)| name.as_str()).collect();
            writeln!(text, "| {} |", names.join(" | "))?;
            writeln!(text, "|{}", " --- |".repeat(names.len()))?;
        }
        let values: Vec<String> = row.get_column_iter().map(|(_, value)| value.to_string()).collect();
        writeln!(text, "| {} |", values.join(" | "))?;
    }
    Ok(text)
}
