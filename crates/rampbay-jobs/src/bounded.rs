//! Lists of bounded length in messages, whose elements take more memory than their text.
//!
//! ```
//! use rampbay_jobs::bounded;
//!
//! #[derive(serde::Deserialize)]
//! struct Message {
//!     #[serde(deserialize_with = "bounded::deserialize::<2, _, _>")]
//!     names: Vec<String>,
//! }
//!
//! assert!(serde_json::from_str::<Message>(r#"{"names":["a","b"]}"#).is_ok());
//! assert!(serde_json::from_str::<Message>(r#"{"names":["a","b","c"]}"#).is_err());
//! ```

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Number of elements for which memory is allocated before they are read.
const FIRST_ELEMENTS: usize = 64;

/// Deserializes a list of at most `MAX` elements.
///
/// # Errors
///
/// Returns an error if there are more, as soon as that is known, or if an element isn't valid.
pub fn deserialize<'de, const MAX: usize, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(BoundedList::<MAX, T>(PhantomData))
}

struct BoundedList<const MAX: usize, T>(PhantomData<T>);

impl<'de, const MAX: usize, T: Deserialize<'de>> Visitor<'de> for BoundedList<MAX, T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let announced = seq.size_hint().unwrap_or(0);
        if announced > MAX {
            return Err(A::Error::invalid_length(announced, &self));
        }
        let mut elements = Vec::with_capacity(announced.min(FIRST_ELEMENTS));
        while let Some(element) = seq.next_element()? {
            if elements.len() == MAX {
                return Err(A::Error::invalid_length(MAX + 1, &self));
            }
            elements.push(element);
        }
        Ok(elements)
    }
}
