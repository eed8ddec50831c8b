//! The macro that defines the instruments of one kind.

/// Defines an enum of instruments of one kind. Each instrument has a name, a unit and a meaning;
/// the meaning is also the variant's doc comment.
macro_rules! instruments {
    ($(#[$doc:meta])* $list:ident: $kind:ident {
        $($variant:ident $name:literal $unit:literal $meaning:literal;)*
    }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $list {
            $(#[doc = $meaning] $variant,)*
        }

        impl $list {
            /// The lines of this list, in the order of the variants.
            pub const LINES: &'static [$crate::metrics::InstrumentLine] = &[
                $($crate::metrics::InstrumentLine {
                    name: $name,
                    kind: $crate::metrics::InstrumentKind::$kind,
                    unit: $unit,
                    meaning: $meaning,
                },)*
            ];
        }
    };
}
