//! Tests of experiment plans: settings that reach into nested tables and arrays.

use super::*;

#[test]
fn settings_reach_into_tables_and_arrays() {
    let mut v: toml::Value = toml::from_str::<toml::Table>("[a]\nb = [{ c = 1 }, { c = 2 }]").unwrap().into();
    set(&mut v, "a.b.1.c", 7.into()).unwrap();
    set(&mut v, "a.new", 8.into()).unwrap();
    assert_eq!((v["a"]["b"][1]["c"].as_integer(), v["a"]["new"].as_integer()), (Some(7), Some(8)));
    assert!(set(&mut v, "a.b.2.c", 7.into()).is_err());
    assert!(set(&mut v, "x.y", 7.into()).is_err());
    assert!(set(&mut v, "a.new.z", 7.into()).is_err());
}
