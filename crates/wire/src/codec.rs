//! Serialization of types that do not implement serde's traits.
//!
//! The policy crate does not depend on serde, and the orphan rule forbids implementing serde's traits for
//! its types here. [`Wire`] therefore wraps a value, and two macros generate the visitors: a struct is
//! encoded as an array of its fields without names, an enum as an array that starts with the number of the
//! variant. The arrays are about half the size of maps with field names, which matters because rows are
//! read on the request path.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeMap, SerializeSeq, Serializer};

/// Wrapper that implements serde's traits for a [`WireType`]: holds a reference to serialize, a value to
/// deserialize.
pub struct Wire<T>(pub T);

/// Type that can be serialized and deserialized in the wire format.
///
/// The trait is a bound for generic code, not an extension point: [`crate::wire_struct!`] and
/// [`crate::wire_enum!`] implement it for types of other crates.
pub trait WireType: Sized {
    /// Serializes `self` with a serde serializer.
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error>;

    /// Deserializes a value with a serde deserializer.
    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error>;
}

impl<T: WireType> Serialize for Wire<&T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.write(serializer)
    }
}

impl<'de, T: WireType> Deserialize<'de> for Wire<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Wire<T>, D::Error> {
        T::read(deserializer).map(Wire)
    }
}

/// Reads the next element of an array; a missing element is an error that names the field.
pub fn next_field<'de, T: WireType, A: SeqAccess<'de>>(
    seq: &mut A,
    name: &'static str,
) -> Result<T, A::Error> {
    let field: Option<Wire<T>> = seq.next_element()?;
    field.map(|wire| wire.0).ok_or_else(|| A::Error::missing_field(name))
}

/// Implements [`WireType`] for a struct, encoded as an array of the listed fields in their order.
#[macro_export]
macro_rules! wire_struct {
    ($type:ident { $($field:ident),+ $(,)? }) => {
        impl $crate::codec::WireType for $type {
            fn write<S: ::serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                use ::serde::ser::SerializeTuple as _;
                const FIELDS: usize = [$(stringify!($field)),+].len();
                let mut tuple = serializer.serialize_tuple(FIELDS)?;
                $(tuple.serialize_element(&$crate::codec::Wire(&self.$field))?;)+
                tuple.end()
            }

            fn read<'de, D: ::serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct FieldsVisitor;
                impl<'de> ::serde::de::Visitor<'de> for FieldsVisitor {
                    type Value = $type;

                    fn expecting(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                        f.write_str(concat!("the fields of ", stringify!($type)))
                    }

                    fn visit_seq<A: ::serde::de::SeqAccess<'de>>(
                        self,
                        mut seq: A,
                    ) -> Result<$type, A::Error> {
                        $(let $field = $crate::codec::next_field(&mut seq, stringify!($field))?;)+
                        Ok($type { $($field),+ })
                    }
                }
                const FIELDS: usize = [$(stringify!($field)),+].len();
                deserializer.deserialize_tuple(FIELDS, FieldsVisitor)
            }
        }
    };
}

/// Implements [`WireType`] for an enum, encoded as an array of the variant's number and its fields.
///
/// Each variant is listed as `number => Name` or `number => Name(a, b)`.
#[macro_export]
macro_rules! wire_enum {
    ($type:ident { $($number:literal => $variant:ident $(($($field:ident),+))?),+ $(,)? }) => {
        impl $crate::codec::WireType for $type {
            fn write<S: ::serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                use ::serde::ser::SerializeSeq as _;
                match self {
                    $($type::$variant $(($($field),+))? => {
                        let fields: &[&str] = &[$($(stringify!($field)),+)?];
                        let mut seq = serializer.serialize_seq(Some(1 + fields.len()))?;
                        seq.serialize_element(&($number as u8))?;
                        $($(seq.serialize_element(&$crate::codec::Wire($field))?;)+)?
                        seq.end()
                    })+
                }
            }

            fn read<'de, D: ::serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct VariantsVisitor;
                impl<'de> ::serde::de::Visitor<'de> for VariantsVisitor {
                    type Value = $type;

                    fn expecting(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                        f.write_str(concat!("a variant of ", stringify!($type)))
                    }

                    fn visit_seq<A: ::serde::de::SeqAccess<'de>>(
                        self,
                        mut seq: A,
                    ) -> Result<$type, A::Error> {
                        use ::serde::de::Error as _;
                        let number: Option<u8> = seq.next_element()?;
                        match number {
                            $(Some($number) => {
                                $($(let $field =
                                    $crate::codec::next_field(&mut seq, stringify!($field))?;)+)?
                                Ok($type::$variant $(($($field),+))?)
                            })+
                            _ => Err(A::Error::custom("unknown variant")),
                        }
                    }
                }
                deserializer.deserialize_seq(VariantsVisitor)
            }
        }
    };
}

