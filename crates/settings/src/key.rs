//! Description of a key, and the text of an example file that is generated from descriptions.

use std::fmt::Write;

/// Description of one key of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Name of the key in the file.
    pub name: &'static str,
    /// Format or unit of the value, for operators.
    pub kind: &'static str,
    /// Whether the key must be set, and its default.
    pub presence: Presence,
    /// Accepted range; `None` for values that are not numbers and for numbers without limits.
    pub range: Option<NumberRange>,
    /// Purpose of the key, for operators; one string per line, each with a leading space.
    pub doc: &'static [&'static str],
}

/// Whether a key must be set. All texts are TOML values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The key must be set; the text is an example value.
    Required(&'static str),
    /// The key may be omitted and then has this value.
    Default(&'static str),
    /// The key may be omitted and then has no value; the text is an example value.
    Optional(&'static str),
}

/// Range of accepted numbers, including both limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRange {
    /// Smallest accepted number.
    pub min: u64,
    /// Largest accepted number.
    pub max: u64,
}

/// Text of an example file with the description, format and default of every key.
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
