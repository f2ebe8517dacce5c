//! A value of which only is known that it can be read.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};

/// Any JSON value. Unlike `IgnoredAny`, it decodes all strings and numbers.
pub(crate) struct Readable;

impl<'de> Deserialize<'de> for Readable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ReadableVisitor)
    }
}

struct ReadableVisitor;

impl<'de> Visitor<'de> for ReadableVisitor {
    type Value = Readable;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Readable, E> {
        Ok(Readable)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Readable, E> {
        Ok(Readable)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Readable, E> {
        Ok(Readable)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Readable, E> {
        Ok(Readable)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Readable, E> {
        Ok(Readable)
    }

    fn visit_str<E>(self, _: &str) -> Result<Readable, E> {
        Ok(Readable)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Readable, A::Error> {
        while values.next_element::<Readable>()?.is_some() {}
        Ok(Readable)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Readable, A::Error> {
        while fields.next_entry::<Readable, Readable>()?.is_some() {}
        Ok(Readable)
    }
}
