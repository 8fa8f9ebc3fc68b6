//! Declaration of a section with the default beside each field.

/// Declares a section whose fields may all be left out.
macro_rules! section {
    (
        $(#[$meta:meta])*
        $name:ident {
            $($(#[$field_meta:meta])* $field:ident: $type:ty = $default:expr,)*
        }
    ) => {
        $(#[$meta])*
        #[serde_with::serde_as]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $($(#[$field_meta])* pub $field: $type,)*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    };
}

pub(crate) use section;
