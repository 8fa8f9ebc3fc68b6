//! Macro that declares a settings section together with the defaults of its fields.

/// Declares a section of the settings in which every field is optional.
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
