//! The macro that defines the event catalogue of one role.

/// Defines the event enum of a role. Each event has a number, a severity, a name, typed fields and
/// a meaning; the meaning is also the variant's doc comment.
macro_rules! catalogue {
    (
        $(#[$doc:meta])* $role:ident {
            $($number:literal $severity:ident $name:ident {
                $($field:ident: $type:ty),* $(,)?
            } $meaning:literal;)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq)]
        pub enum $role {
            $(#[doc = $meaning] $name {
                $(#[doc = concat!("The event's `", stringify!($field), "`.")] $field: $type),*
            },)*
        }

        impl $role {
            /// The catalogue lines of this role, in the order of the variants.
            pub const LINES: &'static [$crate::catalogue::CatalogueLine] = &[
                $($crate::catalogue::CatalogueLine {
                    number: $number,
                    name: stringify!($name),
                    severity: $crate::catalogue::EventSeverity::$severity,
                    fields: &[$(stringify!($field)),*],
                    meaning: $meaning,
                },)*
            ];
        }

        impl $crate::catalogue::CatalogueEvent for $role {
            fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)*
                }
            }

            fn name(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => stringify!($name),)*
                }
            }

            fn severity(&self) -> $crate::catalogue::EventSeverity {
                match self {
                    $(Self::$name { .. } => $crate::catalogue::EventSeverity::$severity,)*
                }
            }

            fn fields(&self) -> Vec<(&'static str, String)> {
                match self {
                    $(Self::$name { $($field),* } => {
                        vec![$((stringify!($field), $field.to_string())),*]
                    })*
                }
            }
        }
    };
}
