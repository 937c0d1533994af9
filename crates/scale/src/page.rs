//! The page's figures, written in from the slopes. In the page a table stands
//! between `<!-- table NAME -->` and `<!-- end -->`, a single figure between
//! `<!--NAME-->` and `<!---->`.
use crate::prelude::*;
use snafu::OptionExt;

/// Puts every table and figure in anew.
pub fn fill(page: &str, model: &Model) -> Result<String, RecordError> {
    let mut out = String::new();
    let mut rest = page;
    while let Some(at) = rest.find("<!--") {
        let Some(len) = rest[at..].find("-->") else { break };
        let mark = &rest[at..at + len + 3];
        let name = mark.trim_start_matches("<!--").trim_end_matches("-->").trim();
        let (text, end) = match name.strip_prefix("table ") {
            Some(t) => (model.tables.get(t).map(|t| format!("\n{t}")), "<!-- end -->"),
            None => (model.values.get(name).cloned(), "<!---->"),
        };
        let text = text.context(crate::record::NamelessSnafu { name })?;
        let after = &rest[at + mark.len()..];
        let stop = after.find(end).context(crate::record::NamelessSnafu { name: format!("{name} without {end}") })?;
        out.push_str(&rest[..at]);
        out.push_str(mark);
        out.push_str(&text);
        out.push_str(end);
        rest = &after[stop + end.len()..];
    }
    out.push_str(rest);
    Ok(out)
}

/// The lines in which two texts differ first, for a reader.
pub fn differ(page: &str, filled: &str) -> Option<String> {
    let pair = page.lines().zip(filled.lines()).enumerate().find(|(_, (a, b))| a != b);
    if let Some((n, (a, b))) = pair {
        return Some(format!("line {}:\n  the page has  {a}\n  the slopes give  {b}", n + 1));
    }
    (page != filled).then(|| "one has lines that the other lacks".to_string())
}
