//! Tests of the memory account: what is counted while buffers grow and shrink, and after they are dropped.

use super::*;

#[test]
fn a_buffer_counts_its_capacity_until_it_is_dropped() {
    let meter = MemoryMeter::default();
    let mut buffer = meter.buffer(MemoryUse::CallerInput);
    buffer.edit(|bytes| append(bytes, &[0; 10_000]));
    assert_eq!(meter.bytes(MemoryUse::CallerInput), 10_000);
    buffer.consume(9_990, 100);
    assert_eq!((buffer.len(), meter.bytes(MemoryUse::CallerInput)), (10, 10));
    buffer.clear(0);
    assert_eq!(meter.bytes(MemoryUse::CallerInput), 0);
    buffer.edit(|bytes| append(bytes, b"x"));
    drop(buffer);
    assert_eq!(meter.bytes(MemoryUse::CallerInput), 0);
}

/// Guards against buffers that take twice the memory of the message that they hold.
#[test]
fn appending_in_pieces_takes_little_more_than_the_bytes() {
    let mut buffer = Vec::new();
    for _ in 0..100 {
        append(&mut buffer, &[0; 1_000]);
        assert!(buffer.capacity() <= buffer.len() + buffer.len() / 4, "{}", buffer.capacity());
    }
}

#[test]
fn a_counted_value_is_counted_once_for_all_its_holders() {
    let meter = MemoryMeter::default();
    let first = Rc::new(Counted::new("value", 500, meter.charge(MemoryUse::Requests)));
    let second = first.clone();
    drop(first);
    assert_eq!((**second, meter.bytes(MemoryUse::Requests)), ("value", 500));
    drop(second);
    assert_eq!(meter.bytes(MemoryUse::Requests), 0);
}
