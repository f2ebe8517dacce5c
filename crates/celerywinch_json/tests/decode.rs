//! Tests of the decoding of bodies.

use celerywinch_json::decode;
use proptest::prelude::*;
use rstest::rstest;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;

#[derive(Debug, Deserialize)]
struct Body {
    used: u32,
}

/// Returns a body with this value, as bytes of JSON, in a field that `Body` does not have.
fn body_with(value: &[u8]) -> Vec<u8> {
    [br#"{"used":1,"other":{"list":["#, value, br#"]}}"#].concat()
}

/// Guards against bodies that are accepted because what cannot be read stands in a field that is skipped.
#[rstest]
#[case::not_utf8(b"\"\xe1\"")]
#[case::not_utf8_in_a_name(b"{\"\xe1\":1}")]
#[case::overlong(b"\"\xc0\xaf\"")]
#[case::encoded_surrogate(b"\"\xed\xa0\x80\"")]
#[case::lone_surrogate(br#""\ud800""#)]
#[case::lone_surrogate_in_a_name(br#"{"\udc00":1}"#)]
#[case::number_out_of_range(b"1e99999")]
#[case::unknown_escape(br#""\x""#)]
#[case::control_character(b"\"\n\"")]
#[case::leading_zero(b"01")]
#[case::not_a_number(b"NaN")]
#[case::no_value(b"1,")]
fn unreadable_value_in_a_skipped_field_is_rejected(#[case] value: &[u8]) {
    assert!(decode::<Body>(&body_with(value)).is_err());
}

/// Guards against valid bodies with new fields that are rejected.
#[rstest]
#[case::text("\"Bogot\u{e1} \u{1f4e8}\"".as_bytes())]
#[case::escapes(br#""\u00e1\ud83d\udce8\n\/""#)]
#[case::numbers(b"-0.5,1e300,1e-99999,18446744073709551615,123456789012345678901234567890")]
#[case::other(br#"null,true,false,{},[],{"a":{"b":[1]}}"#)]
#[case::same_name_twice(br#"{"a":1,"a":2}"#)]
fn readable_value_in_a_skipped_field_is_accepted(#[case] value: &[u8]) {
    let body = decode::<Body>(&body_with(value)).expect("a readable body");
    assert_eq!(body.used, 1);
}

#[rstest]
#[case::empty(b"")]
#[case::truncated(br#"{"used":1"#)]
#[case::trailing(br#"{"used":1}}"#)]
#[case::byte_order_mark(b"\xef\xbb\xbf{\"used\":1}")]
#[case::other_type(br#"{"used":"1"}"#)]
fn body_of_another_form_is_rejected(#[case] body: &[u8]) {
    assert!(decode::<Body>(body).is_err());
}

#[test]
fn nesting_is_limited() {
    let nested = |depth: usize| [b"[".repeat(depth), b"]".repeat(depth)].concat();
    assert!(decode::<IgnoredAny>(&nested(127)).is_ok());
    assert!(decode::<IgnoredAny>(&nested(128)).is_err());
    assert!(decode::<IgnoredAny>(&nested(1_000_000)).is_err());
}

proptest! {
    /// Guards against bodies that are accepted by this reader and rejected by one that uses all fields.
    #[test]
    fn what_is_accepted_can_be_read_in_full(value in proptest::collection::vec(any::<u8>(), 0..12)) {
        let body = body_with(&value);
        let accepted = decode::<IgnoredAny>(&body).is_ok();
        prop_assert_eq!(accepted, serde_json::from_slice::<Value>(&body).is_ok());
    }

    /// The same for strings, of which random bytes are rarely a valid one.
    #[test]
    fn accepted_string_can_be_read(text in proptest::collection::vec(any::<u8>(), 0..6)) {
        let body = body_with(&[b"\"", text.as_slice(), b"\""].concat());
        let accepted = decode::<IgnoredAny>(&body).is_ok();
        prop_assert_eq!(accepted, serde_json::from_slice::<Value>(&body).is_ok());
    }
}
