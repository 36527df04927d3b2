//! Tests of the process clock while the wall clock is stepped.

use super::*;

const HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn steps_of_the_wall_clock_do_not_change_measured_durations() {
    let (start, wall) = (Instant::now(), UNIX_EPOCH + 1_000 * HOUR);
    let clock = Clock::new(start, wall);
    let later = start + Duration::from_secs(5);
    assert_eq!(clock.unix_time(later) - clock.unix_time(start), Micros(5_000_000));
    assert_eq!(clock.instant(clock.unix_time(later)), later);
    let hour_us = HOUR.as_micros() as i64;
    let wall_times = [(wall, 0), (wall + HOUR, hour_us), (wall - HOUR, -hour_us)];
    for (wall, ahead) in wall_times {
        assert_eq!(clock.wall_clock_offset(later, wall + Duration::from_secs(5)), Micros(ahead));
    }
}
