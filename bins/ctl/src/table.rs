//! Text tables and formats.

/// Renders rows under a header, with columns as wide as their widest cell.
pub fn render(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut lines = vec![header.iter().map(|cell| (*cell).to_owned()).collect()];
    lines.extend(rows.into_iter().map(|row| row.iter().map(|cell| escape_control(cell)).collect()));
    let widths = column_widths(&lines);
    lines.iter().map(|line| render_line(line, &widths)).collect()
}

fn column_widths(lines: &[Vec<String>]) -> Vec<usize> {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    (0..columns).map(width).collect()
}

fn render_line(line: &[String], widths: &[usize]) -> String {
    let cells: Vec<_> =
        line.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", cells.join("  ").trim_end())
}

/// Escapes control characters, so that untrusted text cannot control the terminal.
pub fn escape_control(text: &str) -> String {
    let escape =
        |c: char| if c.is_control() { c.escape_default().to_string() } else { c.to_string() };
    text.chars().map(escape).collect()
}

/// Formats a duration in milliseconds with a suitable unit.
pub fn format_age(millis: u64) -> String {
    match millis {
        0..1000 => format!("{millis} ms"),
        1000..60_000 => format!("{}.{} s", millis / 1000, millis % 1000 / 100),
        60_000..3_600_000 => format!("{} min {} s", millis / 60_000, millis / 1000 % 60),
        _ => format!("{} h {} min", millis / 3_600_000, millis / 60_000 % 60),
    }
}
