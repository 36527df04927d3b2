//! The clock, while the wall clock is stepped.

use super::*;

const HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn a_step_of_the_wall_clock_moves_no_span() {
    let (start, wall) = (Instant::now(), UNIX_EPOCH + 1_000 * HOUR);
    let clock = Clock::new(start, wall);
    let later = start + Duration::from_secs(5);
    assert_eq!(clock.at(later) - clock.at(start), Micros(5_000_000));
    assert_eq!(clock.instant(clock.at(later)), later);
    let hour = HOUR.as_micros() as i64;
    let walls = [(wall, 0), (wall + HOUR, hour), (wall - HOUR, -hour)];
    for (wall, ahead) in walls {
        assert_eq!(clock.wall_ahead(later, wall + Duration::from_secs(5)), Micros(ahead));
    }
}
