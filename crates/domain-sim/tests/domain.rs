//! Tests of a whole planning domain on a virtual clock.

mod advice;
mod attempts;
mod faults;
mod leases;
mod load;
mod sharing;
mod support;
mod upkeep;
