//! Macro that makes settings from the descriptions of their keys.

/// Defines a settings struct. Each key has its documentation, type, presence
/// (`Required(example)`, `Default(value)` or `Optional(example)`, all in TOML) and range.
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
            /// Description of every key, in the order of the example file.
            pub const KEYS: &'static [$crate::key::Key] = &[
                $($crate::key::Key {
                    name: stringify!($field),
                    kind: <$kind as $crate::value::Setting>::KIND,
                    presence: $crate::key::Presence::$presence($text),
                    range: settings!(@range $($min, $max)?),
                    doc: &[$($doc),+],
                },)*
            ];

            /// Reads a settings file; `file` names it in findings.
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

        /// Effective settings, one key a line; secrets are redacted.
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
