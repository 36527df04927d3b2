//! Tests of experiment plans: changes of worlds reach into nested tables and arrays.

use super::*;

#[test]
fn changes_reach_into_nested_tables_and_arrays() {
    let mut world: toml::Value =
        toml::from_str::<toml::Table>("[a]\nb = [{ c = 1 }, { c = 2 }]").unwrap().into();
    set_value(&mut world, "a.b.1.c", 7.into()).unwrap();
    set_value(&mut world, "a.new", 8.into()).unwrap();
    assert_eq!((world["a"]["b"][1]["c"].as_integer(), world["a"]["new"].as_integer()), (Some(7), Some(8)));
    assert!(set_value(&mut world, "a.b.2.c", 7.into()).is_err());
    assert!(set_value(&mut world, "x.y", 7.into()).is_err());
    assert!(set_value(&mut world, "a.new.z", 7.into()).is_err());
}
