//! For tests that hold the documented metrics against the registered ones.

/// The names of the metrics in a text, in order.
pub fn metric_names(text: &str) -> Vec<String> {
    let mut names: Vec<String> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next()).map(str::to_string).collect();
    names.sort();
    names
}

/// The names that a page lists in the first column of its tables, of those that begin so, in order.
pub fn documented_names(page: &str, prefix: &str) -> Vec<String> {
    let cells = page.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let mut names: Vec<String> = cells.filter(|name| name.starts_with(prefix)).map(str::to_string).collect();
    names.sort();
    names
}
