//! Description of a key, and the example text made from descriptions.

use std::fmt::Write;

/// Description of one key of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Name.
    pub name: &'static str,
    /// What values look like.
    pub kind: &'static str,
    /// Whether the key must be set, and its default.
    pub presence: Presence,
    /// Accepted numbers, for keys whose values are numbers.
    pub range: Option<NumberRange>,
    /// What the key is for.
    pub doc: &'static [&'static str],
}

/// Whether a key must be set; all texts are TOML values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It must be set; the text is an example.
    Required(&'static str),
    /// It may be left out and then has this value.
    Default(&'static str),
    /// It may be left out and then has no value; the text is an example.
    Optional(&'static str),
}

/// Smallest and largest accepted number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRange {
    /// Smallest.
    pub min: u64,
    /// Largest.
    pub max: u64,
}

/// Example file with every key, its description and its default.
pub fn example_text(keys: &[Key]) -> String {
    let mut text = String::new();
    for key in keys {
        write_example(&mut text, key).expect("writing to a String does not fail");
    }
    text
}

fn write_example(text: &mut String, key: &Key) -> std::fmt::Result {
    if !text.is_empty() {
        writeln!(text)?;
    }
    for line in key.doc {
        writeln!(text, "#{line}")?;
    }
    write!(text, "# Value: {}", key.kind)?;
    if let Some(range) = key.range {
        write!(text, " from {} to {}", range.min, range.max)?;
    }
    match key.presence {
        Presence::Required(example) => writeln!(text, "; required.\n{} = {example}", key.name),
        Presence::Default(value) => writeln!(text, "; default.\n{} = {value}", key.name),
        Presence::Optional(example) => {
            writeln!(text, "; not set by default.\n# {} = {example}", key.name)
        }
    }
}
