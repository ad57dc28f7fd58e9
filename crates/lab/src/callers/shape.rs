//! Moments of requests by the shape of their day.

use courseshunt_standin::scenario::ArrivalShape;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::f64::consts::TAU;

const DAY_HOURS: f64 = 24.0;
/// Draws at the most for one moment of a diurnal shape.
const DRAWS: u32 = 1000;

/// Draws an hour from the start within `hours`; `None` when the shape has no
/// time there.
pub(super) fn draw_hour(shape: &ArrivalShape, hours: f64, random: &mut Pcg64) -> Option<f64> {
    match shape {
        ArrivalShape::Flat | ArrivalShape::Periodic { .. } => Some(random.random::<f64>() * hours),
        ArrivalShape::Diurnal { peak_hour, depth } => {
            draw_diurnal(*peak_hour, *depth, hours, random)
        }
        ArrivalShape::Window { from_hour, to_hour } => {
            let length = (to_hour - from_hour).rem_euclid(DAY_HOURS);
            let days = (hours / DAY_HOURS).ceil().max(1.0) as u32;
            let day = random.random_range(0..days);
            let hour = from_hour + random.random::<f64>() * length;
            let hour = hour + f64::from(day) * DAY_HOURS;
            Some(hour).filter(|hour| *hour < hours)
        }
    }
}

fn draw_diurnal(peak_hour: f64, depth: f64, hours: f64, random: &mut Pcg64) -> Option<f64> {
    for _ in 0..DRAWS {
        let hour = random.random::<f64>() * hours;
        let phase = (hour - peak_hour) / DAY_HOURS * TAU;
        let density = 1.0 - depth * (1.0 - phase.cos()) / 2.0;
        if random.random::<f64>() < density {
            return Some(hour);
        }
    }
    None
}
