//! Macros for the derives that the types of this crate share.

/// Adds the common derives to types that are sent between processes or written to disk.
#[macro_export]
macro_rules! domain {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Adds the common derives to small `Copy` identifiers.
#[macro_export]
macro_rules! identifier {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            $item
        )*
    };
}
