//! Macro that generates a settings struct from the descriptions of its keys.

/// Defines a settings struct. Each key has documentation, a type, a presence
/// (`Required(example)`, `Default(value)` or `Optional(example)`, each with a TOML value) and, for
/// numbers, a range. The function after `checked by` adds findings about combinations of keys.
macro_rules! settings {
    (
        $(#[doc = $struct_doc:literal])*
        $name:ident checked by $check:path {
            $(
                $(#[doc = $doc:literal])+
                $field:ident: $kind:ty = $presence:ident($text:literal) $(in $min:literal..=$max:literal)?;
            )*
        }
    ) => {
        $(#[doc = $struct_doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($field: $kind,)*
        }

        impl $name {
            /// Descriptions of all keys, in the order of the example file.
            pub const KEYS: &'static [$crate::key::Key] = &[
                $($crate::key::Key {
                    name: stringify!($field),
                    kind: <$kind as $crate::value::Setting>::KIND,
                    presence: $crate::key::Presence::$presence($text),
                    range: settings!(@range $($min, $max)?),
                    doc: &[$($doc),+],
                },)*
            ];

            /// Parses the text of a settings file; `file` is its name in findings.
            pub fn parse(file: &str, text: &str) -> Result<Self, cuminlead_types::Findings> {
                let mut reader = $crate::reader::Reader::new(file, text, Self::KEYS);
                let mut keys = Self::KEYS.iter();
                $(let $field = keys.next().and_then(|key| reader.read::<$kind>(key));)*
                let settings = Self::assemble($($field),*);
                if let Some(settings) = &settings {
                    $check(settings, &mut reader);
                }
                let findings = reader.into_findings();
                match settings {
                    Some(settings) => findings.into_result(settings),
                    None => Err(findings),
                }
            }

            #[allow(clippy::too_many_arguments, reason = "one argument for each key")]
            fn assemble($($field: Option<$kind>),*) -> Option<Self> {
                Some(Self { $($field: $field?,)* })
            }

            $(
                $(#[doc = $doc])+
                pub fn $field(&self) -> &$kind {
                    &self.$field
                }
            )*
        }

        /// Prints the effective settings as TOML, one key per line, with secrets redacted.
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                $(
                    if let Some(value) = $crate::value::Setting::print(&self.$field) {
                        writeln!(f, "{} = {value}", stringify!($field))?;
                    }
                )*
                Ok(())
            }
        }
    };
    (@range) => { None };
    (@range $min:literal, $max:literal) => {
        Some($crate::key::NumberRange { min: $min, max: $max })
    };
}

pub(crate) use settings;
