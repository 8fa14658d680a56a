//! Test support for comparing the documented metrics with the registered ones.

/// Returns the names of the metrics in an encoded text in ascending order.
pub fn metric_names(text: &str) -> Vec<String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    sorted(types.filter_map(|rest| rest.split(' ').next()))
}

/// Returns the metric names with `prefix` in the first column of the page's tables in ascending order.
pub fn documented_names(page: &str, prefix: &str) -> Vec<String> {
    let cells = page.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    sorted(cells.filter(|name| name.starts_with(prefix)))
}

fn sorted<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut names: Vec<String> = names.map(str::to_string).collect();
    names.sort();
    names
}
