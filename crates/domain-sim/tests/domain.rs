//! Tests of a whole planning domain on a virtual clock.

mod advice;
mod faults;
mod leases;
mod sharing;
mod support;
