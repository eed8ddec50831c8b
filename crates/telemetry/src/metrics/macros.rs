//! The repetitive parts of the list of instruments.

/// Defines the instruments of one kind.
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
            /// The lines of the list, in the order of the variants.
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
