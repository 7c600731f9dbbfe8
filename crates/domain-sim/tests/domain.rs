//! Tests of a whole planning domain on a virtual clock.

mod advice;
mod faults;
mod sharing;
mod support;