/// Implements [`WireType`] by serde's own traits, for types that implement them.
macro_rules! serde_types {
    ($($type:ty),+) => {
        $(impl WireType for $type {
            fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                Serialize::serialize(self, serializer)
            }

            fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                Deserialize::deserialize(deserializer)
            }
        })+
    };
}

serde_types!(bool, u16, u32, u64, i64, f64, String, [u8; 32]);

impl<T: WireType> WireType for Box<T> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        T::write(self, serializer)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        T::read(deserializer).map(Box::new)
    }
}

impl WireType for Arc<str> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer).map(Arc::from)
    }
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }
}

// `u8` does not implement `WireType`, so that this does not overlap with the implementation for
// `Vec<T>`. Bytes are encoded as MessagePack's binary type.
impl WireType for Vec<u8> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

impl<T: WireType> WireType for Option<T> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Some(value) => serializer.serialize_some(&Wire(value)),
            None => serializer.serialize_none(),
        }
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value: Option<Wire<T>> = Option::deserialize(deserializer)?;
        Ok(value.map(|wire| wire.0))
    }
}

impl<A: WireType, B: WireType> WireType for (A, B) {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (Wire(&self.0), Wire(&self.1)).serialize(serializer)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (a, b): (Wire<A>, Wire<B>) = Deserialize::deserialize(deserializer)?;
        Ok((a.0, b.0))
    }
}

/// Visitor that collects the elements of an array into any collection.
struct ElementsVisitor<T, C>(PhantomData<(T, C)>);

impl<'de, T: WireType, C: Default + Extend<T>> Visitor<'de> for ElementsVisitor<T, C> {
    type Value = C;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<C, A::Error> {
        let mut elements = C::default();
        while let Some(Wire(element)) = seq.next_element()? {
            elements.extend([element]);
        }
        Ok(elements)
    }
}

fn write_elements<'a, T: WireType + 'a, S: Serializer>(
    elements: impl ExactSizeIterator<Item = &'a T>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut seq = serializer.serialize_seq(Some(elements.len()))?;
    for element in elements {
        seq.serialize_element(&Wire(element))?;
    }
    seq.end()
}

impl<T: WireType> WireType for Vec<T> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        write_elements(self.iter(), serializer)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ElementsVisitor(PhantomData))
    }
}

impl<T: WireType + Ord> WireType for BTreeSet<T> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        write_elements(self.iter(), serializer)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ElementsVisitor(PhantomData))
    }
}

/// Visitor that collects the entries of a map.
struct EntriesVisitor<K, V>(PhantomData<(K, V)>);

impl<'de, K: WireType + Ord, V: WireType> Visitor<'de> for EntriesVisitor<K, V> {
    type Value = BTreeMap<K, V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<BTreeMap<K, V>, A::Error> {
        let mut entries = BTreeMap::new();
        while let Some((Wire(key), Wire(value))) = map.next_entry()? {
            entries.insert(key, value);
        }
        Ok(entries)
    }
}

impl<K: WireType + Ord, V: WireType> WireType for BTreeMap<K, V> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.len()))?;
        for (key, value) in self {
            map.serialize_entry(&Wire(key), &Wire(value))?;
        }
        map.end()
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntriesVisitor(PhantomData))
    }
}
